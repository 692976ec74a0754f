package peersync

import (
	"context"

	"connectrpc.com/connect"

	configurationv1 "github.com/ospreyshed/ospreyshed/api/configuration/v1"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// Remote is a client of one VM's configuration service, for tools.
type Remote struct {
	client client
}

// NewRemote returns a Remote for the VM at an address, which is an IP address and
// port.
func NewRemote(dialer peer.Dialer, address string) *Remote {
	return &Remote{client: newClient(dialer, address)}
}

// Pull returns the VM's whole state.
func (r *Remote) Pull(ctx context.Context) (Pulled, error) { return pull(ctx, r.client, nil) }

// InForce describes the configuration that is in force on one VM.
type InForce struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Serving says whether any configuration is in force.
	Serving bool `json:"serving"`
	// Versions holds the versions by subject, 0 for a subject without a version.
	Versions map[string]uint64 `json:"versions"`
}

// InForce returns the versions of the given subjects that are in force on the VM,
// or of all subjects if none are given.
func (r *Remote) InForce(ctx context.Context, subjects []string) (InForce, error) {
	request := connect.NewRequest(&configurationv1.InForceRequest{Subjects: subjects})
	response, err := r.client.InForce(ctx, request)
	if err != nil {
		return InForce{}, err
	}
	result := InForce{
		VM:       response.Msg.GetVm(),
		Zone:     response.Msg.GetZone(),
		Serving:  response.Msg.GetServing(),
		Versions: make(map[string]uint64, len(response.Msg.GetVersions())),
	}
	for _, version := range response.Msg.GetVersions() {
		result.Versions[version.GetSubject()] = version.GetVersion()
	}
	return result, nil
}

// Reached reports whether at least the given versions are in force.
func (f InForce) Reached(versions map[string]uint64) bool {
	for subject, version := range versions {
		if f.Versions[subject] < version {
			return false
		}
	}
	return f.Serving
}

package peersync

import (
	"context"

	"connectrpc.com/connect"

	configurationv1 "github.com/ospreyshed/ospreyshed/api/configuration/v1"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// Remote is one VM's service as a tool sees it.
type Remote struct {
	client client
}

// NewRemote returns the service of the VM at an address of IP number and port.
func NewRemote(dialer peer.Dialer, address string) *Remote {
	return &Remote{client: newClient(dialer, address)}
}

// Pull returns the VM's whole state.
func (r *Remote) Pull(ctx context.Context) (Pulled, error) { return pull(ctx, r.client, nil) }

// InForce is what one VM serves by.
type InForce struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Serving says whether any configuration is in force.
	Serving bool `json:"serving"`
	// Versions holds the versions by subject, 0 for one that is not in force.
	Versions map[string]uint64 `json:"versions"`
}

// InForce returns the versions of subjects that the VM serves by; no subjects
// stand for all.
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

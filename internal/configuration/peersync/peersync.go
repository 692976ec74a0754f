// Package peersync replicates configuration between entry VMs, so that a VM that
// has just started or cannot reach the platform's log gets the versions in force
// from peers.
//
// A Syncer pulls periodically: it compares digests with a peer of its own
// availability zone and one of another, and fetches only the versions that
// supersede its own. The Store applies them as re-appends, so a stale peer has no
// effect.
package peersync

import (
	"connectrpc.com/connect"

	configurationv1 "github.com/ospreyshed/ospreyshed/api/configuration/v1"
	"github.com/ospreyshed/ospreyshed/api/configuration/v1/configurationv1connect"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// maxFetchBytes bounds the total size of the documents in one response; a single
// larger document is still sent.
const maxFetchBytes = 256 << 10

// maxRequestBytes bounds the requests that a Server reads, and maxResponseBytes
// the responses that a client reads.
const (
	maxRequestBytes  = 1 << 20
	maxResponseBytes = 16 << 20
)

// maxFetchSubjects bounds the subjects of one request.
const maxFetchSubjects = 200

// newClient returns a client of the VM at an address, which is an IP address and
// port.
func newClient(dialer peer.Dialer, address string) client {
	return configurationv1connect.NewConfigurationServiceClient(
		dialer.HTTPClient(), dialer.BaseURL(address), connect.WithReadMaxBytes(maxResponseBytes))
}

func recordToWire(current configuration.Current) *configurationv1.Record {
	record := current.Reappend()
	return &configurationv1.Record{
		Format:    uint32(record.Format),
		Subject:   record.Subject,
		Version:   record.Version,
		Origin:    record.Origin,
		Publisher: record.Publisher,
		Removed:   record.Removed,
		Document:  record.Document,
	}
}

func recordFromWire(wire *configurationv1.Record) (configuration.Record, error) {
	record := configuration.Record{
		Format:    int(wire.GetFormat()),
		Kind:      configuration.KindReappend,
		Subject:   wire.GetSubject(),
		Version:   wire.GetVersion(),
		Origin:    wire.GetOrigin(),
		Publisher: wire.GetPublisher(),
		Removed:   wire.GetRemoved(),
		Document:  wire.GetDocument(),
	}
	return record.Parsed()
}

func positionToWire(current configuration.Current) *configurationv1.Position {
	return &configurationv1.Position{
		Subject: current.Record.Subject,
		Version: current.Version,
		Origin:  current.Origin,
	}
}

func positionFromWire(wire *configurationv1.Position) configuration.Position {
	return configuration.Position{Version: wire.GetVersion(), Origin: wire.GetOrigin()}
}

package order

import (
	"context"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Engine is the part of an engine client that a Reconciler uses.
// Implementations are safe for concurrent use.
type Engine interface {
	// State returns the state in force on the engine.
	State(ctx context.Context) (engine.State, error)
	// Load returns the engine's load report, which lags behind its actual load.
	Load(ctx context.Context) (engine.LoadReport, error)
	// Order sends an order. The error is engine.StaleFencing if the engine
	// rejected its fencing number.
	Order(ctx context.Context, order engine.Order) (engine.OrderResult, error)
}

// Engines looks up an engine by its name.
type Engines func(name string) (Engine, bool)

// Leases are the leases of this VM. lease.Manager implements it.
type Leases interface {
	// Want sets the names of the leases that this VM tries to hold.
	Want(names []string)
	// Held returns the grant of a lease and whether this VM may send orders
	// under it now.
	Held(name string) (lease.Grant, bool)
	// Raise requests a higher fencing number for a lease.
	Raise(name string)
	// Exclude sets the endpoints that get no new work while this VM holds a
	// lease.
	Exclude(name string, endpoints []string)
	// Excluded reports whether an endpoint is excluded from new work.
	Excluded(endpoint string) bool
}

// Configuration provides the snapshot in force, nil if there is none yet.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Options are the dependencies of a Reconciler.
type Options struct {
	// Zone is the availability zone of this VM.
	Zone          string
	Leases        Leases
	Engines       Engines
	Configuration Configuration
	Events        timeline.Recorder
}

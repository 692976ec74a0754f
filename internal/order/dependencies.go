package order

import (
	"context"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Engine is what orders need of one engine. Implementations are safe for
// concurrent use.
type Engine interface {
	// State reads the engine's state in force.
	State(ctx context.Context) (engine.State, error)
	// Load returns the engine's load report, which lags.
	Load(ctx context.Context) (engine.LoadReport, error)
	// Order sends an order. The error is engine.StaleFencing if the engine
	// refused its fencing number.
	Order(ctx context.Context, order engine.Order) (engine.OrderResult, error)
}

// Engines finds an engine by its name.
type Engines func(name string) (Engine, bool)

// Leases are this VM's leases; lease.Manager implements it.
type Leases interface {
	// Want sets the leases that this VM holds if it can.
	Want(names []string)
	// Held returns the grant of a lease if this VM may send by it now.
	Held(name string) (lease.Grant, bool)
	// Raise asks for a higher fencing number.
	Raise(name string)
	// Exclude sets the endpoints that get no new work.
	Exclude(name string, endpoints []string)
	// Excluded reports whether an endpoint gets no new work.
	Excluded(endpoint string) bool
}

// Configuration yields the snapshot in force, nil while there is none.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Options are the collaborators of a Reconciler.
type Options struct {
	// Zone is the availability zone of this VM.
	Zone          string
	Leases        Leases
	Engines       Engines
	Configuration Configuration
	Events        timeline.Recorder
}

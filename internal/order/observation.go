package order

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// readTimeout limits the time for reading an engine's state or load.
const readTimeout = time.Second

// observation is the state of one engine as read in one pass.
type observation struct {
	endpoint *configuration.Endpoint
	desired  engine.Desired
	state    engine.State
	readable bool
}

// converged reports whether the engine is in its desired state.
func (r *observation) converged() bool {
	return r.readable && !r.state.Busy && r.state.Equal(&r.desired)
}

// serving reports whether the engine accepts requests in a role for a model.
func (r *observation) serving(model string, role configuration.Role) bool {
	return r.readable && !r.state.Busy && !r.state.Leaving && r.state.Model == model && r.state.Role == role
}

// needsWeights reports whether the engine has to load weights to reach its
// desired state.
func (r *observation) needsWeights() bool {
	return r.state.Model != r.desired.Model || r.state.Version != r.desired.Version
}

// roleOrModelDiffers reports whether the engine's role or model differs from
// what the configuration routes to it.
func (r *observation) roleOrModelDiffers() bool {
	return r.state.Model != r.desired.Model || r.state.Role != r.desired.Role
}

// needsDrain reports whether requests on the engine should end before its order
// is sent. A change of version or adapters does not interrupt them.
func (r *observation) needsDrain() bool { return !r.state.Busy && r.roleOrModelDiffers() }

// desiredState returns the state that the configuration describes. If it names
// no version, the version in force is kept.
func desiredState(e *configuration.Endpoint, state *engine.State) engine.Desired {
	desired := engine.Desired{Role: e.Role, Model: e.Model, Version: e.Version, Adapters: e.Adapters}
	if desired.Version == "" && state.Model == e.Model {
		desired.Version = state.Version
	}
	return desired
}

// observe reads the states of engines concurrently.
func (r *Reconciler) observe(ctx context.Context, endpoints []*configuration.Endpoint) []*observation {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	observations := make([]*observation, len(endpoints))
	var calls sync.WaitGroup
	for i, e := range endpoints {
		calls.Go(func() { observations[i] = r.observeOne(ctx, e) })
	}
	calls.Wait()
	return observations
}

func (r *Reconciler) observeOne(ctx context.Context, e *configuration.Endpoint) *observation {
	result := &observation{endpoint: e}
	if client, found := r.options.Engines(e.Name); found {
		state, err := client.State(ctx)
		result.state = state
		result.readable = err == nil
	}
	if !result.readable {
		r.Counters.Unreadable.Add(1)
	}
	result.desired = desiredState(e, &result.state)
	return result
}

// idle reports whether an engine's load report shows no active or queued
// requests.
func (r *Reconciler) idle(ctx context.Context, name string) bool {
	client, found := r.options.Engines(name)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	return err == nil && load.Active == 0 && load.Queued == 0
}

package order

import (
	"context"
	"maps"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// pool is the state that a Reconciler keeps about the engines of one model in
// its zone. Only one pass uses it at a time.
type pool struct {
	model, lease string
	// fencing is the current fencing number of the held lease.
	fencing   uint64
	leaseHeld bool
	// snapshot is the configuration used by the last pass.
	snapshot *configuration.Snapshot
	due      time.Time
	tasks    map[string]*task
	// converged are the engines that were in their desired state when last read.
	converged map[string]bool
	budget    weightBudget
	sequence  uint64
}

func newPool(model, name string) *pool {
	p := &pool{model: model, lease: name}
	p.reset()
	return p
}

// reset discards what was recorded under a previous lease.
func (p *pool) reset() {
	p.leaseHeld = false
	p.tasks = make(map[string]*task)
	p.converged = make(map[string]bool)
	p.budget = weightBudget{}
}

// reconcilePool reads the states of a pool's engines and takes the steps that
// are due, if this VM holds the pool's lease.
func (r *Reconciler) reconcilePool(ctx context.Context, snapshot *configuration.Snapshot, p *pool, pools int) {
	grant, held := r.options.Leases.Held(p.lease)
	if !held {
		p.reset()
		return
	}
	if !p.isDue(snapshot, grant) {
		return
	}
	observations := r.observe(ctx, engines(snapshot, p.model, r.options.Zone))
	p.setBudget(snapshot, pools)
	r.confirm(p, snapshot, observations)
	r.startTasks(ctx, snapshot, p, observations)
	r.options.Leases.Exclude(p.lease, p.excluded(observations))
	for _, observed := range observations {
		if t := p.tasks[observed.endpoint.Name]; t != nil {
			r.advance(ctx, snapshot, p, observed, t)
		}
	}
	p.schedule(snapshot, len(observations))
}

// excluded returns the engines that get no new work: those with a task, and
// those whose role or model differs from what the configuration routes to them.
func (p *pool) excluded(observations []*observation) []string {
	var names []string
	for _, observed := range observations {
		name := observed.endpoint.Name
		if p.tasks[name] != nil || (observed.readable && observed.roleOrModelDiffers()) {
			names = append(names, name)
		}
	}
	return names
}

// isDue reports whether a pass is due. A newly acquired lease or a changed
// configuration makes it due at once.
func (p *pool) isDue(snapshot *configuration.Snapshot, grant lease.Grant) bool {
	if !p.leaseHeld {
		p.leaseHeld = true
		p.due = time.Time{}
	}
	p.fencing = grant.Fencing
	return snapshot != p.snapshot || !time.Now().Before(p.due)
}

// schedule sets the time of the next pass. While an engine is not in its
// desired state, that is the next tick.
func (p *pool) schedule(snapshot *configuration.Snapshot, engines int) {
	p.snapshot = snapshot
	p.due = time.Time{}
	if len(p.converged) == engines {
		p.due = time.Now().Add(convergedInterval)
	}
}

func (p *pool) setBudget(snapshot *configuration.Snapshot, pools int) {
	model, found := snapshot.Model(p.model)
	if !found {
		return
	}
	p.budget.set(model.WeightBytes, poolShare(snapshot.Fleet(), pools), time.Now())
}

// confirm ends the tasks of engines that are in their desired state and drops
// those of engines that are no longer configured.
func (r *Reconciler) confirm(p *pool, snapshot *configuration.Snapshot, observations []*observation) {
	configured := make(map[string]bool, len(observations))
	for _, observed := range observations {
		name := observed.endpoint.Name
		configured[name] = true
		r.confirmOne(p, snapshot, observed)
	}
	maps.DeleteFunc(p.tasks, func(name string, _ *task) bool { return !configured[name] })
	maps.DeleteFunc(p.converged, func(name string, _ bool) bool { return !configured[name] })
}

func (r *Reconciler) confirmOne(p *pool, snapshot *configuration.Snapshot, observed *observation) {
	name := observed.endpoint.Name
	if observed.readable && observed.state.ChecksFencing && observed.state.Fencing > p.fencing {
		r.options.Leases.Raise(p.lease)
	}
	if !observed.converged() {
		if observed.readable && p.converged[name] && p.snapshot == snapshot {
			r.Counters.Diverged.Add(1)
		}
		delete(p.converged, name)
		return
	}
	p.converged[name] = true
	if p.tasks[name] == nil {
		return
	}
	delete(p.tasks, name)
	r.Counters.Confirmed.Add(1)
	r.options.Events.Record(timeline.OrderConfirmed, "", name+" "+describe(&observed.desired))
}

// startTasks starts tasks for as many engines as may be out of service. An
// engine keeps serving until the weight store budget allows its load.
func (r *Reconciler) startTasks(ctx context.Context, snapshot *configuration.Snapshot, p *pool, observations []*observation) {
	policy := &disruptionPolicy{
		model:        p.model,
		observations: observations,
		tasks:        p.tasks,
		otherZones: func(role configuration.Role) []*observation {
			return r.observe(ctx, r.enginesInOtherZones(snapshot, p.model, role))
		},
	}
	blocked, throttled := false, false
	for _, observed := range observations {
		if !p.needsTask(observed) {
			continue
		}
		if !policy.allows(observed) {
			blocked = true
			continue
		}
		throttled = !p.startTask(observed) || throttled
	}
	if blocked {
		r.Counters.HeldBack.Add(1)
	}
	if throttled {
		r.Counters.WeightWaits.Add(1)
	}
}

// needsTask reports whether an engine has to change and has no task yet.
func (p *pool) needsTask(observed *observation) bool {
	changes := observed.readable && !observed.state.Leaving && !observed.converged()
	return changes && p.tasks[observed.endpoint.Name] == nil
}

// startTask starts the task of an engine and reports whether the budget allows
// it.
func (p *pool) startTask(observed *observation) bool {
	t := &task{}
	if !t.chargeWeights(observed, &p.budget, time.Now()) {
		return false
	}
	p.tasks[observed.endpoint.Name] = t
	return true
}

// enginesInOtherZones returns the engines of a role in other zones.
func (r *Reconciler) enginesInOtherZones(snapshot *configuration.Snapshot, model string, role configuration.Role) []*configuration.Endpoint {
	var others []*configuration.Endpoint
	for _, e := range snapshot.Engines(model, role, "") {
		if e.Zone != r.options.Zone {
			others = append(others, e)
		}
	}
	return others
}

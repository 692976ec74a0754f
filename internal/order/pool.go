package order

import (
	"context"
	"maps"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// pool is what a Reconciler knows of a model's engines in its zone. It is used by
// one pass at a time.
type pool struct {
	model, lease string
	// fencing is that of the lease by which the rest was learnt.
	fencing uint64
	held    bool
	// snapshot is the configuration last reconciled with.
	snapshot *configuration.Snapshot
	due      time.Time
	tasks    map[string]*task
	// converged are the engines last seen in their desired state.
	converged map[string]bool
	budget    weightBudget
	sequence  uint64
}

func newPool(model, name string) *pool {
	p := &pool{model: model, lease: name}
	p.forget()
	return p
}

// forget drops what was learnt under a former lease.
func (p *pool) forget() {
	p.held = false
	p.tasks = make(map[string]*task)
	p.converged = make(map[string]bool)
	p.budget = weightBudget{}
}

// pass reads a pool back and does what is due, if this VM holds its lease.
func (r *Reconciler) pass(ctx context.Context, snapshot *configuration.Snapshot, p *pool, pools int) {
	grant, held := r.options.Leases.Held(p.lease)
	if !held {
		p.forget()
		return
	}
	if !p.isDue(snapshot, grant) {
		return
	}
	readings := r.read(ctx, engines(snapshot, p.model, r.options.Zone))
	p.setBudget(snapshot, pools)
	r.confirm(p, snapshot, readings)
	r.takeOut(ctx, snapshot, p, readings)
	r.options.Leases.Exclude(p.lease, p.excluded(readings))
	for _, reading := range readings {
		if t := p.tasks[reading.endpoint.Name]; t != nil {
			r.advance(ctx, snapshot, p, reading, t)
		}
	}
	p.schedule(snapshot, len(readings))
}

// excluded returns the engines that get no new work: those with a task, and those
// that cannot do what the configuration routes to them.
func (p *pool) excluded(readings []*reading) []string {
	var names []string
	for _, reading := range readings {
		name := reading.endpoint.Name
		if p.tasks[name] != nil || (reading.readable && reading.misplaced()) {
			names = append(names, name)
		}
	}
	return names
}

// isDue reports whether a pass is due.
func (p *pool) isDue(snapshot *configuration.Snapshot, grant lease.Grant) bool {
	if !p.held {
		p.held = true
		p.due = time.Time{}
	}
	p.fencing = grant.Fencing
	return snapshot != p.snapshot || !time.Now().Before(p.due)
}

// schedule sets the time of the next pass: the next tick while an engine is not
// in its desired state.
func (p *pool) schedule(snapshot *configuration.Snapshot, engines int) {
	p.snapshot = snapshot
	p.due = time.Time{}
	if len(p.converged) == engines {
		p.due = time.Now().Add(quietInterval)
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
func (r *Reconciler) confirm(p *pool, snapshot *configuration.Snapshot, readings []*reading) {
	configured := make(map[string]bool, len(readings))
	for _, reading := range readings {
		name := reading.endpoint.Name
		configured[name] = true
		r.confirmOne(p, snapshot, reading)
	}
	maps.DeleteFunc(p.tasks, func(name string, _ *task) bool { return !configured[name] })
	maps.DeleteFunc(p.converged, func(name string, _ bool) bool { return !configured[name] })
}

func (r *Reconciler) confirmOne(p *pool, snapshot *configuration.Snapshot, reading *reading) {
	name := reading.endpoint.Name
	if reading.readable && reading.state.ChecksFencing && reading.state.Fencing > p.fencing {
		r.options.Leases.Raise(p.lease)
	}
	if !reading.converged() {
		if reading.readable && p.converged[name] && p.snapshot == snapshot {
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
	r.options.Events.Record(timeline.OrderConfirmed, "", name+" "+describe(&reading.desired))
}

// takeOut begins the tasks of as many engines as may be out of service. An engine
// serves on until the weight store's budget allows its load.
func (r *Reconciler) takeOut(ctx context.Context, snapshot *configuration.Snapshot, p *pool, readings []*reading) {
	a := &admission{
		model:    p.model,
		readings: readings,
		tasks:    p.tasks,
		elsewhere: func(role configuration.Role) []*reading {
			return r.read(ctx, r.enginesElsewhere(snapshot, p.model, role))
		},
	}
	held, waits := false, false
	for _, reading := range readings {
		if !p.needsTask(reading) {
			continue
		}
		if !a.allows(reading) {
			held = true
			continue
		}
		waits = !p.begin(reading) || waits
	}
	if held {
		r.Counters.HeldBack.Add(1)
	}
	if waits {
		r.Counters.WeightWaits.Add(1)
	}
}

// needsTask reports whether an engine is to be changed and has no task yet.
func (p *pool) needsTask(reading *reading) bool {
	changes := reading.readable && !reading.state.Leaving && !reading.converged()
	return changes && p.tasks[reading.endpoint.Name] == nil
}

// begin begins the task of an engine and reports whether the budget allows it.
func (p *pool) begin(reading *reading) bool {
	t := &task{}
	if !t.pay(reading, &p.budget, time.Now()) {
		return false
	}
	p.tasks[reading.endpoint.Name] = t
	return true
}

// enginesElsewhere returns the engines of a role in other zones.
func (r *Reconciler) enginesElsewhere(snapshot *configuration.Snapshot, model string, role configuration.Role) []*configuration.Endpoint {
	var others []*configuration.Endpoint
	for _, e := range snapshot.Engines(model, role, "") {
		if e.Zone != r.options.Zone {
			others = append(others, e)
		}
	}
	return others
}

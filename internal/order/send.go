package order

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// orderTimeout limits the call that sends an order.
const orderTimeout = 2 * time.Second

// advance takes the next step of a task if it is due.
func (r *Reconciler) advance(ctx context.Context, snapshot *configuration.Snapshot, p *pool, observed *observation, t *task) {
	if !observed.readable || !r.ready(ctx, snapshot, observed, t) {
		return
	}
	now := time.Now()
	if t.awaitsEffect(observed, now) {
		return
	}
	if !t.chargeWeights(observed, &p.budget, now) {
		r.Counters.WeightWaits.Add(1)
		return
	}
	r.send(ctx, p, observed, t)
}

// ready reports whether an order may be sent: the other VMs know that the
// engine is excluded, and it is drained if it has to be or the drain limit has
// passed.
func (r *Reconciler) ready(ctx context.Context, snapshot *configuration.Snapshot, observed *observation, t *task) bool {
	name := observed.endpoint.Name
	now := time.Now()
	t.observeExclusion(r.options.Leases.Excluded(name), now)
	if !t.exclusionPropagated(now) {
		return false
	}
	if !observed.needsDrain() {
		return true
	}
	t.observeIdle(r.idle(ctx, name), now)
	if t.drained(now) {
		return true
	}
	if now.Sub(t.excludedSince) < snapshot.Fleet().Times.DrainLimit.D() {
		return false
	}
	r.Counters.DrainTimeouts.Add(1)
	return true
}

// send sends an order for the desired state. It checks the lease immediately
// before the call, and the call's deadline is at most the end of the lease.
func (r *Reconciler) send(ctx context.Context, p *pool, observed *observation, t *task) {
	client, found := r.options.Engines(observed.endpoint.Name)
	if !found {
		return
	}
	p.sequence++
	order := engine.Order{Desired: observed.desired}
	grant, held := r.options.Leases.Held(p.lease)
	if !held {
		r.Counters.NoLease.Add(1)
		return
	}
	order.Fencing = grant.Fencing
	order.ID = fmt.Sprintf("%s/%d/%d", p.lease, grant.Fencing, p.sequence)
	ctx, cancel := context.WithDeadline(ctx, earlierOf(grant.Until, time.Now().Add(orderTimeout)))
	defer cancel()
	r.Counters.Sent.Add(1)
	r.options.Events.Record(timeline.OrderSent, "", fmt.Sprintf("%s %s %s", order.ID, observed.endpoint.Name, describe(&order.Desired)))
	_, err := client.Order(ctx, order)
	r.recordOutcome(p, t, &order, err)
}

// recordOutcome records the outcome of an order. An order whose response was
// lost is retried, with a new ID, after the engine's state has been read again.
func (r *Reconciler) recordOutcome(p *pool, t *task, order *engine.Order, err error) {
	switch {
	case err == nil:
		t.sent = order
		t.sentAt = time.Now()
	case errorx.IsOfType(err, engine.StaleFencing):
		r.Counters.Stale.Add(1)
		r.options.Leases.Raise(p.lease)
	default:
		r.Counters.Failed.Add(1)
	}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// describe formats a state for the timeline.
func describe(d *engine.Desired) string {
	text := fmt.Sprintf("%s %s version %s", d.Role, d.Model, d.Version)
	if len(d.Adapters) > 0 {
		text += " adapters " + strings.Join(d.Adapters, ",")
	}
	return text
}

package order

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	// exclusionPropagationPeriod is the time allowed for other VMs to learn that
	// an engine is excluded.
	exclusionPropagationPeriod = time.Second
	// minIdlePeriod is how long an engine has to report no requests before it
	// counts as drained. It covers the lag of the load report and the time
	// between a grant and its decode call.
	minIdlePeriod = 3 * time.Second
	// resendInterval is the time after which an order that shows no effect is
	// retried.
	resendInterval = 5 * time.Second
)

// task tracks an engine that is out of service for an order.
type task struct {
	// charged is the desired state whose weights were charged to the budget.
	charged *engine.Desired
	// excludedSince is when the engine was first observed to be excluded from
	// new work, zero if it is not.
	excludedSince time.Time
	// idleSince is when the engine first reported no requests, zero if it has
	// some.
	idleSince time.Time
	// sent is the latest order that the engine accepted, and sentAt the time of
	// its acceptance.
	sent   *engine.Order
	sentAt time.Time
}

// chargeWeights charges the weights of a desired state to the budget, once per
// state, and reports whether the budget allows their load.
func (t *task) chargeWeights(r *observation, budget *weightBudget, now time.Time) bool {
	if !r.needsWeights() || (t.charged != nil && t.charged.Equal(&r.desired)) {
		return true
	}
	if !budget.reserve(now) {
		return false
	}
	t.charged = &r.desired
	return true
}

// observeExclusion records whether the engine is excluded from new work.
func (t *task) observeExclusion(excluded bool, now time.Time) {
	switch {
	case !excluded:
		t.excludedSince, t.idleSince = time.Time{}, time.Time{}
	case t.excludedSince.IsZero():
		t.excludedSince = now
	}
}

// observeIdle records whether the engine is idle.
func (t *task) observeIdle(idle bool, now time.Time) {
	switch {
	case !idle:
		t.idleSince = time.Time{}
	case t.idleSince.IsZero():
		t.idleSince = now
	}
}

// exclusionPropagated reports whether the engine has been excluded for long
// enough that other VMs know it.
func (t *task) exclusionPropagated(now time.Time) bool {
	return !t.excludedSince.IsZero() && now.Sub(t.excludedSince) >= exclusionPropagationPeriod
}

// drained reports whether the engine has been idle for long enough.
func (t *task) drained(now time.Time) bool {
	return !t.idleSince.IsZero() && now.Sub(t.idleSince) >= minIdlePeriod
}

// awaitsEffect reports whether the desired state was ordered and may still take
// effect.
func (t *task) awaitsEffect(r *observation, now time.Time) bool {
	if t.sent == nil || !t.sent.Desired.Equal(&r.desired) {
		return false
	}
	return r.state.Busy || now.Sub(t.sentAt) < resendInterval
}

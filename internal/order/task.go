package order

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	// settlePeriod is the time that other VMs get to read of an exclusion.
	exclusionPropagationPeriod = time.Second
	// idlePeriod is how long an engine has to report nothing active: the lag of
	// its report and the time between a grant and its decode call.
	minIdlePeriod = 3 * time.Second
	// resendPeriod is the time until an order that shows no effect is repeated.
	resendInterval = 5 * time.Second
)

// task is an engine that is out of service for an order.
type task struct {
	// paid is the desired state whose weights the budget was charged for.
	charged *engine.Desired
	// excluded is when the engine was first seen to get no new work.
	excludedSince time.Time
	// idle is when the engine first reported that it does nothing.
	idleSince time.Time
	// sent is the latest order that the engine took, sentAt when.
	sent   *engine.Order
	sentAt time.Time
}

// pay charges the weight budget for a desired state, once.
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

// observeExclusion notes whether the engine gets no new work.
func (t *task) observeExclusion(excluded bool, now time.Time) {
	switch {
	case !excluded:
		t.excludedSince, t.idleSince = time.Time{}, time.Time{}
	case t.excludedSince.IsZero():
		t.excludedSince = now
	}
}

// observeIdle notes whether the engine does nothing.
func (t *task) observeIdle(idle bool, now time.Time) {
	switch {
	case !idle:
		t.idleSince = time.Time{}
	case t.idleSince.IsZero():
		t.idleSince = now
	}
}

// settled reports whether other VMs know that the engine gets no new work.
func (t *task) exclusionPropagated(now time.Time) bool {
	return !t.excludedSince.IsZero() && now.Sub(t.excludedSince) >= exclusionPropagationPeriod
}

// drained reports whether the engine has been idle for long enough.
func (t *task) drained(now time.Time) bool {
	return !t.idleSince.IsZero() && now.Sub(t.idleSince) >= minIdlePeriod
}

// awaitsEffect reports whether the desired state was ordered and may still come
// into force.
func (t *task) awaitsEffect(r *observation, now time.Time) bool {
	if t.sent == nil || !t.sent.Desired.Equal(&r.desired) {
		return false
	}
	return r.state.Busy || now.Sub(t.sentAt) < resendInterval
}

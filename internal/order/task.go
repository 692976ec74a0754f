package order

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	// settlePeriod is the time that other VMs get to read of an exclusion.
	settlePeriod = time.Second
	// idlePeriod is how long an engine has to report nothing active: the lag of
	// its report and the time between a grant and its decode call.
	idlePeriod = 3 * time.Second
	// resendPeriod is the time until an order that shows no effect is repeated.
	resendPeriod = 5 * time.Second
)

// task is an engine that is out of service for an order.
type task struct {
	// paid is the desired state whose weights the budget was charged for.
	paid *engine.Desired
	// excluded is when the engine was first seen to get no new work.
	excluded time.Time
	// idle is when the engine first reported that it does nothing.
	idle time.Time
	// sent is the latest order that the engine took, sentAt when.
	sent   *engine.Order
	sentAt time.Time
}

// pay charges the weight budget for a desired state, once.
func (t *task) pay(r *reading, budget *weightBudget, now time.Time) bool {
	if !r.loads() || (t.paid != nil && t.paid.Equal(&r.desired)) {
		return true
	}
	if !budget.take(now) {
		return false
	}
	t.paid = &r.desired
	return true
}

// observeExclusion notes whether the engine gets no new work.
func (t *task) observeExclusion(excluded bool, now time.Time) {
	switch {
	case !excluded:
		t.excluded, t.idle = time.Time{}, time.Time{}
	case t.excluded.IsZero():
		t.excluded = now
	}
}

// observeIdle notes whether the engine does nothing.
func (t *task) observeIdle(idle bool, now time.Time) {
	switch {
	case !idle:
		t.idle = time.Time{}
	case t.idle.IsZero():
		t.idle = now
	}
}

// settled reports whether other VMs know that the engine gets no new work.
func (t *task) settled(now time.Time) bool {
	return !t.excluded.IsZero() && now.Sub(t.excluded) >= settlePeriod
}

// drained reports whether the engine has been idle for long enough.
func (t *task) drained(now time.Time) bool {
	return !t.idle.IsZero() && now.Sub(t.idle) >= idlePeriod
}

// awaitsEffect reports whether the desired state was ordered and may still come
// into force.
func (t *task) awaitsEffect(r *reading, now time.Time) bool {
	if t.sent == nil || !t.sent.Desired.Equal(&r.desired) {
		return false
	}
	return r.state.Busy || now.Sub(t.sentAt) < resendPeriod
}

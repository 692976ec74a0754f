package reservation

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// owner runs the coordinator of one model: it gives it the clock, serialises
// access and hands decisions to the calls that wait for them.
type owner struct {
	mu          sync.Mutex
	coordinator *scheduling.Coordinator
	calls       map[engine.AttemptID]chan scheduling.Outcome
	timer       *time.Timer
	// moved is closed when this VM stops owning the model.
	moved   chan struct{}
	stopped bool
	rebuild *rebuild
}

// newOwner returns an owner. With a rebuild it grants nothing until that is done.
func newOwner(settings scheduling.Settings, r *rebuild) *owner {
	o := &owner{
		coordinator: scheduling.NewCoordinator(settings),
		calls:       make(map[engine.AttemptID]chan scheduling.Outcome),
		moved:       make(chan struct{}),
		rebuild:     r,
	}
	if r != nil {
		o.coordinator.PauseGrants()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timer = time.AfterFunc(0, o.tick)
	return o
}

// reserve submits a demand and waits for the decision. If ctx ends first the
// demand is withdrawn.
func (o *owner) reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	outcome, call := o.submit(d)
	if call != nil {
		select {
		case outcome = <-call:
		case <-o.moved:
			return scheduling.Grant{}, Moved.New("the ownership of %s moved", d.Model)
		case <-ctx.Done():
			o.withdraw(d.ID, call)
			return scheduling.Grant{}, ctx.Err()
		}
	}
	if outcome.Refusal != nil {
		return scheduling.Grant{}, outcome.Refusal
	}
	return *outcome.Grant, nil
}

// submit returns the decision, or a channel that yields it. A later call for
// the same attempt takes the place of the earlier one.
func (o *owner) submit(d scheduling.Demand) (scheduling.Outcome, chan scheduling.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	outcome := o.coordinator.Submit(now, d)
	defer o.deliver(now)
	if !outcome.Waiting() {
		return outcome, nil
	}
	call := make(chan scheduling.Outcome, 1)
	o.calls[d.ID] = call
	return outcome, call
}

// withdraw removes a waiting demand unless another call took its place.
func (o *owner) withdraw(id engine.AttemptID, call chan scheduling.Outcome) {
	o.update(func(now time.Time, c *scheduling.Coordinator) {
		if o.calls[id] == call {
			delete(o.calls, id)
			c.Withdraw(now, id)
		}
	})
}

// update changes the coordinator and delivers the decisions that follow.
func (o *owner) update(change func(now time.Time, c *scheduling.Coordinator)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	change(now, o.coordinator)
	o.deliver(now)
}

// progress takes a holder's observation.
func (o *owner) progress(p scheduling.Progress) {
	o.update(func(now time.Time, c *scheduling.Coordinator) { c.Progress(now, p) })
}

// heartbeat takes all that one holder holds. It reports whether all of it is
// known now.
func (o *owner) heartbeat(vm string, incarnation uint64, held []scheduling.Held) bool {
	complete := false
	o.update(func(now time.Time, c *scheduling.Coordinator) {
		complete = c.Renew(now, vm, incarnation, held) == 0
		if complete && o.rebuild != nil {
			o.rebuild.heard(vm)
		}
	})
	return complete
}

// headroom returns the free part of the slots.
func (o *owner) headroom(priority int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.coordinator.Headroom(time.Now(), priority)
}

func (o *owner) tick() {
	o.update(func(time.Time, *scheduling.Coordinator) {})
}

// deliver ends a rebuild that is done, hands out decisions and sets the timer
// for the next ones.
func (o *owner) deliver(now time.Time) {
	if o.rebuild != nil && o.rebuild.done(now) {
		o.rebuild = nil
		o.coordinator.ResumeGrants()
	}
	for _, outcome := range o.coordinator.Tick(now) {
		call, ok := o.calls[outcome.ID]
		if !ok {
			continue
		}
		delete(o.calls, outcome.ID)
		call <- outcome
	}
	if !o.stopped {
		o.timer.Reset(o.coordinator.NextWake(now).Sub(now))
	}
}

// stop ends the timer and all waiting calls with Moved.
func (o *owner) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	o.stopped = true
	o.timer.Stop()
	close(o.moved)
}

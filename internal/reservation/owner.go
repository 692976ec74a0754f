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
	waiters     map[engine.AttemptID]chan scheduling.Outcome
	timer       *time.Timer
	stopped     bool
}

func newOwner(settings scheduling.Settings) *owner {
	o := &owner{
		coordinator: scheduling.NewCoordinator(settings),
		waiters:     make(map[engine.AttemptID]chan scheduling.Outcome),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timer = time.AfterFunc(0, o.tick)
	return o
}

// reserve submits a demand and waits for the decision. If ctx ends first the
// demand is withdrawn.
func (o *owner) reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	outcome, wait := o.submit(d)
	if wait != nil {
		select {
		case outcome = <-wait:
		case <-ctx.Done():
			o.cancel(d.ID)
			return scheduling.Grant{}, ctx.Err()
		}
	}
	if outcome.Refusal != nil {
		return scheduling.Grant{}, outcome.Refusal
	}
	return *outcome.Grant, nil
}

// submit returns the decision, or a channel that yields it.
func (o *owner) submit(d scheduling.Demand) (scheduling.Outcome, <-chan scheduling.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	outcome := o.coordinator.Submit(now, d)
	defer o.deliver(now)
	if !outcome.Waiting() {
		return outcome, nil
	}
	wait, ok := o.waiters[d.ID]
	if !ok {
		wait = make(chan scheduling.Outcome, 1)
		o.waiters[d.ID] = wait
	}
	return outcome, wait
}

// cancel withdraws a demand or releases its grant.
func (o *owner) cancel(id engine.AttemptID) {
	o.update(func(now time.Time, c *scheduling.Coordinator) { c.Cancel(now, id) })
}

// update changes the coordinator and delivers the decisions that follow.
func (o *owner) update(change func(now time.Time, c *scheduling.Coordinator)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	change(now, o.coordinator)
	o.deliver(now)
}

func (o *owner) tick() {
	o.update(func(time.Time, *scheduling.Coordinator) {})
}

// deliver hands out decisions and sets the timer for the next ones.
func (o *owner) deliver(now time.Time) {
	for _, outcome := range o.coordinator.Tick(now) {
		wait, ok := o.waiters[outcome.ID]
		if !ok {
			continue
		}
		delete(o.waiters, outcome.ID)
		wait <- outcome
	}
	if !o.stopped {
		o.timer.Reset(o.coordinator.NextWake(now).Sub(now))
	}
}

// stop ends the timer. Waiting calls end with their contexts.
func (o *owner) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
	o.timer.Stop()
}

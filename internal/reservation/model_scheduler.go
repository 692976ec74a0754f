package reservation

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// modelScheduler runs the coordinator of one model: it supplies the clock,
// serializes access and delivers decisions to the calls that wait for them.
type modelScheduler struct {
	mu          sync.Mutex
	coordinator *scheduling.Coordinator
	calls       map[engine.AttemptID]chan scheduling.Outcome
	timer       *time.Timer
	// ownershipLost is closed when this VM stops owning the model or the service
	// stops.
	ownershipLost chan struct{}
	stopped       bool
	rebuild       *rebuild
}

// newModelScheduler returns a scheduler. With a rebuild it grants nothing until
// the rebuild is done.
func newModelScheduler(settings scheduling.Settings, r *rebuild) *modelScheduler {
	sched := &modelScheduler{
		coordinator:   scheduling.NewCoordinator(settings),
		calls:         make(map[engine.AttemptID]chan scheduling.Outcome),
		ownershipLost: make(chan struct{}),
		rebuild:       r,
	}
	if r != nil {
		sched.coordinator.PauseGrants()
	}
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.timer = time.AfterFunc(0, sched.tick)
	return sched
}

// reserve submits a demand and waits for the decision. If ctx ends first, the
// demand is withdrawn.
func (sched *modelScheduler) reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	outcome, call := sched.submit(d)
	if call != nil {
		select {
		case outcome = <-call:
		case <-sched.ownershipLost:
			return scheduling.Grant{}, Moved.New("the ownership of %s moved", d.Model)
		case <-ctx.Done():
			sched.withdraw(d.ID, call)
			return scheduling.Grant{}, ctx.Err()
		}
	}
	if outcome.Refusal != nil {
		return scheduling.Grant{}, outcome.Refusal
	}
	return *outcome.Grant, nil
}

// submit returns the decision, or a channel that receives it. A later call for
// the same attempt replaces the earlier one.
func (sched *modelScheduler) submit(d scheduling.Demand) (scheduling.Outcome, chan scheduling.Outcome) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	now := time.Now()
	outcome := sched.coordinator.Submit(now, d)
	defer sched.deliver(now)
	if !outcome.Waiting() {
		return outcome, nil
	}
	call := make(chan scheduling.Outcome, 1)
	sched.calls[d.ID] = call
	return outcome, call
}

// withdraw removes a waiting demand unless a later call has replaced the one
// given.
func (sched *modelScheduler) withdraw(id engine.AttemptID, call chan scheduling.Outcome) {
	sched.update(func(now time.Time, c *scheduling.Coordinator) {
		if sched.calls[id] == call {
			delete(sched.calls, id)
			c.Withdraw(now, id)
		}
	})
}

// update changes the coordinator and delivers the decisions that result.
func (sched *modelScheduler) update(change func(now time.Time, c *scheduling.Coordinator)) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	now := time.Now()
	change(now, sched.coordinator)
	sched.deliver(now)
}

// progress applies a progress report of a holder.
func (sched *modelScheduler) progress(p scheduling.Progress) {
	sched.update(func(now time.Time, c *scheduling.Coordinator) { c.Progress(now, p) })
}

// heartbeat renews the grants that one holder lists and reports whether all of
// them are known now.
func (sched *modelScheduler) heartbeat(vm string, incarnation uint64, held []scheduling.Held) bool {
	complete := false
	sched.update(func(now time.Time, c *scheduling.Coordinator) {
		complete = c.Renew(now, vm, incarnation, held) == 0
		if complete && sched.rebuild != nil {
			sched.rebuild.markReported(vm)
		}
	})
	return complete
}

// headroom returns the free fraction of the slots for a demand.
func (sched *modelScheduler) headroom(d *scheduling.Demand) float64 {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.coordinator.Headroom(time.Now(), d)
}

func (sched *modelScheduler) tick() {
	sched.update(func(time.Time, *scheduling.Coordinator) {})
}

// deliver ends a rebuild that is done, delivers decisions and sets the timer
// for the next ones.
func (sched *modelScheduler) deliver(now time.Time) {
	if sched.rebuild != nil && sched.rebuild.done(now) {
		sched.rebuild = nil
		sched.coordinator.ResumeGrants()
	}
	for _, outcome := range sched.coordinator.Tick(now) {
		call, ok := sched.calls[outcome.ID]
		if !ok {
			continue
		}
		delete(sched.calls, outcome.ID)
		call <- outcome
	}
	if !sched.stopped {
		sched.timer.Reset(sched.coordinator.NextWake(now).Sub(now))
	}
}

// stop stops the timer and ends all waiting calls with Moved.
func (sched *modelScheduler) stop() {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.stopped {
		return
	}
	sched.stopped = true
	sched.timer.Stop()
	close(sched.ownershipLost)
}

package claim

import (
	"sync"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// Ticket is the right to execute the call of one key. It is safe for concurrent
// use.
type Ticket struct {
	key    ParsedKey
	writer *claimv1.Writer
	// expires is when the right to start the execution ends, by the monotonic
	// clock.
	expires time.Time
	finish  func(*Ticket, Outcome)

	mu       sync.Mutex
	finished bool
}

// MayExecute reports whether the call may be sent to the endpoint now. It must
// be called immediately before each send. It returns false once the ticket is
// finished, and when too much time has passed since the claim was won, for
// example because the process was paused.
func (t *Ticket) MayExecute() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.finished && time.Now().Before(t.expires)
}

// Finish ends the ticket and records the outcome in the background. If nothing
// was sent, the outcome must be DidNotRun, which closes the key. Further calls
// have no effect.
func (t *Ticket) Finish(outcome Outcome) {
	t.mu.Lock()
	done := t.finished
	t.finished = true
	t.mu.Unlock()
	if !done {
		t.finish(t, outcome)
	}
}

// Delivery is the right to deliver one recorded answer.
type Delivery struct {
	once      sync.Once
	returned  func()
	confirmed func()
}

// Delivered records in the background that the caller received the whole answer.
func (d *Delivery) Delivered() {
	d.once.Do(d.confirmed)
}

// Return gives up the delivery, so that another repeat can deliver the answer.
// It must only be called if the caller did not receive the whole answer.
func (d *Delivery) Return() {
	d.once.Do(d.returned)
}

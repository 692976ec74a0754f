package claim

import (
	"strconv"
	"sync"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// boundKeys handles keys that are bound to this VM's incarnation. They are
// claimed in memory, since no other process may ever execute them.
type boundKeys struct {
	settings *Settings
	// start is the base of the clock: later times add only monotonic time to
	// it, so that a step of the wall clock cannot make an evicted key
	// acceptable again.
	start time.Time

	mu      sync.Mutex
	entries map[string]*boundEntry
	// order holds the keys of entries from the oldest to the newest first use.
	order []boundExpiry
}

// boundEntry is the state of one bound key.
type boundEntry struct {
	finished bool
	outcome  Outcome
	// delivering is set while an attempt holds the right to deliver the answer.
	delivering bool
}

// boundExpiry is a key and the time after which it may be evicted.
type boundExpiry struct {
	key     string
	expires time.Time
}

func newBoundKeys(settings *Settings) *boundKeys {
	return &boundKeys{settings: settings, start: time.Now(), entries: make(map[string]*boundEntry)}
}

// Issue returns a new key that is bound to this VM's incarnation. It can be
// claimed on this VM during an outage of the log. Once this process has ended,
// repeats of the key are answered with Unknown.
func (c *Claims) Issue() (string, error) {
	id, err := newUUID(c.bound.now())
	if err != nil {
		return "", err
	}
	self := c.deps.View.Self()
	return self.VM + "." + strconv.FormatUint(self.Incarnation, 10) + "." + id.String(), nil
}

// claimBound decides an attempt with a bound key without calling another VM.
func (c *Claims) claimBound(key ParsedKey) (Decision, error) {
	self := c.deps.View.Self()
	switch {
	case key.VM == self.VM && key.Incarnation == self.Incarnation:
		return c.bound.claim(c, key)
	case aliveIn(c.deps.View, &claimv1.Writer{Vm: key.VM, Incarnation: key.Incarnation}):
		return Decision{Kind: Elsewhere, VM: key.VM, RetryAfter: c.settings.RetryAfter}, nil
	}
	return Decision{Kind: Unknown}, nil
}

// now returns the wall clock time at the start plus the monotonic time since.
func (b *boundKeys) now() time.Time { return b.start.Add(time.Since(b.start)) }

func (b *boundKeys) claim(c *Claims, key ParsedKey) (Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.prune(now)
	text := key.text()
	if e := b.entries[text]; e != nil {
		return b.repeat(e), nil
	}
	if err := b.settings.checkTime(key.Issued, now); err != nil {
		return Decision{}, err
	}
	if len(b.entries) >= b.settings.MaxBoundKeys {
		return Decision{}, Full.New("%d keys are remembered already", len(b.entries))
	}
	e := &boundEntry{}
	b.entries[text] = e
	b.order = append(b.order, boundExpiry{key: text, expires: now.Add(b.settings.KeyWindow + b.settings.ClockSkew)})
	ticket := c.ticket(key, nil)
	ticket.finish = func(_ *Ticket, outcome Outcome) { b.finish(e, outcome) }
	return Decision{Kind: Run, Ticket: ticket}, nil
}

// prune evicts keys that checkTime now refuses.
func (b *boundKeys) prune(now time.Time) {
	count := 0
	for count < len(b.order) && now.After(b.order[count].expires) {
		delete(b.entries, b.order[count].key)
		count++
	}
	b.order = b.order[count:]
}

// repeat decides a further attempt with a known key.
func (b *boundKeys) repeat(e *boundEntry) Decision {
	switch {
	case !e.finished:
		return Decision{Kind: Running, RetryAfter: b.settings.RetryAfter}
	case e.outcome.Execution == DidNotRun:
		return Decision{Kind: ClosedNotRun}
	case e.outcome.Execution != Ran:
		return Decision{Kind: Unknown}
	case e.outcome.Delivered:
		return Decision{Kind: Answered}
	case e.delivering:
		return Decision{Kind: Withheld, RetryAfter: b.settings.RetryAfter}
	}
	e.delivering = true
	return Decision{Kind: Recorded, Answer: e.outcome.Answer, Delivery: b.delivery(e)}
}

// delivery returns the right to deliver the answer of a bound key.
func (b *boundKeys) delivery(e *boundEntry) *Delivery {
	return &Delivery{
		returned:  func() { b.endDelivery(e, false) },
		confirmed: func() { b.endDelivery(e, true) },
	}
}

func (b *boundKeys) endDelivery(e *boundEntry, delivered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.delivering = false
	if delivered {
		e.outcome = Outcome{Execution: Ran, Delivered: true}
	}
}

// finish records the outcome of a bound key in memory.
func (b *boundKeys) finish(e *boundEntry, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.finished = true
	e.outcome = Outcome{Execution: outcome.Execution, Delivered: outcome.Delivered}
	if outcome.Execution == Ran && !outcome.Delivered {
		e.outcome.Answer = answerFrom(outcome.Answer.message())
	}
}

// Package membudget accounts for the bytes that a VM holds for callers and endpoints: request
// bodies, answers that are read before they are delivered, and events that are not yet sent. It
// only counts; the owners of the buffers reserve before they allocate.
//
// It is designed for two thousand holders at a time on the smallest VM (112 MB), each of which
// reserves a few times per request.
package membudget

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// BodyBytes is the guaranteed part for the body of a request.
	BodyBytes = 4 << 10
	// AnswerBytes is the guaranteed part for its answer. Nearly all events and the answers of prefill
	// calls fit.
	AnswerBytes = 8 << 10
	// guaranteedShare is the share of the budget for guaranteed parts.
	guaranteedShare = 0.5
	// turnBytes is lent to one holder at a time. It covers the growth of a buffer to the largest
	// event (1 MB) while the buffer before it is still held.
	turnBytes = 3 << 20
)

var (
	// ErrTooLarge means that a reservation exceeds what is lent to one holder.
	ErrTooLarge = errors.New("larger than the memory for one holder")
	// ErrClosed means that the holder has ended.
	ErrClosed = errors.New("the holder has ended")
)

// Counters count reservations and their outcomes. The zero value is ready to use.
type Counters struct {
	// Capacity is the size of the budget, 0 if there is none. Reserved is the part of it that is
	// taken by guaranteed parts and reservations beyond them.
	Capacity, Reserved atomic.Int64
	// RefusedRequests counts requests that were refused because no guaranteed part was left,
	// RefusedBodies those whose body did not fit.
	RefusedRequests, RefusedBodies atomic.Int64
	// PassedOn counts answers that were passed on while they were read.
	PassedOn atomic.Int64
	// Waits counts reservations that waited, Lent those that got the bytes lent to one holder.
	Waits, Lent atomic.Int64
	// Disconnected counts callers that were disconnected because they did not read.
	Disconnected atomic.Int64
	// EndpointsFull counts calls that were not sent because of the bytes in flight to their endpoint.
	EndpointsFull atomic.Int64
}

// Limits are the parts of a budget in bytes.
type Limits struct {
	// Guaranteed is for the guaranteed parts of holders, Shared for what they need beyond them,
	// Turn for one holder at a time that gets nothing of Shared.
	Guaranteed, Shared, Turn int64
}

// Split returns the parts of a budget of a size, which must be at least 8 MB.
func Split(capacity int64) Limits {
	guaranteed := int64(guaranteedShare * float64(capacity))
	return Limits{Guaranteed: guaranteed, Shared: capacity - guaranteed - turnBytes, Turn: turnBytes}
}

// Budget is a budget of bytes. It is safe for concurrent use. A nil budget has no bound.
type Budget struct {
	// Counters are read by the metrics.
	Counters *Counters

	mu sync.Mutex
	// free is what is left of each part.
	free Limits
	// borrower is the holder that was lent bytes of Turn, nil if there is none.
	borrower *Holder
	// waiting are the reservations that wait, in order of arrival.
	waiting []*waiter
}

// waiter is a reservation that waits.
type waiter struct {
	holder *Holder
	bytes  int64
	// decided is closed once err is set.
	decided chan struct{}
	err     error
}

// New returns a budget.
func New(limits Limits, counters *Counters) *Budget {
	counters.Capacity.Store(limits.Guaranteed + limits.Shared + limits.Turn)
	return &Budget{Counters: counters, free: limits}
}

// Holder is what is held for one reader. It is safe for concurrent use. A nil holder has no bound.
type Holder struct {
	budget     *Budget
	guaranteed int64
	// used is what the holder has reserved; shared and lent are what of it is beyond the
	// guaranteed part, by where it comes from.
	used, shared, lent int64
	closed             bool
}

// Open returns a holder with a guaranteed part, false if none is left. The holder must be closed.
func (b *Budget) Open(guaranteed int64) (*Holder, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free.Guaranteed < guaranteed {
		return nil, false
	}
	b.free.Guaranteed -= guaranteed
	b.Counters.Reserved.Add(guaranteed)
	return &Holder{budget: b, guaranteed: guaranteed}, true
}

// TryReserve reserves bytes without waiting. It returns false if they exceed the guaranteed part and
// the budget has no room for them, or others wait for it.
func (h *Holder) TryReserve(n int64) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return !h.closed && h.tryReserve(n)
}

// tryReserve implements TryReserve. The budget is locked.
func (h *Holder) tryReserve(n int64) bool {
	b, beyond := h.budget, h.beyond(n)
	if beyond > 0 && (len(b.waiting) > 0 || b.free.Shared < beyond) {
		return false
	}
	h.take(n, beyond, false)
	return true
}

// Reserve reserves bytes and waits until they are there, in order of arrival. A holder that waits
// first is lent the bytes that are kept for one at a time, so that it can always go on.
func (h *Holder) Reserve(ctx context.Context, n int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	if done, err := h.reserveNow(n); done {
		b.mu.Unlock()
		return err
	}
	w := &waiter{holder: h, bytes: n, decided: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.Counters.Waits.Add(1)
	b.serveWaiting()
	b.mu.Unlock()
	select {
	case <-w.decided:
		return w.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.decided:
		if w.err == nil {
			h.release(n)
		}
	default:
		b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
		b.serveWaiting()
	}
	return ctx.Err()
}

// reserveNow reports whether a reservation is decided at once. A holder that was lent bytes
// does not queue behind others, which wait for just these bytes.
func (h *Holder) reserveNow(n int64) (bool, error) {
	switch {
	case h.closed:
		return true, ErrClosed
	case h.tryReserve(n):
		return true, nil
	case h.budget.borrower != h:
		return false, nil
	case h.beyond(n) > h.budget.free.Turn:
		return true, ErrTooLarge
	}
	h.take(n, h.beyond(n), true)
	return true, nil
}

// serveWaiting decides the reservations at the head of the queue. The budget is locked.
func (b *Budget) serveWaiting() {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		beyond := w.holder.beyond(w.bytes)
		switch {
		case w.holder.closed:
			w.err = ErrClosed
		case beyond <= b.free.Shared:
			w.holder.take(w.bytes, beyond, false)
		case b.borrower != nil && b.borrower != w.holder:
			return
		case beyond > b.free.Turn:
			w.err = ErrTooLarge
		default:
			w.holder.take(w.bytes, beyond, true)
			b.Counters.Lent.Add(1)
		}
		b.waiting = b.waiting[1:]
		close(w.decided)
	}
}

// beyond returns how much of n further bytes is beyond the guaranteed part.
func (h *Holder) beyond(n int64) int64 {
	return max(0, h.used+n-h.guaranteed) - max(0, h.used-h.guaranteed)
}

// take records a reservation. The budget is locked.
func (h *Holder) take(n, beyond int64, lent bool) {
	b := h.budget
	h.used += n
	b.Counters.Reserved.Add(beyond)
	if lent {
		h.lent += beyond
		b.free.Turn -= beyond
		b.borrower = h
		return
	}
	h.shared += beyond
	b.free.Shared -= beyond
}

// Release returns reserved bytes.
func (h *Holder) Release(n int64) {
	if h == nil || n == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed {
		h.release(n)
	}
}

// release returns reserved bytes, first those that were lent. The budget is locked.
func (h *Holder) release(n int64) {
	b := h.budget
	h.used -= n
	surplus := h.shared + h.lent - max(0, h.used-h.guaranteed)
	b.Counters.Reserved.Add(-surplus)
	returned := min(surplus, h.lent)
	h.lent -= returned
	b.free.Turn += returned
	if h.lent == 0 && b.borrower == h {
		b.borrower = nil
	}
	h.shared -= surplus - returned
	b.free.Shared += surplus - returned
	b.serveWaiting()
}

// CountPassedOn counts an answer that is passed on because it does not fit.
func (h *Holder) CountPassedOn() {
	if h != nil {
		h.budget.Counters.PassedOn.Add(1)
	}
}

// Close returns all that the holder has. Later reservations fail.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	b.free.Guaranteed += h.guaranteed
	b.Counters.Reserved.Add(-h.guaranteed)
	h.release(h.used)
}

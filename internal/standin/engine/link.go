package engine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// link simulates a link of a limited rate that concurrent transfers share
// equally. Its virtual clock advances by the bytes that each active transfer
// moves: a transfer is done when the clock reaches its finish.
type link struct {
	mu           sync.Mutex
	rate         float64 // bytes per second, 0 for no limit
	stalled      bool
	virtualClock float64 // bytes moved per active transfer
	updated      time.Time
	transfers    []*transfer
	timer        *time.Timer
}

// transfer is one import of a KV cache.
type transfer struct {
	finish float64 // value of the virtual clock in bytes
	done   chan struct{}
}

// roundingBytes is the tolerance for rounding errors of the virtual clock.
const roundingBytes = 1

// start starts a transfer; its channel done is closed at the end.
func (l *link) start(bytes int64) *transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	t := &transfer{finish: l.virtualClock + float64(bytes), done: make(chan struct{})}
	l.transfers = append(l.transfers, t)
	l.reschedule()
	return t
}

// stop ends a transfer early; it does nothing if the transfer is done.
func (l *link) stop(t *transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if i := slices.Index(l.transfers, t); i >= 0 {
		l.transfers = slices.Delete(l.transfers, i, i+1)
	}
	l.reschedule()
}

// stall pauses or resumes all transfers.
func (l *link) stall(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.stalled = stalled
	l.reschedule()
}

// close drops all transfers and stops the timer.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers = nil
	l.reschedule()
}

// advance moves the virtual clock to now.
func (l *link) advance() {
	now := time.Now()
	if len(l.transfers) > 0 && !l.stalled {
		l.virtualClock += now.Sub(l.updated).Seconds() * l.rate / float64(len(l.transfers))
	}
	l.updated = now
}

// reschedule completes the transfers that are done and sets the timer for the next
// completion.
func (l *link) reschedule() {
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.stalled {
		return
	}
	l.transfers = slices.DeleteFunc(l.transfers, l.closeIfDone)
	if len(l.transfers) == 0 {
		return
	}
	next := slices.MinFunc(l.transfers, func(a, b *transfer) int { return cmp.Compare(a.finish, b.finish) })
	seconds := (next.finish - l.virtualClock) * float64(len(l.transfers)) / l.rate
	l.timer = time.AfterFunc(time.Duration(seconds*float64(time.Second)), l.expire)
}

func (l *link) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.reschedule()
}

// closeIfDone reports whether a transfer is done and closes its channel if so.
func (l *link) closeIfDone(t *transfer) bool {
	if l.rate > 0 && t.finish > l.virtualClock+roundingBytes {
		return false
	}
	close(t.done)
	return true
}

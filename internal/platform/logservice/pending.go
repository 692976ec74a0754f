package logservice

import "sync"

// pendingEntry is one entry whose caller waits for its offset.
type pendingEntry struct {
	entry Entry
	// done receives the outcome; it has room for one.
	done chan outcome
	// abandoned is closed when the caller stops waiting.
	abandoned chan struct{}
}

type outcome struct {
	offset uint64
	err    error
}

func newPendingEntry(entry Entry) *pendingEntry {
	return &pendingEntry{entry: entry, done: make(chan outcome, 1), abandoned: make(chan struct{})}
}

// batch is the set of entries of one append.
type batch struct {
	pending []*pendingEntry
	// position is a next offset of the stream from before the append, so the
	// append's records lie at or above it.
	position uint64
}

func (b *batch) entries() []Entry {
	entries := make([]Entry, len(b.pending))
	for i, p := range b.pending {
		entries[i] = p.entry
	}
	return entries
}

func (b *batch) succeed(first uint64) {
	for i, p := range b.pending {
		p.done <- outcome{offset: first + uint64(i)}
	}
}

func (b *batch) fail(err error) {
	for _, p := range b.pending {
		p.done <- outcome{err: err}
	}
}

// hasWaiters reports whether any caller still waits.
func (b *batch) hasWaiters() bool {
	for _, p := range b.pending {
		select {
		case <-p.abandoned:
		default:
			return true
		}
	}
	return false
}

// queue holds the entries of one stream and purpose that are not sent yet.
type queue struct {
	stream  string
	purpose Purpose
	// inFlight bounds concurrent appends.
	inFlight chan struct{}

	mu      sync.Mutex
	waiting []*pendingEntry
	// running says that a flush loop exists.
	running     bool
	arrivalRate observedRate
	// position is a lower bound of the stream's next offset.
	position      uint64
	positionKnown bool
}

func newQueue(stream string, purpose Purpose) *queue {
	return &queue{stream: stream, purpose: purpose, inFlight: make(chan struct{}, maxInFlight)}
}

// withdraw removes an entry that was not sent and reports whether it did.
func (q *queue) withdraw(p *pendingEntry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == p {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// take removes the next batch. It returns nil and marks the flush loop as
// ended if there is none.
func (q *queue) take(maxEntries, maxBytes int) *batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running = false
		return nil
	}
	count := batchLength(q.waiting, maxEntries, maxBytes)
	taken := q.waiting[:count:count]
	q.waiting = q.waiting[count:]
	return &batch{pending: taken, position: q.position}
}

// batchLength returns how many entries fit into one append, at least one.
func batchLength(waiting []*pendingEntry, maxEntries, maxBytes int) int {
	count, size := 0, 0
	for count < len(waiting) && count < maxEntries {
		size += len(waiting[count].entry.Data)
		if count > 0 && size > maxBytes {
			break
		}
		count++
	}
	return count
}

// advancePosition raises the lower bound of the stream's next offset.
func (q *queue) advancePosition(next uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.position = max(q.position, next)
	q.positionKnown = true
}

func (q *queue) hasPosition() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.positionKnown
}

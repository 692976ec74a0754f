package logservice

import "sync"

// pendingEntry is an entry whose caller waits for its offset.
type pendingEntry struct {
	entry Entry
	// done receives the outcome. Its buffer of one keeps the sender from blocking.
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

// batch holds the entries of one append.
type batch struct {
	pending []*pendingEntry
	// position is the queue's lower bound of the stream's next offset from before
	// the append, so the records of the append have this offset or higher ones.
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

// hasWaiters reports whether any caller still waits for the outcome.
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

// queue holds the unsent entries of one stream and purpose.
type queue struct {
	stream  string
	purpose Purpose
	// inFlight is a semaphore that bounds concurrent appends.
	inFlight chan struct{}

	mu      sync.Mutex
	waiting []*pendingEntry
	// running reports whether a flush goroutine exists.
	running     bool
	arrivalRate observedRate
	// position is a lower bound of the stream's next offset.
	position      uint64
	positionKnown bool
}

func newQueue(stream string, purpose Purpose) *queue {
	return &queue{stream: stream, purpose: purpose, inFlight: make(chan struct{}, maxInFlight)}
}

// withdraw removes an unsent entry and reports whether the entry was still queued.
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

// take removes the next batch from the queue. If the queue is empty it returns nil
// and marks the flush goroutine as ended.
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

// batchLength returns the number of entries that fit into one append, at least one.
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

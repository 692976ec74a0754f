package engine

import "time"

// EventType is the kind of a change of the prefix cache.
type EventType string

// Types of cache events.
const (
	EventStored  EventType = "stored"
	EventRemoved EventType = "removed"
	EventCleared EventType = "cleared"
)

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Seq            uint64    `json:"seq"`
	Type           EventType `json:"type"`
	BlockHashes    []string  `json:"block_hashes"`
	TokensPerBlock int       `json:"tokens_per_block"`
}

// maxEvents is the maximum number of retained events; the oldest are dropped.
const maxEvents = 4096

// eventLog retains the latest cache events. Readers get them after a lag and
// without the lost ones.
type eventLog struct {
	lag     time.Duration
	next    uint64
	entries []eventEntry
	// added is closed and replaced when an event is added.
	added chan struct{}
}

type eventEntry struct {
	visible time.Time // start of visibility
	lost    bool
	event   CacheEvent
}

func newEventLog(lag time.Duration) *eventLog {
	return &eventLog{lag: lag, added: make(chan struct{})}
}

func (l *eventLog) add(kind EventType, hashes []string, lost bool) {
	event := CacheEvent{Seq: l.next, Type: kind, BlockHashes: hashes, TokensPerBlock: TokensPerBlock}
	l.next++
	l.entries = append(l.entries, eventEntry{visible: time.Now().Add(l.lag), lost: lost, event: event})
	if len(l.entries) > maxEvents {
		l.entries = l.entries[len(l.entries)-maxEvents:]
	}
	close(l.added)
	l.added = make(chan struct{})
}

// read returns the events from a sequence number on that are visible, the
// number to read from next, and the time until the next event becomes visible
// (0 if there is none).
func (l *eventLog) read(from uint64) (events []CacheEvent, next uint64, pending time.Duration) {
	now := time.Now()
	next = l.next
	for _, entry := range l.entries {
		if entry.visible.After(now) {
			return events, entry.event.Seq, entry.visible.Sub(now)
		}
		if entry.event.Seq >= from && !entry.lost {
			events = append(events, entry.event)
		}
	}
	return events, next, 0
}

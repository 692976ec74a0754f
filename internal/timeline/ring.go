package timeline

import (
	"expvar"
	"math/bits"
	"sync/atomic"
	"time"
)

// Ring is a ring buffer of the latest events of one process. It is safe for
// concurrent use. Writers are lock-free: each takes a sequence number and stores one
// pointer.
type Ring struct {
	vm          string
	incarnation uint64
	started     time.Time
	slots       []atomic.Pointer[Event]
	mask        uint64
	// last is the last assigned sequence number.
	last atomic.Uint64
}

var _ Recorder = (*Ring)(nil)

// NewRing returns a ring for the events of one incarnation of a VM. It holds at least
// capacity events; the size is rounded up to a power of two.
func NewRing(vm string, incarnation uint64, capacity int) *Ring {
	size := uint64(1) << bits.Len64(uint64(max(capacity, 1)-1))
	return &Ring{
		vm:          vm,
		incarnation: incarnation,
		started:     time.Now(),
		slots:       make([]atomic.Pointer[Event], size),
		mask:        size - 1,
	}
}

// VM returns the name of the VM whose events the ring holds.
func (r *Ring) VM() string { return r.vm }

// Incarnation returns the incarnation whose events the ring holds.
func (r *Ring) Incarnation() uint64 { return r.incarnation }

// Record implements Recorder. It overwrites the oldest event when the ring is
// full.
func (r *Ring) Record(kind Kind, request, detail string) {
	now := time.Now()
	r.store(&Event{
		Sequence:    r.last.Add(1),
		Wall:        now,
		Monotonic:   now.Sub(r.started),
		VM:          r.vm,
		Incarnation: r.incarnation,
		Request:     request,
		Kind:        kind,
		Detail:      detail,
	})
}

// store puts an event into its slot unless the slot already holds a later event. That
// happens if other writers wrapped around the whole ring before this one stored its
// event.
func (r *Ring) store(event *Event) {
	slot := &r.slots[event.Sequence&r.mask]
	for {
		current := slot.Load()
		if current != nil && current.Sequence > event.Sequence {
			return
		}
		if slot.CompareAndSwap(current, event) {
			return
		}
	}
}

// Dropped returns the number of events that have been overwritten.
func (r *Ring) Dropped() uint64 {
	return r.first(r.last.Load()) - 1
}

// first returns the oldest sequence number that the ring can still hold.
func (r *Ring) first(last uint64) uint64 {
	size := uint64(len(r.slots))
	if last <= size {
		return 1
	}
	return last - size + 1
}

// Query selects events of a ring.
type Query struct {
	// After is a sequence number; only later events are selected.
	After uint64
	// Request selects the events of one request, see Event.Concerns. If it is empty,
	// all events are selected.
	Request string
	// Limit bounds the number of events; 0 means no bound.
	Limit int
}

// Batch is the result of a query.
type Batch struct {
	// VM and Incarnation identify the process.
	VM          string
	Incarnation uint64
	// Events are sorted by sequence number.
	Events []Event
	// Next is the After value for the next query.
	Next uint64
	// Dropped is the number of events between After and Next that were
	// overwritten before they were read.
	Dropped uint64
	// More reports whether Limit was reached before the last event.
	More bool
}

// Since returns the events in the ring that match the query. It stops before an event
// whose writer has not stored it yet, so that a later query returns that event.
func (r *Ring) Since(query Query) Batch {
	last := r.last.Load()
	batch := Batch{VM: r.vm, Incarnation: r.incarnation, Next: min(query.After, last)}
	if first := r.first(last); batch.Next+1 < first {
		batch.Dropped = first - batch.Next - 1
		batch.Next = first - 1
	}
	for batch.Next < last {
		if query.Limit > 0 && len(batch.Events) == query.Limit {
			batch.More = true
			break
		}
		sequence := batch.Next + 1
		event := r.slots[sequence&r.mask].Load()
		if event == nil || event.Sequence < sequence {
			break
		}
		batch.add(event, sequence, query.Request)
	}
	return batch
}

// add adds the event found in the slot of a sequence number. If it is a later event,
// the wanted one was overwritten and counts as dropped.
func (b *Batch) add(event *Event, sequence uint64, request string) {
	b.Next = sequence
	if event.Sequence != sequence {
		b.Dropped++
		return
	}
	if event.Concerns(request) {
		b.Events = append(b.Events, *event)
	}
}

// Metrics returns the counters of the ring.
func (r *Ring) Metrics() *expvar.Map {
	values := new(expvar.Map)
	values.Set("recorded", expvar.Func(func() any { return r.last.Load() }))
	values.Set("dropped", expvar.Func(func() any { return r.Dropped() }))
	return values
}

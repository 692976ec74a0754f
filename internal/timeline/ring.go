package timeline

import (
	"expvar"
	"math/bits"
	"sync/atomic"
	"time"
)

// Ring keeps the latest events of one process. It is safe for concurrent use:
// writers take a sequence number and store one pointer, and never wait.
type Ring struct {
	vm          string
	incarnation uint64
	started     time.Time
	slots       []atomic.Pointer[Event]
	mask        uint64
	// last is the last sequence number given out.
	last atomic.Uint64
}

var _ Recorder = (*Ring)(nil)

// NewRing returns a ring for the events of one incarnation of a VM. It keeps at
// least capacity events; the number is rounded up to a power of two.
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

// VM returns the name of the VM whose events the ring keeps.
func (r *Ring) VM() string { return r.vm }

// Incarnation returns the incarnation whose events the ring keeps.
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

// store puts an event into its slot unless a later event, whose writer
// overtook this one by a whole round of the ring, is already there.
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

// first returns the oldest sequence number that can still be kept.
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
	// Request selects the events of one request, see Event.Concerns; empty
	// selects all.
	Request string
	// Limit bounds the number of events; 0 stands for no bound.
	Limit int
}

// Batch is a part of a process's events.
type Batch struct {
	// VM and Incarnation name the process.
	VM          string
	Incarnation uint64
	// Events are in the order of their sequence numbers.
	Events []Event
	// Next is the After of the query that continues this one.
	Next uint64
	// Dropped is the number of events between After and Next that were
	// overwritten before they were read.
	Dropped uint64
	// More says that the limit was reached before the last event.
	More bool
}

// Since returns the kept events that the query selects. It stops before an
// event whose writer has not finished, so that a later query returns it.
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

// add takes the event found in the slot of a sequence number.
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

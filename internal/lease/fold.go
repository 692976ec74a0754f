package lease

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// Verdict is the effect of a record.
type Verdict string

// The verdicts.
const (
	Acquired   Verdict = "acquired"
	Renewed    Verdict = "renewed"
	Released   Verdict = "released"
	Refused    Verdict = "refused"
	Unreadable Verdict = "unreadable"
)

// State is the state of one lease. All times are by the log's clock.
type State struct {
	Holder Holder
	// Fencing is the offset of the acquire record.
	Fencing uint64
	// Acquired is when the lease was acquired and Expires when it ends.
	Acquired, Expires time.Time
	// Free is the earliest time at which a VM may acquire the lease after it has
	// ended. It applies to the previous holder as well.
	Free time.Time
	// Excluded are the endpoints that get no new work until Expires.
	Excluded []string

	// id is the entry id of the acquire record.
	id string
}

// Fold computes the state of all leases by applying the stream's records in
// order; the state depends on nothing else. It is not safe for concurrent use.
type Fold struct {
	terms  Terms
	leases map[string]State
	// latest is the highest time of any record so far. Using it as the current
	// time means that a backward step of the log's clock extends leases and never
	// shortens them.
	latest time.Time
	// settledAt is the log time from which missing and unreadable records no longer
	// affect the state.
	settledAt time.Time
}

// NewFold returns the state before the first record.
func NewFold(terms Terms) *Fold {
	return &Fold{terms: terms, leases: make(map[string]State)}
}

// Skip discards the state because records before a log time are missing. The
// state is not settled until those records could no longer affect it.
func (f *Fold) Skip(before time.Time) {
	clear(f.leases)
	f.settledAt = before.Add(f.terms.settlePeriod())
}

// Settled reports whether the state at a log time is certain, in spite of missing
// or unreadable records.
func (f *Fold) Settled(at time.Time) bool { return !at.Before(f.settledAt) }

// Get returns the state of a lease, and false if no acquisition is known.
func (f *Fold) Get(name string) (State, bool) {
	state, ok := f.leases[name]
	return state, ok
}

// Apply applies the next record of the stream.
func (f *Fold) Apply(logged logservice.Record) (Record, Verdict) {
	if logged.Time.After(f.latest) {
		f.latest = logged.Time
	}
	record, err := Decode(logged.Data)
	if err != nil {
		return Record{}, f.unreadable()
	}
	switch record.Kind {
	case KindAcquire:
		return record, f.acquire(&record, logged)
	case KindRenew:
		return record, f.renew(&record)
	case KindRelease:
		return record, f.release(&record)
	default:
		return record, f.unreadable()
	}
}

// unreadable handles a record that cannot be read. The record may have granted
// any lease, so the state is not settled until such a grant and the handover delay
// after it would have ended.
func (f *Fold) unreadable() Verdict {
	settles := f.latest.Add(f.terms.Duration + f.terms.HandoverDelay)
	if settles.After(f.settledAt) {
		f.settledAt = settles
	}
	return Unreadable
}

// acquire grants a free lease to the first VM that requests it. The current holder
// may acquire it again to get a higher fencing number.
func (f *Fold) acquire(record *Record, logged logservice.Record) Verdict {
	state, known := f.leases[record.Lease]
	if f.latest.After(record.validUntil()) || (known && state.id == logged.ID) {
		return Refused
	}
	again := state.Holder == record.Holder && f.latest.Before(state.Expires)
	if known && !again && f.latest.Before(state.Free) {
		return Refused
	}
	next := State{
		Holder:   record.Holder,
		Fencing:  logged.Offset,
		Acquired: f.latest,
		Excluded: record.Excluded,
		id:       logged.ID,
	}
	f.extend(&next, f.terms.Duration)
	f.leases[record.Lease] = next
	return Acquired
}

func (f *Fold) renew(record *Record) Verdict {
	state, held := f.held(record)
	if !held || !f.latest.Before(state.Acquired.Add(f.terms.MaxTenure)) {
		return Refused
	}
	state.Excluded = record.Excluded
	f.extend(&state, f.terms.Duration)
	f.leases[record.Lease] = state
	return Renewed
}

// release ends a lease immediately. The handover delay still applies, because the
// holder's last order may still be in flight.
func (f *Fold) release(record *Record) Verdict {
	state, held := f.held(record)
	if !held {
		return Refused
	}
	state.Excluded = nil
	f.extend(&state, 0)
	f.leases[record.Lease] = state
	return Released
}

// held returns the state of a record's lease and whether the record's holder still
// holds the lease under the record's fencing number.
func (f *Fold) held(record *Record) (State, bool) {
	state, known := f.leases[record.Lease]
	same := state.Holder == record.Holder && state.Fencing == record.Fencing
	return state, known && same && f.latest.Before(state.Expires)
}

func (f *Fold) extend(state *State, period time.Duration) {
	state.Expires = f.latest.Add(period)
	state.Free = state.Expires.Add(f.terms.HandoverDelay)
}

package lease

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// Verdict is what a record did.
type Verdict string

// The verdicts.
const (
	Acquired   Verdict = "acquired"
	Renewed    Verdict = "renewed"
	Released   Verdict = "released"
	Refused    Verdict = "refused"
	Unreadable Verdict = "unreadable"
)

// State is the state of one lease. Times are those of the log's clock.
type State struct {
	Holder Holder
	// Fencing is the offset of the acquire record.
	Fencing uint64
	// Acquired is when the lease was acquired and Expires when it ends.
	Acquired, Expires time.Time
	// Free is when another VM may acquire it.
	Free time.Time
	// Excluded are the endpoints that get no new work until Expires.
	Excluded []string

	// id is that of the acquire record.
	id string
}

// Fold is the state of all leases. It is a pure function of the stream's records
// in their order and not safe for concurrent use.
type Fold struct {
	terms  Terms
	leases map[string]State
	// latest is the highest time of any record, so that a step back of the
	// log's clock extends leases and never shortens them.
	latest time.Time
	// settledAt is when the effect of missing and unreadable records is over.
	settledAt time.Time
}

// NewFold returns the state before the first record.
func NewFold(terms Terms) *Fold {
	return &Fold{terms: terms, leases: make(map[string]State)}
}

// Skip notes that records before a log time are missing. The state is not
// settled until their effect is over.
func (f *Fold) Skip(before time.Time) {
	clear(f.leases)
	f.settledAt = before.Add(f.terms.settlePeriod())
}

// Settled reports whether the state is known at a log time.
func (f *Fold) Settled(at time.Time) bool { return !at.Before(f.settledAt) }

// Get returns the state of a lease; there is none if it was never acquired.
func (f *Fold) Get(name string) (State, bool) {
	state, ok := f.leases[name]
	return state, ok
}

// Apply takes the next record of the stream.
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

// unreadable takes a record that may have given any lease to somebody.
func (f *Fold) unreadable() Verdict {
	settles := f.latest.Add(f.terms.Duration + f.terms.HandoverDelay)
	if settles.After(f.settledAt) {
		f.settledAt = settles
	}
	return Unreadable
}

// acquire gives a lease to the first that asks once it is free. Its holder may
// acquire it again for a higher fencing number.
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

// release ends a lease at once. The wait-out stays, because the holder's last
// order may still be on its way.
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

// held returns the state of a record's lease and whether its holder still holds
// the acquisition that the record names.
func (f *Fold) held(record *Record) (State, bool) {
	state, known := f.leases[record.Lease]
	same := state.Holder == record.Holder && state.Fencing == record.Fencing
	return state, known && same && f.latest.Before(state.Expires)
}

func (f *Fold) extend(state *State, period time.Duration) {
	state.Expires = f.latest.Add(period)
	state.Free = state.Expires.Add(f.terms.HandoverDelay)
}

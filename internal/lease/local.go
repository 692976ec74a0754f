package lease

import (
	"slices"
	"time"
)

// localLease is this VM's own state for one lease.
type localLease struct {
	name   string
	wanted bool
	// appending says that an append is in flight; appendStart is when the latest
	// append started.
	appending   bool
	appendStart time.Time
	// retryAt is the earliest time of the next append after a failed one.
	retryAt time.Time
	// freeSince is the local time since which the lease has been free, zero if it
	// is not.
	freeSince time.Time
	// raiseFencing requests a higher fencing number.
	raiseFencing bool
	// excluded are the endpoints to exclude, excludedSent those in the latest
	// record.
	excluded, excludedSent []string
	grant                  *Grant
}

// leaseView is the state of a lease at a time of the log's clock.
type leaseView struct {
	state State
	known bool
	now   time.Time
	// settled says that the state is certain; see Fold.Settled.
	settled bool
	// heldHere says that this VM holds the lease.
	heldHere bool
}

// nextKind returns the kind of record to append now, empty for none. The delay is
// how long a lease must have been free before this VM tries to acquire it.
func (l *localLease) nextKind(s *leaseView, terms *Terms, delay time.Duration, now time.Time) Kind {
	if l.appending || now.Before(l.retryAt) {
		return ""
	}
	if s.heldHere {
		return l.nextKindAsHolder(s, terms, now)
	}
	free := !s.known || !s.now.Before(s.state.Free)
	if !free || !s.settled || !l.wanted {
		l.freeSince = time.Time{}
		return ""
	}
	if l.freeSince.IsZero() {
		l.freeSince = now
	}
	if now.Sub(l.freeSince) < delay || !l.due(terms, now) {
		return ""
	}
	return KindAcquire
}

// due reports whether the renewal interval is over or a failed append is to be
// retried.
func (l *localLease) due(terms *Terms, now time.Time) bool {
	return !l.retryAt.IsZero() || now.Sub(l.appendStart) >= terms.Renewal
}

func (l *localLease) nextKindAsHolder(s *leaseView, terms *Terms, now time.Time) Kind {
	l.freeSince = time.Time{}
	due := l.due(terms, now)
	old := s.now.Sub(s.state.Acquired) > terms.MaxTenure/2
	switch {
	case !l.wanted && due:
		return KindRelease
	case !l.wanted:
		return ""
	case due && (old || l.raiseFencing):
		return KindAcquire
	case due || !slices.Equal(l.excluded, l.excludedSent):
		return KindRenew
	default:
		return ""
	}
}

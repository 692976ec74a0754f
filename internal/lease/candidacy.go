package lease

import (
	"slices"
	"time"
)

// candidacy is what this VM does about one lease.
type candidacy struct {
	name   string
	wanted bool
	// sending says that an append is under way; begun is when the latest began.
	sending bool
	begun   time.Time
	// retryAt is the earliest time of the append after a failed one.
	retryAt time.Time
	// freeSince is the local time from which the lease was seen free.
	freeSince time.Time
	// raise asks for a higher fencing number.
	raise bool
	// excluded are the endpoints to exclude, sent those of the latest record.
	excluded, sent []string
	grant          *Grant
}

// situation is what the log says of a lease at a time of its clock.
type situation struct {
	state State
	known bool
	now   time.Time
	// settled says that the state is known.
	settled bool
	// mine says that this VM holds the lease.
	mine bool
}

// next returns the kind of record to append now, empty for none. The delay is
// the time that VMs before this one in order are left.
func (c *candidacy) next(s *situation, terms *Terms, delay time.Duration, now time.Time) Kind {
	if c.sending || now.Before(c.retryAt) {
		return ""
	}
	if s.mine {
		return c.nextAsHolder(s, terms, now)
	}
	free := !s.known || !s.now.Before(s.state.Free)
	if !free || !s.settled || !c.wanted {
		c.freeSince = time.Time{}
		return ""
	}
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	if now.Sub(c.freeSince) < delay || !c.due(terms, now) {
		return ""
	}
	return KindAcquire
}

// due reports whether it is time to renew, or to try again after a failure.
func (c *candidacy) due(terms *Terms, now time.Time) bool {
	return !c.retryAt.IsZero() || now.Sub(c.begun) >= terms.Renewal
}

func (c *candidacy) nextAsHolder(s *situation, terms *Terms, now time.Time) Kind {
	c.freeSince = time.Time{}
	due := c.due(terms, now)
	old := s.now.Sub(s.state.Acquired) > terms.MaxTenure/2
	switch {
	case !c.wanted && due:
		return KindRelease
	case !c.wanted:
		return ""
	case due && (old || c.raise):
		return KindAcquire
	case due || !slices.Equal(c.excluded, c.sent):
		return KindRenew
	default:
		return ""
	}
}

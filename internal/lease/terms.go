package lease

import "time"

// Terms are the time limits of all leases. All VMs of a deployment must use the
// same values; with different values two VMs could hold a lease at the same time.
type Terms struct {
	// Duration is how long a lease lasts after its last renewal, by the log's clock.
	Duration time.Duration
	// Renewal is the interval between two renewals.
	Renewal time.Duration
	// Margin is the safety margin at the end of Duration. The holder sends no
	// orders during it.
	Margin time.Duration
	// HandoverDelay is the time between the end of a lease and its earliest next
	// acquisition, by another VM or by the previous holder.
	HandoverDelay time.Duration
	// MaxTenure bounds how long one acquisition can be renewed. After that the
	// lease must be acquired again.
	MaxTenure time.Duration
	// Validity bounds the time between the creation of an acquire record and its
	// effect. A record that is appended later is refused.
	Validity time.Duration
	// Stagger is the delay per rank before a VM tries to acquire a free lease; see
	// rank.
	Stagger time.Duration
}

// DefaultTerms returns the terms that entry VMs use.
func DefaultTerms() Terms {
	return Terms{
		Duration:      15 * time.Second,
		Renewal:       5 * time.Second,
		Margin:        5 * time.Second,
		HandoverDelay: 5 * time.Second,
		MaxTenure:     10 * time.Minute,
		Validity:      5 * time.Second,
		Stagger:       time.Second,
	}
}

// sendWindow returns how long after the start of an append the holder may send
// orders.
func (t *Terms) sendWindow() time.Duration { return t.Duration - t.Margin }

// settlePeriod returns the time after which a reader that is missing the oldest
// records computes the same state as readers that have them.
func (t *Terms) settlePeriod() time.Duration { return 2 * t.MaxTenure }

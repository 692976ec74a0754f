package lease

import "time"

// Terms are the periods of all leases. All VMs of a deployment must use the same
// ones: VMs that disagreed would not exclude each other.
type Terms struct {
	// Duration is how long a lease lasts after its last renewal, by the log's clock.
	Duration time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// Margin is the part of Duration that the holder does not use.
	Margin time.Duration
	// HandoverDelay is the time between the end of a lease and the earliest start of
	// another VM's.
	HandoverDelay time.Duration
	// MaxTenure bounds the time that one acquisition can be renewed.
	MaxTenure time.Duration
	// Validity bounds how late an acquire record may take effect.
	Validity time.Duration
	// Stagger is the time that each VM leaves to the one before it in order.
	Stagger time.Duration
}

// DefaultTerms returns the terms of a deployment.
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

// sendWindow returns how long after the start of an append the holder may send.
func (t *Terms) sendWindow() time.Duration { return t.Duration - t.Margin }

// settlePeriod returns the time after which a reader that lacks the oldest records
// agrees with readers that do not.
func (t *Terms) settlePeriod() time.Duration { return 2 * t.MaxTenure }

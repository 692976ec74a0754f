package quarantine

import "sync/atomic"

// shareCounters count what the exchange of facts with other VMs did.
type shareCounters struct {
	// Published counts facts observed here and queued for other VMs, Forwarded those of
	// other zones that were queued for the own zone.
	Published, Forwarded atomic.Int64
	// Received counts facts of other VMs that were new here, Rejected facts outside of
	// the bounds, own ones included.
	Received, Rejected atomic.Int64
	// Deliveries counts calls that brought facts to other VMs, DeliveriesFailed those
	// that failed, GivenUp facts' deliveries to a VM or zone after too many failures.
	Deliveries, DeliveriesFailed, GivenUp atomic.Int64
	// Dropped counts facts that were not queued because too many were.
	Dropped atomic.Int64
	// Exchanges counts periodic exchanges with other VMs, ExchangesFailed those without
	// a response, Differing those that found other facts there.
	Exchanges, ExchangesFailed, Differing atomic.Int64
	// Unserved counts calls to VMs of an earlier version, which do not serve them.
	Unserved atomic.Int64
}

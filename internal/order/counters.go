package order

import "sync/atomic"

// Counters are the metrics of a Reconciler. The zero value is ready to use.
type Counters struct {
	// Sent counts orders sent, Confirmed engines that reached their desired
	// state.
	Sent, Confirmed atomic.Int64
	// Stale counts orders rejected because of their fencing number, Failed
	// orders that ended in any other error, such as a lost response.
	Stale, Failed atomic.Int64
	// NoLease counts orders not sent because the lease had ended.
	NoLease atomic.Int64
	// Diverged counts engines that left their desired state without an order of
	// this VM.
	Diverged atomic.Int64
	// HeldBack counts passes in which the disruption policy did not allow an
	// engine that has to change to be taken out of service.
	HeldBack atomic.Int64
	// WeightWaits counts passes in which an order was delayed by the weight
	// store budget.
	WeightWaits atomic.Int64
	// DrainTimeouts counts orders sent although the engine was not idle at the
	// drain limit.
	DrainTimeouts atomic.Int64
	// Unreadable counts failed reads of an engine's state.
	Unreadable atomic.Int64
	// OutOfService is the number of engines that this VM keeps out of service.
	OutOfService atomic.Int64
}

package order

import "sync/atomic"

// Counters count what a Reconciler did. The zero value is ready to use.
type Counters struct {
	// Sent counts orders, Confirmed the engines that reached their state.
	Sent, Confirmed atomic.Int64
	// Stale counts orders refused for their fencing number, Failed those whose
	// answer was lost or an error.
	Stale, Failed atomic.Int64
	// NoLease counts orders not sent because the lease had ended.
	NoLease atomic.Int64
	// Diverged counts engines that left their state without this VM's order.
	Diverged atomic.Int64
	// HeldBack counts passes in which an engine had to wait for others.
	HeldBack atomic.Int64
	// WeightWaits counts passes in which an order waited for the weight store.
	WeightWaits atomic.Int64
	// DrainTimeouts counts orders sent although the engine was not idle.
	DrainTimeouts atomic.Int64
	// Unreadable counts reads of an engine's state that failed.
	Unreadable atomic.Int64
	// OutOfService is the number of engines that this VM has out of service.
	OutOfService atomic.Int64
}

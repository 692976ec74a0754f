package swim

import "sync/atomic"

// Counters count what membership did since the start of the process.
type Counters struct {
	// Probes counts probes of members, IndirectProbes pings through others, and
	// ProbesFailed probes without any answer.
	Probes, IndirectProbes, ProbesFailed atomic.Int64
	// Suspicions counts suspicions that this VM raised, Refutations those
	// against itself that it refuted, DeclaredGone those of them that came too
	// late to keep it from being taken for gone.
	Suspicions, Refutations, DeclaredGone atomic.Int64
	// Joins counts calls to addresses without a member.
	Joins atomic.Int64
	// Pauses counts pauses of this process.
	Pauses atomic.Int64
	// Received counts requests of other VMs.
	Received atomic.Int64
	// Forged, Replayed, Stale, Oversized and Malformed count messages that were
	// dropped, Unlisted also updates about VMs that the configuration does not
	// name, StaleUpdates updates of former incarnations.
	Forged, Replayed, Stale, Oversized, Malformed, Unlisted, StaleUpdates atomic.Int64
	// Duplicates counts signs of a younger process of this VM's name.
	Duplicates atomic.Int64
	// CallsFailed counts calls to other VMs without a usable answer.
	CallsFailed atomic.Int64
}

package swim

import "sync/atomic"

// Counters count protocol events since the start of the process.
type Counters struct {
	// Probes counts probes of members, IndirectProbes pings through other VMs, and
	// ProbesFailed probes without any response.
	Probes, IndirectProbes, ProbesFailed atomic.Int64
	// Suspicions counts suspicions raised by this VM. Refutations counts updates
	// that reported this VM as suspect or gone and that it refuted; DeclaredGone
	// counts those of them that had already declared it gone.
	Suspicions, Refutations, DeclaredGone atomic.Int64
	// Joins counts calls to addresses at which no member is known.
	Joins atomic.Int64
	// Pauses counts the detected pauses of this process.
	Pauses atomic.Int64
	// Received counts requests from other VMs.
	Received atomic.Int64
	// Forged, Replayed, Stale, Oversized, Malformed and Unlisted count dropped
	// messages by error type. Malformed also counts invalid updates, Unlisted also
	// updates about VMs that the configuration does not name. StaleUpdates counts
	// updates of previous incarnations.
	Forged, Replayed, Stale, Oversized, Malformed, Unlisted, StaleUpdates atomic.Int64
	// Duplicates counts updates that show a newer process with this VM's name.
	Duplicates atomic.Int64
	// CallsFailed counts calls to other VMs without a usable response.
	CallsFailed atomic.Int64
}

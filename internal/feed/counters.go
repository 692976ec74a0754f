package feed

import "sync/atomic"

// Counters count what the service did.
type Counters struct {
	// ReadsForZone and ReadsForSelf count reads of the store, as the reader of the zone
	// and because the own state was unknown or too old. ReadsFailed counts those of
	// both that failed.
	ReadsForZone, ReadsForSelf, ReadsFailed atomic.Int64
	// Updates counts responses of sources with something newer, SourcesFailed sources
	// that failed or had nothing newer in time.
	Updates, SourcesFailed atomic.Int64
	// WholeStates counts states that had to be fetched as a whole because they differed
	// from the source's.
	WholeStates atomic.Int64
	// Served counts responses to other VMs.
	Served atomic.Int64
	// Eras counts the times that a topic was found to have come back from an older copy.
	Eras atomic.Int64
}

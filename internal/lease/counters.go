package lease

import "sync/atomic"

// Counters count what a Manager did. The zero value is ready to use.
type Counters struct {
	// Acquired and Lost count the leases of this VM.
	Acquired, Lost atomic.Int64
	// Appends, Failed and InDoubt count appends and those that failed.
	Appends, Failed, InDoubt atomic.Int64
	// Refused counts this VM's records that came too late.
	Refused atomic.Int64
	// Unreadable counts records that this version cannot read.
	Unreadable atomic.Int64
	// Gaps counts times that records were removed before they were read.
	Gaps atomic.Int64
}

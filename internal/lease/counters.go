package lease

import "sync/atomic"

// Counters count the actions of a Manager. The zero value is ready to use.
type Counters struct {
	// Acquired and Lost count the leases that this VM acquired and lost.
	Acquired, Lost atomic.Int64
	// Appends counts appends, Failed those that were certainly not stored, InDoubt
	// those that failed but may have been stored.
	Appends, Failed, InDoubt atomic.Int64
	// Refused counts this VM's records that were appended too late to take effect.
	Refused atomic.Int64
	// Unreadable counts records that this version cannot read.
	Unreadable atomic.Int64
	// Gaps counts how often records were removed from the log before they were read.
	Gaps atomic.Int64
}

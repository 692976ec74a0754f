// Package absence keeps the time for which something that failed is passed over.
// The time doubles with each failure in a row.
package absence

import "time"

// Bounds are the time after a first failure and the longest time.
type Bounds struct {
	First, Longest time.Duration
}

// Absence is the time until which something is passed over. The zero value
// stands for something that is there. It is not safe for concurrent use.
type Absence struct {
	until  time.Time
	length time.Duration
}

// Fail begins an absence, longer with each failure in a row, and reports whether
// it did. Failures of calls that were under way before it began count once.
func (a *Absence) Fail(now time.Time, b Bounds) bool {
	if !a.Over(now) {
		return false
	}
	a.Extend(now, b)
	return true
}

// Extend begins an absence even while another lasts.
func (a *Absence) Extend(now time.Time, b Bounds) {
	a.length = min(max(2*a.length, b.First), b.Longest)
	a.until = now.Add(a.length)
}

// EndHalved ends the absence and halves the next one.
func (a *Absence) EndHalved() { *a = Absence{length: a.length / 2} }

// Over reports whether the absence has passed.
func (a Absence) Over(now time.Time) bool { return !now.Before(a.until) }

// Until returns the end of the last absence.
func (a Absence) Until() time.Time { return a.until }

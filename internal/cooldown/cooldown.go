// Package cooldown keeps the time for which something that failed is passed over.
// The time doubles with each failure in a row.
package cooldown

import "time"

// Bounds are the time after a first failure and the longest time.
type Bounds struct {
	First, Longest time.Duration
}

// Cooldown is the time until which something is passed over. The zero value
// stands for something that is there. It is not safe for concurrent use.
type Cooldown struct {
	until  time.Time
	length time.Duration
}

// Fail begins an absence, longer with each failure in a row, and reports whether
// it did. Failures of calls that were under way before it began count once.
func (a *Cooldown) Fail(now time.Time, b Bounds) bool {
	if !a.Over(now) {
		return false
	}
	a.Extend(now, b)
	return true
}

// Extend begins an absence even while another lasts.
func (a *Cooldown) Extend(now time.Time, b Bounds) {
	a.length = min(max(2*a.length, b.First), b.Longest)
	a.until = now.Add(a.length)
}

// EndHalved ends the absence and halves the next one.
func (a *Cooldown) EndHalved() { *a = Cooldown{length: a.length / 2} }

// Over reports whether the absence has passed.
func (a Cooldown) Over(now time.Time) bool { return !now.Before(a.until) }

// Until returns the end of the last absence.
func (a Cooldown) Until() time.Time { return a.until }

// Package cooldown tracks for how long something that failed gets no new work.
// The time doubles with each consecutive failure.
package cooldown

import "time"

// Bounds are the length of the cooldown after a first failure and the maximum
// length.
type Bounds struct {
	First, Longest time.Duration
}

// Cooldown is the time until which something that failed gets no new work. The
// zero value is over. It is not safe for concurrent use.
type Cooldown struct {
	until  time.Time
	length time.Duration
}

// Fail starts a cooldown unless one lasts, and reports whether it did. It is
// longer with each consecutive failure; failures of calls that were in flight
// when it began count once.
func (a *Cooldown) Fail(now time.Time, b Bounds) bool {
	if !a.Over(now) {
		return false
	}
	a.Extend(now, b)
	return true
}

// Extend starts a cooldown even while another lasts.
func (a *Cooldown) Extend(now time.Time, b Bounds) {
	a.length = min(max(2*a.length, b.First), b.Longest)
	a.until = now.Add(a.length)
}

// EndHalved ends the cooldown and halves the length on which the next one is
// based.
func (a *Cooldown) EndHalved() { *a = Cooldown{length: a.length / 2} }

// Over reports whether the cooldown has ended.
func (a Cooldown) Over(now time.Time) bool { return !now.Before(a.until) }

// Until returns the end of the last cooldown.
func (a Cooldown) Until() time.Time { return a.until }

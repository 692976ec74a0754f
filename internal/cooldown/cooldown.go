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
// zero value is a cooldown that is over. It is not safe for concurrent use.
type Cooldown struct {
	until  time.Time
	length time.Duration
}

// Fail starts a cooldown unless one is in effect, and reports whether it did. The
// length doubles with each consecutive failure up to the maximum; failures of
// calls that were in flight when the cooldown began count once.
func (c *Cooldown) Fail(now time.Time, b Bounds) bool {
	if !c.Over(now) {
		return false
	}
	c.Extend(now, b)
	return true
}

// Extend starts a cooldown even while another is in effect.
func (c *Cooldown) Extend(now time.Time, b Bounds) {
	c.length = min(max(2*c.length, b.First), b.Longest)
	c.until = now.Add(c.length)
}

// EndHalved ends the cooldown and halves the length on which the next one is
// based.
func (c *Cooldown) EndHalved() { *c = Cooldown{length: c.length / 2} }

// Over reports whether the cooldown has ended.
func (c Cooldown) Over(now time.Time) bool { return !now.Before(c.until) }

// Until returns the end of the last cooldown.
func (c Cooldown) Until() time.Time { return c.until }

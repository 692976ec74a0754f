package scheduling

import (
	"math"
	"slices"
	"time"
)

const (
	// backgroundWindow is the time over which grants of background demands are counted.
	backgroundWindow = 2 * time.Second
	// backgroundWarmUp is how long background demands must have waited before the count
	// tells a rate.
	backgroundWarmUp = 500 * time.Millisecond
	// backgroundInitialShare is the rate of background grants that is expected before that, as a
	// part of the rate at which places become free.
	backgroundInitialShare = 0.5
	// backgroundMinShare is the least rate that is expected, as such a part: bursts end, and
	// places that become free then must find somebody.
	backgroundMinShare = 0.15
	// backgroundAdmissionShare is the part of the time up to the latest start that the predicted wait
	// of a new background demand may take; the rest covers its error.
	backgroundAdmissionShare = 0.8
	// backgroundCheckPeriod is the time between two looks for waiting background demands
	// that have become hopeless.
	backgroundCheckPeriod = 200 * time.Millisecond
)

// backgroundRate tells how fast background demands are served. They get what others leave,
// which the number of places that become free does not tell.
type backgroundRate struct {
	// waitingSince is from when on some have waited without a break; zero if none waits.
	waitingSince time.Time
	// grants are the times of recent grants.
	grants []time.Time
	// nextCheck is when the waiting ones are looked at again.
	nextCheck time.Time
}

// recordGrant notes a grant.
func (l *backgroundRate) recordGrant(now time.Time) { l.grants = append(l.grants, now) }

// setWaiting notes whether some background demand waits.
func (l *backgroundRate) setWaiting(now time.Time, some bool) {
	switch {
	case !some:
		l.waitingSince = time.Time{}
	case l.waitingSince.IsZero():
		l.waitingSince = now
	}
	horizon := now.Add(-backgroundWindow)
	l.grants = slices.DeleteFunc(l.grants, func(t time.Time) bool { return t.Before(horizon) })
}

// rate returns the grants a second that background demands can expect where places
// become free at a rate.
func (l *backgroundRate) rate(now time.Time, freed float64) float64 {
	if l.waitingSince.IsZero() || now.Sub(l.waitingSince) < backgroundWarmUp {
		return backgroundInitialShare * freed
	}
	window := min(backgroundWindow, now.Sub(l.waitingSince))
	count := 0
	for _, t := range l.grants {
		if now.Sub(t) <= window {
			count++
		}
	}
	return max(backgroundMinShare*freed, float64(count)/window.Seconds())
}

// slotReleaseRate returns how many decode places become free a second.
func (c *Coordinator) slotReleaseRate() float64 {
	per := c.drainTime(1)
	if per <= 0 {
		return math.Inf(1)
	}
	return 1 / per.Seconds()
}

// backgroundGrantRate returns the grants a second that background demands can expect.
func (c *Coordinator) backgroundGrantRate(now time.Time) float64 {
	return c.background.rate(now, c.slotReleaseRate())
}

// backgroundWait returns the predicted wait of a background demand behind others.
func backgroundWait(ahead int, rate float64) time.Duration {
	return seconds(float64(ahead+1) / rate)
}

// dropUnservable refuses background demands that cannot be served before their latest
// start any more at the present rate.
func (c *Coordinator) dropUnservable(now time.Time) {
	c.background.setWaiting(now, c.queue.hasBackground())
	if now.Before(c.background.nextCheck) || c.background.waitingSince.IsZero() {
		return
	}
	c.background.nextCheck = now.Add(backgroundCheckPeriod)
	rate := c.backgroundGrantRate(now)
	ahead := 0
	for _, l := range c.queue.inOrder(now) {
		if l.priority() > BackgroundPriority {
			ahead += len(l.waiters)
			continue
		}
		for _, w := range slices.Clone(l.waiters) {
			wait := backgroundWait(ahead, rate)
			if w.latestStart.IsZero() || !now.Add(wait).After(w.latestStart) {
				ahead++
				continue
			}
			c.queue.remove(w)
			c.counters.Dropped++
			c.refuse(w.demand.ID, RefusedTarget, wait)
		}
	}
}

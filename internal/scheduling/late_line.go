package scheduling

import (
	"math"
	"slices"
	"time"
)

const (
	// lateWindow is the time over which grants of background demands are counted.
	lateWindow = 2 * time.Second
	// lateWarmUp is how long background demands must have waited before the count
	// tells a rate.
	lateWarmUp = 500 * time.Millisecond
	// lateFirst is the rate of background grants that is expected before that, as a
	// part of the rate at which places become free.
	lateFirst = 0.5
	// lateFloor is the least rate that is expected, as such a part: bursts end, and
	// places that become free then must find somebody.
	lateFloor = 0.15
	// lateShare is the part of the time up to the latest start that the predicted wait
	// of a new background demand may take; the rest covers its error.
	lateShare = 0.8
	// lateCheckPeriod is the time between two looks for waiting background demands
	// that have become hopeless.
	lateCheckPeriod = 200 * time.Millisecond
)

// lateLine tells how fast background demands are served. They get what others leave,
// which the number of places that become free does not tell.
type lateLine struct {
	// since is from when on some have waited without a break; zero if none waits.
	since time.Time
	// grants are the times of recent grants.
	grants []time.Time
	// nextCheck is when the waiting ones are looked at again.
	nextCheck time.Time
}

// granted notes a grant.
func (l *lateLine) granted(now time.Time) { l.grants = append(l.grants, now) }

// waiting notes whether some background demand waits.
func (l *lateLine) waiting(now time.Time, some bool) {
	switch {
	case !some:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
	horizon := now.Add(-lateWindow)
	l.grants = slices.DeleteFunc(l.grants, func(t time.Time) bool { return t.Before(horizon) })
}

// rate returns the grants a second that background demands can expect where places
// become free at a rate.
func (l *lateLine) rate(now time.Time, freed float64) float64 {
	if l.since.IsZero() || now.Sub(l.since) < lateWarmUp {
		return lateFirst * freed
	}
	window := min(lateWindow, now.Sub(l.since))
	count := 0
	for _, t := range l.grants {
		if now.Sub(t) <= window {
			count++
		}
	}
	return max(lateFloor*freed, float64(count)/window.Seconds())
}

// freedRate returns how many decode places become free a second.
func (c *Coordinator) freedRate() float64 {
	per := c.drainTime(1)
	if per <= 0 {
		return math.Inf(1)
	}
	return 1 / per.Seconds()
}

// lateRate returns the grants a second that background demands can expect.
func (c *Coordinator) lateRate(now time.Time) float64 {
	return c.late.rate(now, c.freedRate())
}

// lateWait returns the predicted wait of a background demand behind others.
func lateWait(ahead int, rate float64) time.Duration {
	return seconds(float64(ahead+1) / rate)
}

// dropHopeless refuses background demands that cannot be served before their latest
// start any more at the present rate.
func (c *Coordinator) dropHopeless(now time.Time) {
	c.late.waiting(now, c.queue.waitsInBackground())
	if now.Before(c.late.nextCheck) || c.late.since.IsZero() {
		return
	}
	c.late.nextCheck = now.Add(lateCheckPeriod)
	rate := c.lateRate(now)
	ahead := 0
	for _, l := range c.queue.inOrder(now) {
		if l.priority() > BackgroundPriority {
			ahead += len(l.waiters)
			continue
		}
		for _, w := range slices.Clone(l.waiters) {
			wait := lateWait(ahead, rate)
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

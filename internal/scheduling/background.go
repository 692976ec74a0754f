package scheduling

import (
	"math"
	"slices"
	"time"
)

const (
	// backgroundWindow is the time over which grants of background demands are counted.
	backgroundWindow = 2 * time.Second
	// backgroundWarmUp is how long background demands must have been waiting
	// before the counted grants are used as their rate.
	backgroundWarmUp = 500 * time.Millisecond
	// backgroundInitialShare is the rate of background grants that is assumed
	// during the warm-up, as a fraction of the rate at which decode slots
	// become free.
	backgroundInitialShare = 0.5
	// backgroundMinShare is the lowest rate that is assumed, as the same
	// fraction. A burst may end, and the slots that become free then need
	// demands that are still queued.
	backgroundMinShare = 0.15
	// backgroundAdmissionShare is the fraction of the time until the latest
	// start that the predicted wait of a new background demand may take. The
	// remainder absorbs prediction errors.
	backgroundAdmissionShare = 0.8
	// backgroundCheckPeriod is the time between two checks for waiting
	// background demands that can no longer be served in time.
	backgroundCheckPeriod = 200 * time.Millisecond
)

// backgroundRate estimates the rate at which background demands are granted.
// They use only capacity that other demands leave free, so the rate at which
// slots become free does not determine it.
type backgroundRate struct {
	// waitingSince is the start of the current period in which background
	// demands have been waiting without interruption; zero if none waits.
	waitingSince time.Time
	// grants are the times of recent grants.
	grants []time.Time
	// nextCheck is when the waiting background demands are checked next.
	nextCheck time.Time
}

// recordGrant records the time of a grant.
func (r *backgroundRate) recordGrant(now time.Time) { r.grants = append(r.grants, now) }

// setWaiting records whether any background demand waits, and drops grants
// older than the window.
func (r *backgroundRate) setWaiting(now time.Time, some bool) {
	switch {
	case !some:
		r.waitingSince = time.Time{}
	case r.waitingSince.IsZero():
		r.waitingSince = now
	}
	horizon := now.Add(-backgroundWindow)
	r.grants = slices.DeleteFunc(r.grants, func(t time.Time) bool { return t.Before(horizon) })
}

// rate returns the grants per second that background demands can expect if
// decode slots become free at the given rate per second.
func (r *backgroundRate) rate(now time.Time, freed float64) float64 {
	if r.waitingSince.IsZero() || now.Sub(r.waitingSince) < backgroundWarmUp {
		return backgroundInitialShare * freed
	}
	window := min(backgroundWindow, now.Sub(r.waitingSince))
	count := 0
	for _, t := range r.grants {
		if now.Sub(t) <= window {
			count++
		}
	}
	return max(backgroundMinShare*freed, float64(count)/window.Seconds())
}

// slotReleaseRate returns how many decode slots become free per second.
func (c *Coordinator) slotReleaseRate() float64 {
	per := c.drainTime(1)
	if per <= 0 {
		return math.Inf(1)
	}
	return 1 / per.Seconds()
}

// backgroundGrantRate returns the grants per second that background demands can
// expect, strict ones excepted.
func (c *Coordinator) backgroundGrantRate(now time.Time) float64 {
	return c.background.rate(now, c.slotReleaseRate())
}

// backgroundWait returns the predicted wait of a background demand behind a
// number of others.
func backgroundWait(ahead int, rate float64) time.Duration {
	return seconds(float64(ahead+1) / rate)
}

// dropUnservable refuses background demands that, at the present rate, can no
// longer be served before their latest start.
func (c *Coordinator) dropUnservable(now time.Time) {
	c.background.setWaiting(now, c.queue.late > 0)
	if now.Before(c.background.nextCheck) || c.background.waitingSince.IsZero() {
		return
	}
	c.background.nextCheck = now.Add(backgroundCheckPeriod)
	if c.queue.strict > 0 || len(c.lateRates) > 0 {
		c.dropUnservableStrict(now)
	}
	if c.queue.strict > 0 {
		return
	}
	rate := c.backgroundGrantRate(now)
	ahead := 0
	for _, l := range c.queue.inOrder(now) {
		if !l.background() {
			if !l.waitsForBuild {
				ahead += len(l.waiters)
			}
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

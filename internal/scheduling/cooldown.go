package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// firstCooldown and maxCooldown bound how long an engine that failed a
	// holder's call gets no new grant; the time doubles with each consecutive
	// failure.
	// The first is about the duration of two prefills, so that a single lost
	// response costs the pool little capacity.
	firstCooldown = 400 * time.Millisecond
	maxCooldown   = 5 * time.Second
	// lostBeforeCooldown is the number of consecutive lost responses that start
	// a cooldown.
	lostBeforeCooldown = 3
	// leavingReportTTL is how long a holder's report that an engine is leaving
	// counts. The platform's list informs every owner that it reaches within
	// seconds.
	leavingReportTTL = 10 * time.Second
	// maxCooldownShare bounds the fraction of a role's engines that are in a
	// cooldown at the same time.
	maxCooldownShare = 0.5
)

// engineCooldown excludes an engine from new grants after holders reported that
// it failed or is leaving.
type engineCooldown struct {
	// afterFailure is the cooldown after failures.
	afterFailure cooldown.Cooldown
	// consecutiveLost counts consecutive lost responses.
	consecutiveLost int
	// leavingUntil is when a holder's report that the engine is leaving
	// expires.
	leavingUntil time.Time
	// leaving is set if such a report counted at the last updateCooldowns.
	leaving bool
	// active is set if the engine was excluded for one of these reasons at the
	// last updateCooldowns.
	active bool
}

// engineFailed starts a cooldown of an engine, longer with each consecutive
// failure. Failures of calls that were in flight when the cooldown began count
// once.
func (c *Coordinator) engineFailed(now time.Time, name string) {
	e, ok := c.pool.byName[name]
	if !ok || !e.cooldown.afterFailure.Fail(now, cooldown.Bounds{First: firstCooldown, Longest: maxCooldown}) {
		return
	}
	c.counters.Rested++
	c.updateCooldowns(now)
}

// responseLost starts a cooldown only after several consecutive lost responses.
// A single one may be lost in the network.
func (c *Coordinator) responseLost(now time.Time, name string) {
	e, ok := c.pool.byName[name]
	if !ok {
		return
	}
	if e.cooldown.consecutiveLost++; e.cooldown.consecutiveLost >= lostBeforeCooldown {
		c.engineFailed(now, name)
	}
}

// markLeaving excludes an engine for leavingReportTTL. A holder may learn that
// an engine is leaving before an owner that the platform's list does not reach.
// If the report was wrong, the engine is used again afterwards.
func (c *Coordinator) markLeaving(now time.Time, name string) {
	if e, ok := c.pool.byName[name]; ok {
		e.cooldown.leavingUntil = now.Add(leavingReportTTL)
	}
}

// engineSucceeded clears the effect of earlier failures.
func (e *engineInfo) engineSucceeded() {
	e.cooldown = engineCooldown{leavingUntil: e.cooldown.leavingUntil, leaving: e.cooldown.leaving}
}

// updateCooldowns decides which engines are in a cooldown now: of each role, no
// more than the others can compensate for. All engines of a role may be, even
// its only one, if the other role can take over.
func (c *Coordinator) updateCooldowns(now time.Time) {
	c.updateRoleCooldowns(now, c.pool.prefill, c.settings.Options.SelfPrefill)
	c.updateRoleCooldowns(now, c.pool.decode, false)
}

func (c *Coordinator) updateRoleCooldowns(now time.Time, engines []*engineInfo, all bool) {
	limit := int(maxCooldownShare * float64(len(engines)))
	if all {
		limit = len(engines)
	}
	for _, e := range engines {
		e.cooldown.leaving = now.Before(e.cooldown.leavingUntil)
		failing := limit > 0 && !e.cooldown.afterFailure.Over(now)
		if failing {
			limit--
		}
		e.cooldown.active = e.cooldown.leaving || failing
	}
}

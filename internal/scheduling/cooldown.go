package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// firstCooldown and maxRest bound how long an engine that failed a holder gets no
	// new grant; the time doubles with each failure in a row. The first is about
	// two prefills, so that a single lost answer costs the pool little.
	firstCooldown = 400 * time.Millisecond
	maxCooldown   = 5 * time.Second
	// lostBeforeCooldown is the number of answers lost in a row that let an engine rest.
	lostBeforeCooldown = 3
	// leavingReportTTL is how long a holder's word that an engine leaves counts. The
	// platform's list tells every owner that it reaches within seconds.
	leavingReportTTL = 10 * time.Second
	// maxCooldownShare bounds the part of a role's engines that rest at a time.
	maxCooldownShare = 0.5
)

// engineCooldown keeps an engine from new grants after failures that holders report.
type engineCooldown struct {
	// afterFailure is the rest after failures.
	afterFailure cooldown.Cooldown
	// consecutiveLost counts answers that were consecutiveLost in a row.
	consecutiveLost int
	// leavingUntil is until when a holder's word counts that the engine leaves.
	leavingUntil time.Time
	// active is whether one of the times has not passed, as of the last tidy.
	active bool
}

// engineFailed lets an engine rest, longer with each failure in a row. Failures
// of calls that were under way before the rest began count once.
func (c *Coordinator) engineFailed(now time.Time, name string) {
	a, ok := c.pool.byName[name]
	if !ok || !a.cooldown.afterFailure.Fail(now, cooldown.Bounds{First: firstCooldown, Longest: maxCooldown}) {
		return
	}
	c.counters.Rested++
	c.updateCooldowns(now)
}

// answerLost lets an engine rest only if its answers are lost in a row. A single
// one may be lost on its way.
func (c *Coordinator) answerLost(now time.Time, name string) {
	a, ok := c.pool.byName[name]
	if !ok {
		return
	}
	if a.cooldown.consecutiveLost++; a.cooldown.consecutiveLost >= lostBeforeCooldown {
		c.engineFailed(now, name)
	}
}

// markLeaving excludes an engine for a time. A holder may know of it before an
// owner that the platform's list does not reach; if it was wrong, the engine is
// back afterwards.
func (c *Coordinator) markLeaving(now time.Time, name string) {
	if a, ok := c.pool.byName[name]; ok {
		a.cooldown.leavingUntil = now.Add(leavingReportTTL)
	}
}

// engineSucceeded ends the effect of former failures.
func (a *engineInfo) engineSucceeded() {
	a.cooldown = engineCooldown{leavingUntil: a.cooldown.leavingUntil}
}

// updateCooldowns decides which engines rest now: of each role, no more than the
// others can make up for. Where a role has one engine, it may rest if the other
// role can take over.
func (c *Coordinator) updateCooldowns(now time.Time) {
	c.updateRoleCooldowns(now, c.pool.prefill, c.settings.Options.SelfPrefill)
	c.updateRoleCooldowns(now, c.pool.decode, false)
}

func (c *Coordinator) updateRoleCooldowns(now time.Time, engines []*engineInfo, all bool) {
	limit := int(maxCooldownShare * float64(len(engines)))
	if all {
		limit = len(engines)
	}
	for _, a := range engines {
		leaving := now.Before(a.cooldown.leavingUntil)
		failing := limit > 0 && !a.cooldown.afterFailure.Over(now)
		if failing {
			limit--
		}
		a.cooldown.active = leaving || failing
	}
}

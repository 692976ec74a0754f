package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// firstRest and maxRest bound how long an engine that failed a holder gets no
	// new grant; the time doubles with each failure in a row. The first is about
	// two prefills, so that a single lost answer costs the pool little.
	firstRest = 400 * time.Millisecond
	maxRest   = 5 * time.Second
	// lostBeforeRest is the number of answers lost in a row that let an engine rest.
	lostBeforeRest = 3
	// leavingTime is how long a holder's word that an engine leaves counts. The
	// platform's list tells every owner that it reaches within seconds.
	leavingTime = 10 * time.Second
	// maxRestingShare bounds the part of a role's engines that rest at a time.
	maxRestingShare = 0.5
)

// rest keeps an engine from new grants after failures that holders report.
type rest struct {
	// failed is the rest after failures.
	failed cooldown.Cooldown
	// lost counts answers that were lost in a row.
	lost int
	// leavingUntil is until when a holder's word counts that the engine leaves.
	leavingUntil time.Time
	// resting is whether one of the times has not passed, as of the last tidy.
	resting bool
}

// engineFailed lets an engine rest, longer with each failure in a row. Failures
// of calls that were under way before the rest began count once.
func (c *Coordinator) engineFailed(now time.Time, name string) {
	a, ok := c.pool.byName[name]
	if !ok || !a.rest.failed.Fail(now, cooldown.Bounds{First: firstRest, Longest: maxRest}) {
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
	if a.rest.lost++; a.rest.lost >= lostBeforeRest {
		c.engineFailed(now, name)
	}
}

// engineLeaves excludes an engine for a time. A holder may know of it before an
// owner that the platform's list does not reach; if it was wrong, the engine is
// back afterwards.
func (c *Coordinator) engineLeaves(now time.Time, name string) {
	if a, ok := c.pool.byName[name]; ok {
		a.rest.leavingUntil = now.Add(leavingTime)
	}
}

// engineWorked ends the effect of former failures.
func (a *account) engineWorked() { a.rest = rest{leavingUntil: a.rest.leavingUntil} }

// updateCooldowns decides which engines rest now: of each role, no more than the
// others can make up for. Where a role has one engine, it may rest if the other
// role can take over.
func (c *Coordinator) updateCooldowns(now time.Time) {
	c.restRole(now, c.pool.prefill, c.settings.Options.SelfPrefill)
	c.restRole(now, c.pool.decode, false)
}

func (c *Coordinator) restRole(now time.Time, engines []*account, all bool) {
	limit := int(maxRestingShare * float64(len(engines)))
	if all {
		limit = len(engines)
	}
	for _, a := range engines {
		leaving := now.Before(a.rest.leavingUntil)
		failing := limit > 0 && !a.rest.failed.Over(now)
		if failing {
			limit--
		}
		a.rest.resting = leaving || failing
	}
}

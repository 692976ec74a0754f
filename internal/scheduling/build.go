package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// pinned reports whether only engines of one build may decode the demand's answer.
func (d *Demand) pinned() bool { return d.Build != "" }

// ContinuesBuild reports whether the demand continues an answer that only engines of
// one build may continue.
func (d *Demand) ContinuesBuild() bool { return d.pinned() && d.Resumed }

// ofBuild reports whether an engine has a build that may decode the demand's answer.
func (d *Demand) ofBuild(e *engineInfo) bool { return !d.pinned() || e.Build == d.Build }

// allows reports whether the demand permits a decode engine, whatever its state.
// Every choice of a decode engine has to respect it.
func (d *Demand) allows(e *engineInfo) bool {
	return d.ofBuild(e) && !slices.Contains(d.Exclude, e.Name)
}

// serves reports whether an engine takes the demand now or, if no other engines may
// continue the answer, after its cooldown or ejection.
func (e *engineInfo) serves(d *Demand) bool {
	if e.Role == configuration.RolePrefill {
		return e.usable()
	}
	return d.ofBuild(e) && (e.usable() || d.ContinuesBuild() && !e.leaving())
}

// anyServes reports whether any decode engine serves the demand.
func (c *Coordinator) anyServes(d *Demand) bool {
	return slices.ContainsFunc(c.pool.decode, func(e *engineInfo) bool { return d.allows(e) && e.serves(d) })
}

// refuseDepartedBuilds refuses the waiting demands for a build of which no decode
// engine is left.
func (c *Coordinator) refuseDepartedBuilds() {
	for _, w := range c.queue.pinnedWaiters() {
		d := &w.demand
		left := func(e *engineInfo) bool { return d.allows(e) && !e.leaving() }
		if slices.ContainsFunc(c.pool.decode, left) {
			continue
		}
		c.queue.remove(w)
		c.counters.Dropped++
		c.refuse(d.ID, RefusedNoEngine, noEngineRetryAfter)
	}
}

// reservations are the pinned demands that wait for engines of their builds and
// come before the demand that is being placed. Engines that one of them could use
// are not given to that demand.
type reservations struct {
	// overdue have been bypassed for longer than bypassLimit. They keep their
	// engines from all later demands, the others only from background demands.
	all, overdue []*Demand
}

func (r *reservations) add(d *Demand, overdue bool) {
	r.all = appendUncovered(r.all, d)
	if overdue {
		r.overdue = appendUncovered(r.overdue, d)
	}
}

// appendUncovered appends a demand unless the list has one that reserves the same
// engines or more.
func appendUncovered(list []*Demand, d *Demand) []*Demand {
	covers := func(other *Demand) bool { return other.Build == d.Build && len(other.Exclude) == 0 }
	if slices.ContainsFunc(list, covers) {
		return list
	}
	return append(list, d)
}

// of returns the reservations that a demand has to respect.
func (r *reservations) of(d *Demand) []*Demand {
	if d.background() {
		return r.all
	}
	return r.overdue
}

// mayTake reports whether a demand may be placed on a decode engine, apart from the
// engine's state.
func (c *Coordinator) mayTake(e *engineInfo, d *Demand) bool {
	reserved := func(other *Demand) bool { return other.allows(e) }
	return d.allows(e) && !slices.ContainsFunc(c.reserved, reserved)
}

// waitsForBuild reports whether a demand that could not be placed lacks only what
// engines of its build hold. Otherwise it waits for what all demands share.
func (c *Coordinator) waitsForBuild(now time.Time, d *Demand) bool {
	if !d.pinned() {
		return false
	}
	if !anyUsable(c.pool.prefill, d.Exclude) {
		return true
	}
	return !slices.ContainsFunc(c.pool.decode, func(e *engineInfo) bool { return c.slotFree(now, e, d) })
}

package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file orders strict demands, which are those of deployments with teams. It is designed
// for the load of docs/design/hard-load.md, part 3: some hundred waiting demands of up to
// 1,100 teams in several urgencies.
//
// Of strict demands, the more urgent ones come first, whatever else holds. Within an urgency
// the order is: callers in time; late callers that were refused and waited as they were
// asked to; other late callers. Within these levels the team that used least of its share comes
// first.

const (
	// levelsPerUrgency is the distance of two urgencies in levels.
	levelsPerUrgency = 4
	// The levels of one urgency, relative to that of new callers.
	levelReturned = -1
	levelLate     = -2
	// maxQueuesPerPass and maxTriesPerPass bound the class queues and the placements that a
	// pass tries while strict demands wait. A pass with more would take an entry VM of 0.144
	// cores longer than the time between two passes.
	maxQueuesPerPass = 32
	maxTriesPerPass  = 64
)

// background reports whether the demand uses only what others of its urgency leave.
func (d *Demand) background() bool { return d.Priority <= BackgroundPriority }

// level returns the level of a demand; asTold is set if its caller was refused and waited
// for as long as it was asked to.
func (d *Demand) level(asTold bool) int {
	if !d.Strict {
		return levelsPerUrgency * d.Priority
	}
	level := levelsPerUrgency * d.Urgency
	switch {
	case !d.background():
		return level
	case asTold:
		return level + levelReturned
	}
	return level + levelLate
}

// firstQueues returns the first maxQueuesPerPass class queues in the order of service. It
// takes time proportional to the number of class queues.
func (q *queue) firstQueues() []*classQueue {
	for _, l := range q.list {
		l.rank = l.level()
		if len(q.sorted) == maxQueuesPerPass && q.compare(l, q.sorted[maxQueuesPerPass-1]) >= 0 {
			continue
		}
		if len(q.sorted) == maxQueuesPerPass {
			q.sorted = q.sorted[:maxQueuesPerPass-1]
		}
		i, _ := slices.BinarySearchFunc(q.sorted, l, q.compare)
		q.sorted = slices.Insert(q.sorted, i, l)
	}
	return q.sorted
}

// blockade is what the demands that could not be placed in a pass mean for those after them.
type blockade struct {
	// any is set once any demand could not be placed, strict once a strict one could not.
	any, strict bool
	// urgency is the highest of the strict demands that could not be placed.
	urgency int
	// tries is the number of strict demands that were tried.
	tries int
}

// stops reports whether the demands of a class queue must wait for those before them.
// Background demands never bypass another demand, because they would take capacity that it
// needs, and no demand bypasses a more urgent one.
func (b *blockade) stops(l *classQueue) bool {
	if b.any && l.background() || b.tries >= maxTriesPerPass {
		return true
	}
	return b.strict && l.first().Strict && l.first().Urgency < b.urgency
}

// add records a demand that could not be placed.
func (b *blockade) add(d *Demand) {
	b.any = true
	if d.Strict && (!b.strict || d.Urgency > b.urgency) {
		b.strict, b.urgency = true, d.Urgency
	}
}

// misfit is a demand that found no engine in a pass, whatever its targets. No demand that
// needs at least as much finds one in the same pass.
type misfit struct {
	prompt, output int
	between        time.Duration
	arrival        time.Time
}

// covers reports whether a demand needs at least as much as the misfit.
func (m *misfit) covers(w *waiter) bool {
	d := &w.demand
	return d.PromptTokens >= m.prompt && d.OutputTokens >= m.output && d.Targets.BetweenTokens.D() == m.between &&
		!w.arrival.Before(m.arrival)
}

// knownMisfit reports whether an earlier failure of the pass shows that a demand finds no
// engine.
func (c *Coordinator) knownMisfit(w *waiter) bool {
	return w.demand.Strict && slices.ContainsFunc(c.misfits, func(m misfit) bool { return m.covers(w) })
}

// addMisfit records a demand that found no engine, if any engine would have suited it.
func (c *Coordinator) addMisfit(now time.Time, w *waiter) {
	d := &w.demand
	if !d.Strict || d.pinned() || len(d.Exclude) > 0 || len(c.reserved) > 0 || overlapAllowed(d.Weights) {
		return
	}
	if slices.ContainsFunc(c.pool.decode, func(e *engineInfo) bool { return c.slotFree(now, e, d) }) {
		return
	}
	c.misfits = append(c.misfits, misfit{d.PromptTokens, d.OutputTokens, d.Targets.BetweenTokens.D(), w.arrival})
}

const (
	// strictAdmissionShare takes the place of admissionShare for strict demands. One whose wait
	// turns out to be longer than predicted goes on in the line of late ones, so that nothing is
	// lost by admitting it; 0.7 served 0.4 to 0.7 % fewer in time at 1.2 and 2 times capacity.
	strictAdmissionShare = 1.0
	// minTold is the shortest time that a caller of a full pool is asked to wait. A caller that
	// comes back within a second meets the same burst.
	minTold = 3 * time.Second
	// recallTolerance is how far the stated time at which a caller's first attempt began may
	// differ from the owner's record: a call between VMs of two zones and back, with reserve.
	recallTolerance = 60 * time.Millisecond
	// recallLimit bounds the recorded callers.
	recallLimit = 4096
	// recallTTL is how long the record of a caller is kept after the time that it was given. Its
	// second attempt may ask for engines several times until the caller gives up.
	recallTTL = 10 * time.Second
)

// recall is a caller that was asked to come back.
type recall struct {
	team    string
	urgency int
	// first is when its first attempt began, due the time that it was given.
	first, due time.Time
}

// recalls are the callers that were asked to come back, in the order of refusal.
type recalls struct {
	all []recall
}

// add records a caller.
func (r *recalls) add(now time.Time, p recall) {
	r.all = slices.DeleteFunc(r.all, func(p recall) bool { return now.Sub(p.due) > recallTTL })
	if len(r.all) < recallLimit {
		r.all = append(r.all, p)
	}
}

// waitedAsTold reports whether a caller that comes back, whose first attempt began at the
// given time, waited for as long as it was asked to. An owner that has no record, because
// another zone or an earlier owner refused the caller, has only the longest time that it
// can have been given.
func (r *recalls) waitedAsTold(now time.Time, d *Demand, first time.Time) bool {
	var found *recall
	distance := recallTolerance
	for i := range r.all {
		p := &r.all[i]
		if p.team != d.Team || p.urgency != d.Urgency {
			continue
		}
		if off := first.Sub(p.first).Abs(); off < distance {
			found, distance = p, off
		}
	}
	if found == nil {
		// RetryWithin is a third of the time left, hence this is a third of the whole time.
		longest := d.RetryWithin + d.PriorWait/3
		return d.PriorWait >= longest
	}
	return !now.Before(found.due)
}

// levelOf returns the level of a new demand.
func (c *Coordinator) levelOf(now time.Time, w *waiter) int {
	d := &w.demand
	asTold := d.Strict && d.background() && d.PriorWait > 0 && c.recalls.waitedAsTold(now, d, w.arrival.Add(-d.PriorWait))
	return d.level(asTold)
}

// tell returns the time until a refused strict caller should come back: when the demands
// before it have been served, but no later than it heeds.
func (c *Coordinator) tell(now time.Time, w *waiter, wait time.Duration) time.Duration {
	d := &w.demand
	told := max(wait, minTold)
	if d.RetryWithin > 0 {
		told = min(told, d.RetryWithin)
	}
	if d.PriorWait == 0 {
		c.recalls.add(now, recall{team: d.Team, urgency: d.Urgency, first: w.arrival, due: now.Add(told)})
	}
	return told
}

// lateWait returns the predicted wait of a background demand: that behind all before it or,
// if that is shorter, that behind its own team's demands at its team's part of the pool.
func (c *Coordinator) lateWait(now time.Time, w *waiter, all, own backlog) time.Duration {
	rate := c.lateRate(w).rate(now, c.slotReleaseRate())
	wait := backgroundWait(all.count, rate)
	if !w.demand.Strict || own.count == all.count {
		return wait
	}
	part := c.queue.usage.part(w.demand.Team, w.demand.Share)
	return min(wait, backgroundWait(int(math.Ceil(float64(own.count)/part)), rate))
}

// lateRate returns the estimate of the rate at which late demands like the given one are
// granted: one per level of strict demands, and one for all others.
func (c *Coordinator) lateRate(w *waiter) *backgroundRate {
	if !w.demand.Strict {
		return &c.background
	}
	r, ok := c.lateRates[w.level]
	if !ok {
		r = &backgroundRate{}
		c.lateRates[w.level] = r
	}
	return r
}

// lateTeam identifies the late demands of a team in one level.
type lateTeam struct {
	level int
	name  string
}

// lateDemands are the waiting late strict demands, with what decides when they are served.
type lateDemands struct {
	waiting map[lateTeam][]*waiter
	// ahead is the number of demands that precede a level, counts that of the level itself.
	ahead, counts map[int]int
	// shares are the sums of the shares of the teams in a level.
	shares map[int]float64
}

// lateDemands collects the waiting late strict demands.
func (c *Coordinator) lateDemands() *lateDemands {
	late := &lateDemands{
		waiting: make(map[lateTeam][]*waiter),
		ahead:   make(map[int]int), counts: make(map[int]int), shares: make(map[int]float64),
	}
	for _, w := range c.queue.byID {
		if w.demand.Strict && w.demand.background() && !w.demand.Resumed {
			key := lateTeam{w.level, w.demand.Team}
			late.waiting[key] = append(late.waiting[key], w)
		}
	}
	for key, list := range late.waiting {
		late.counts[key.level] += len(list)
		late.shares[key.level] += c.queue.usage.effective(list[0].demand.Share)
	}
	for _, l := range c.queue.list {
		for level := range late.counts {
			if l.level() > level && !l.waitsForBuild {
				late.ahead[level] += len(l.waiters)
			}
		}
	}
	return late
}

// dropUnservableStrict refuses late strict demands that, at the present rate, can no longer
// be served before their latest start. Demands of one level are served in turn by team, so a
// demand's place follows from its place in its team and from the team's part.
func (c *Coordinator) dropUnservableStrict(now time.Time) {
	late := c.lateDemands()
	for level, r := range c.lateRates {
		r.setWaiting(now, late.counts[level] > 0)
	}
	var unservable []*waiter
	for key, list := range late.waiting {
		unservable = append(unservable, c.unservable(now, late, key, list)...)
	}
	slices.SortFunc(unservable, func(x, y *waiter) int { return compareIDs(x.demand.ID, y.demand.ID) })
	for _, w := range unservable {
		c.queue.remove(w)
		c.counters.Dropped++
		c.refuseWaiter(now, w, RefusedTarget, backgroundWait(late.ahead[w.level], c.lateRate(w).rate(now, c.slotReleaseRate())))
	}
}

// unservable returns those late demands of a team that can no longer be served in time.
func (c *Coordinator) unservable(now time.Time, late *lateDemands, key lateTeam, list []*waiter) []*waiter {
	slices.SortFunc(list, func(x, y *waiter) int {
		return cmp.Or(x.latestStart.Compare(y.latestStart), compareIDs(x.demand.ID, y.demand.ID))
	})
	rate := c.lateRate(list[0]).rate(now, c.slotReleaseRate())
	part := c.queue.usage.effective(list[0].demand.Share) / late.shares[key.level]
	kept := 0
	var unservable []*waiter
	for _, w := range list {
		place := late.ahead[key.level] + min(late.counts[key.level]-1, int(float64(kept)/part))
		if w.latestStart.IsZero() || !now.Add(backgroundWait(place, rate)).After(w.latestStart) {
			kept++
			continue
		}
		unservable = append(unservable, w)
	}
	return unservable
}

// refuseWaiter refuses a demand that was waiting.
func (c *Coordinator) refuseWaiter(now time.Time, w *waiter, reason RefusalReason, wait time.Duration) {
	if w.demand.Strict && w.demand.background() {
		c.decided = append(c.decided, Outcome{ID: w.demand.ID, Refusal: &Refusal{Reason: reason, RetryAfter: c.tell(now, w, wait)}})
		return
	}
	c.refuse(w.demand.ID, reason, wait)
}

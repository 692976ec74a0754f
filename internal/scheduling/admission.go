package scheduling

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// admit decides whether a new demand may enter the queue. It returns nil if so.
func (c *Coordinator) admit(now time.Time, w *waiter) *Refusal {
	d := &w.demand
	if r := c.checkPool(d); r != nil {
		return r
	}
	if !d.Resumed && d.QueueLimit > 0 && c.queue.waitingOf(classKey{d.Team, d.Class}) >= d.QueueLimit {
		return &Refusal{Reason: RefusedQueueFull, RetryAfter: c.retryAfter(d.ID, c.drainTime(1))}
	}
	return c.checkTargets(now, w)
}

// checkPool refuses a demand that no engine of the pool could ever serve.
func (c *Coordinator) checkPool(d *Demand) *Refusal {
	if !c.canPrefill(d) || !c.anyServes(d) {
		return &Refusal{Reason: RefusedNoEngine, RetryAfter: c.retryAfter(d.ID, noEngineRetryAfter)}
	}
	if !fitsAny(c.prefillPool(), d, d.PromptTokens) || !fitsAny(c.pool.decode, d, d.PromptTokens+d.OutputTokens) {
		return &Refusal{Reason: RefusedTooLarge}
	}
	return nil
}

func anyUsable(engines []*engineInfo, exclude []string) bool {
	for _, e := range engines {
		if e.usable() && !slices.Contains(exclude, e.Name) {
			return true
		}
	}
	return false
}

// fitsAny reports whether tokens of the demand fit in the memory of any engine that
// serves it.
func fitsAny(engines []*engineInfo, d *Demand, tokens int) bool {
	for _, e := range engines {
		if e.serves(d) && (e.Pieces == 0 || e.piecesFor(tokens) <= e.Pieces) {
			return true
		}
	}
	return false
}

// checkTargets refuses a demand whose predicted times miss its targets.
func (c *Coordinator) checkTargets(now time.Time, w *waiter) *Refusal {
	d := &w.demand
	if !c.betweenTokensReachable(d) {
		return &Refusal{Reason: RefusedTarget, RetryAfter: c.retryAfter(d.ID, noEngineRetryAfter)}
	}
	slack, bounded := c.slack(now, w)
	if !bounded {
		return nil
	}
	if slack < 0 {
		return &Refusal{Reason: RefusedTarget, RetryAfter: c.retryAfter(d.ID, 0)}
	}
	if d.Resumed {
		return nil
	}
	all, own := c.backlogAhead(w)
	share := admissionShare
	if d.Strict {
		share = strictAdmissionShare
	}
	usable := seconds(slack.Seconds() * share)
	wait := c.predictWait(now, w, all, own)
	if d.background() && wait > 0 {
		usable = seconds(slack.Seconds() * backgroundAdmissionShare)
		wait = c.lateWait(now, w, all, own)
	}
	if wait > usable {
		return &Refusal{Reason: RefusedTarget, RetryAfter: c.retryAfterExcess(now, w, wait, wait-usable)}
	}
	return nil
}

// retryAfterExcess returns the retry delay of a demand whose predicted wait exceeds the time
// that its targets leave.
func (c *Coordinator) retryAfterExcess(now time.Time, w *waiter, wait, excess time.Duration) time.Duration {
	if w.demand.Strict && w.demand.background() {
		return c.tell(now, w, wait)
	}
	return c.retryAfter(w.demand.ID, excess)
}

// betweenTokensReachable reports whether an otherwise empty engine meets the
// between-token target.
func (c *Coordinator) betweenTokensReachable(d *Demand) bool {
	target := d.Targets.BetweenTokens.D()
	if target == 0 {
		return true
	}
	for _, e := range c.pool.decode {
		if e.serves(d) && c.predict.occupancyLimit(e, target) > 0 {
			return true
		}
	}
	return false
}

// slack returns how long the demand may wait to start if an idle engine then
// serves it, and whether any target bounds the wait.
func (c *Coordinator) slack(now time.Time, w *waiter) (time.Duration, bool) {
	latest := c.latestStart(w)
	if latest.IsZero() {
		return 0, false
	}
	return latest.Sub(now), true
}

// latestStart returns the latest time at which the best engine, if idle, still
// meets the targets; zero if no target bounds it.
func (c *Coordinator) latestStart(w *waiter) time.Time {
	d := &w.demand
	service := w.work + c.predict.prefillLatency() + c.bestTransfer(d.PromptTokens) + c.predict.bestFirstEvent()
	var latest time.Time
	if t := d.Targets.FirstToken.D(); t > 0 {
		latest = w.arrival.Add(t - safetyMargin(t) - service)
	}
	if t := d.Targets.WholeAnswer.D(); t > 0 {
		output := c.predict.lengths(classKey{d.Team, d.Class}).mean() * float64(d.OutputTokens)
		decode := seconds(output * c.predict.model.TokenInterval.D().Seconds())
		whole := w.arrival.Add(t - safetyMargin(t) - service - decode)
		if latest.IsZero() || whole.Before(latest) {
			latest = whole
		}
	}
	return latest
}

// bestWork returns the prefill time on the best engine, if idle.
func (c *Coordinator) bestWork(d *Demand) time.Duration {
	best := time.Duration(math.MaxInt64)
	seen := c.prefixes.known(d.Blocks)
	for _, e := range c.prefillPool() {
		if !e.serves(d) {
			continue
		}
		cached := 0
		if seen {
			cached = c.cachedTokens(e, d)
		}
		best = min(best, c.prefillTimeOn(e, d.PromptTokens-cached))
	}
	return best
}

// bestTransfer returns the transfer time over the pool's fastest links, if idle.
func (c *Coordinator) bestTransfer(tokens int) time.Duration {
	return max(
		c.predict.transfer(fastestLink(c.prefillPool()), tokens, 1),
		c.predict.transfer(fastestLink(c.pool.decode), tokens, 1),
	)
}

// fastestLink returns the highest rate, 0 if a link has no limit.
func fastestLink(engines []*engineInfo) int64 {
	var best int64
	for _, e := range engines {
		if e.LinkBytesPerSecond == 0 {
			return 0
		}
		best = max(best, e.LinkBytesPerSecond)
	}
	return best
}

// predictWait returns the predicted wait of a demand. all is the backlog that
// is served before it, own the part of that backlog that belongs to its own
// team. The wait is the longer of the waits for a prefill engine and for a
// decode slot. The team's share of the pool bounds how much the demands of
// other teams can add.
func (c *Coordinator) predictWait(now time.Time, w *waiter, all, own backlog) time.Duration {
	wait := c.backlogWait(now, &w.demand, all)
	if own.count == all.count {
		return wait
	}
	part := c.queue.usage.part(w.demand.Team, w.demand.Share)
	own.count = int(math.Ceil(float64(own.count) / part))
	own.work = seconds(own.work.Seconds() / part)
	return min(wait, c.backlogWait(now, &w.demand, own))
}

// backlog is a set of waiting demands: the number of those that wait for the same
// decode slots as a new demand, and the sum of the prefill times of all.
type backlog struct {
	count int
	work  time.Duration
}

// backlogAhead returns the backlog that is served before a new demand, and the
// part of it that belongs to the demand's own team. Demands that wait for engines
// of another build are left out: until one of these is free, they take nothing that
// the new demand needs.
func (c *Coordinator) backlogAhead(w *waiter) (all, own backlog) {
	d := &w.demand
	for _, l := range c.queue.list {
		if l.level() < w.level && !l.key.resumed || l.waitsForBuild && l.key.build != d.Build {
			continue
		}
		count := len(l.waiters)
		if d.pinned() && l.key.build != d.Build {
			count = 0
		}
		all.count += count
		all.work += l.work
		if l.key.team == d.Team {
			own.count += count
			own.work += l.work
		}
	}
	return all, own
}

// backlogWait returns the predicted time until the last demand of a backlog has
// started.
func (c *Coordinator) backlogWait(now time.Time, d *Demand, b backlog) time.Duration {
	return max(c.prefillWait(now, b.work), c.slotWait(now, d, b.count), c.limitWait(now, d, b.count))
}

// prefillWait returns the time until a prefill engine is free behind a backlog.
func (c *Coordinator) prefillWait(now time.Time, work time.Duration) time.Duration {
	engines := 0
	least := time.Duration(math.MaxInt64)
	var sum time.Duration
	for _, e := range c.prefillPool() {
		if !e.usable() {
			continue
		}
		engines++
		left := e.prefillBacklog(now)
		least = min(least, left)
		sum += left
	}
	if engines == 0 {
		return 0
	}
	if work == 0 {
		return least
	}
	return (sum + work) / time.Duration(engines)
}

// slotWait returns the time until a decode slot is free for a demand behind a number
// of others.
func (c *Coordinator) slotWait(now time.Time, d *Demand, count int) time.Duration {
	free := 0
	for _, e := range c.pool.decode {
		if e.usable() && d.ofBuild(e) {
			free += c.openCapacity(now, e)
		}
	}
	if count < free {
		return 0
	}
	return c.releaseTime(count-free+1, c.slotsHeldFor(d))
}

// slotsHeldFor returns the number of held slots that a demand may get when they
// become free. Demands that wait for a build come first on its engines; if all
// builds are waited for, every slot counts.
func (c *Coordinator) slotsHeldFor(d *Demand) int {
	awaited := c.queue.awaitedBuilds()
	held := 0
	for _, e := range c.pool.decode {
		if d.ofBuild(e) && (d.pinned() || !slices.Contains(awaited, e.Build)) {
			held += e.slotsHeld + e.pendingSlots
		}
	}
	if held == 0 {
		return c.slotsHeld()
	}
	return held
}

// slotsHeld returns the number of held slots.
func (c *Coordinator) slotsHeld() int {
	held := 0
	for _, e := range c.pool.decode {
		held += e.slotsHeld + e.pendingSlots
	}
	return held
}

// drainTime returns the predicted time in which a number of decode slots become
// free.
func (c *Coordinator) drainTime(count int) time.Duration {
	return c.releaseTime(count, c.slotsHeld())
}

// releaseTime returns the predicted time in which a number of the given held slots
// become free: they do so at a rate of their number divided by the mean time that a
// slot is held.
func (c *Coordinator) releaseTime(count, held int) time.Duration {
	if held == 0 || c.slotTime.mean == 0 {
		return 0
	}
	return c.slotTime.mean * time.Duration(count) / time.Duration(held)
}

// retryAfter returns a retry delay between wait and twice that time. The delay
// is derived from the attempt id, so that callers refused together do not retry
// together.
func (c *Coordinator) retryAfter(id engine.AttemptID, wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	spread := float64(xxhash.Sum64String(id.String())) / math.MaxUint64
	return wait + seconds(wait.Seconds()*spread)
}

// weightsOrDefault returns the weights, or equal weights if none are set.
func weightsOrDefault(w configuration.Weights) configuration.Weights {
	if w.Goodput == 0 && w.WastedPrefill == 0 {
		return configuration.Weights{Goodput: 1, WastedPrefill: 1}
	}
	return w
}

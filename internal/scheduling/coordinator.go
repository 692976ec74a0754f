package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// Outcome is the decision on a demand. It has a grant, a refusal, or neither
// while the demand waits.
type Outcome struct {
	ID      engine.AttemptID
	Grant   *Grant
	Refusal *Refusal
}

// Waiting reports whether the demand is neither granted nor refused.
func (o Outcome) Waiting() bool { return o.Grant == nil && o.Refusal == nil }

// Counters count decisions since the coordinator was created.
type Counters struct {
	Granted, Overlapped          uint64
	RefusedTarget, RefusedFull   uint64
	RefusedEngine, RefusedLarge  uint64
	Dropped, Withdrawn           uint64
	Expired, HolderGone, Adopted uint64
	Released                     uint64
	CacheGaps, CacheMisses       uint64
	// Rested counts the cooldowns of engines, during which they got no grants
	// after a failure.
	Rested uint64
}

// Add adds the counts of another coordinator.
func (c *Counters) Add(other *Counters) {
	c.Granted += other.Granted
	c.Overlapped += other.Overlapped
	c.RefusedTarget += other.RefusedTarget
	c.RefusedFull += other.RefusedFull
	c.RefusedEngine += other.RefusedEngine
	c.RefusedLarge += other.RefusedLarge
	c.Dropped += other.Dropped
	c.Withdrawn += other.Withdrawn
	c.Expired += other.Expired
	c.HolderGone += other.HolderGone
	c.Adopted += other.Adopted
	c.Released += other.Released
	c.CacheGaps += other.CacheGaps
	c.CacheMisses += other.CacheMisses
	c.Rested += other.Rested
}

// Coordinator owns the engines of one model in one availability zone: the
// ledger of decode slots and memory, the queue and the predictions. It has no
// clock and no goroutine; every method takes the time. It is not safe for
// concurrent use.
type Coordinator struct {
	settings   Settings
	pool       *pool
	ledger     *ledger
	queue      *queue
	predict    *predictor
	prefixes   *prefixIndex
	slotTime   meanDuration
	counters   Counters
	background backgroundRate
	// lateRates are the rates of late strict demands by level.
	lateRates map[int]*backgroundRate
	recalls   recalls
	// decided holds the outcomes that Tick has not returned yet.
	decided []Outcome
	// grantsPaused stops all grants while the ledger is rebuilt.
	grantsPaused bool
	// reserved are the demands whose engines the demand that is being placed must
	// leave free.
	reserved []*Demand
	// passes counts the passes over the waiting demands, pass is the number of the current
	// one; 0 outside.
	passes, pass uint64
	misfits      []misfit
}

// NewCoordinator returns a coordinator without engines.
func NewCoordinator(settings Settings) *Coordinator {
	return &Coordinator{
		settings:  settings,
		pool:      newPool(),
		ledger:    newLedger(),
		queue:     newQueue(),
		predict:   newPredictor(settings.Model),
		prefixes:  newPrefixIndex(prefixIndexLimit),
		lateRates: make(map[int]*backgroundRate),
	}
}

// Counters returns the counts of decisions.
func (c *Coordinator) Counters() Counters { return c.counters }

// Waiting returns the number of waiting demands.
func (c *Coordinator) Waiting() int { return c.queue.len() }

// Headroom returns the free fraction of the capacity of the usable decode
// engines. It is 0 while any demand waits that is served before the given one, and 1 if the
// demand is strict and only less urgent ones wait, which it precedes.
func (c *Coordinator) Headroom(now time.Time, d *Demand) float64 {
	places, free := 0, 0
	for _, e := range c.pool.decode {
		if e.usable() {
			open := max(0, c.openCapacity(now, e))
			places += open + e.slotsHeld + e.pendingSlots
			free += open
		}
	}
	if places == 0 || c.grantsPaused || c.queue.anyAheadOf(d) {
		return 0
	}
	if d.Strict && c.queue.strict > 0 {
		return 1
	}
	return float64(free) / float64(places)
}

// PauseGrants stops all grants until ResumeGrants; demands are queued
// meanwhile. A new owner pauses grants until it knows what the holders hold.
func (c *Coordinator) PauseGrants() { c.grantsPaused = true }

// ResumeGrants allows grants again after PauseGrants.
func (c *Coordinator) ResumeGrants() { c.grantsPaused = false }

// SetModel replaces the model's nominal figures; the corrections learned from
// observations are kept.
func (c *Coordinator) SetModel(model configuration.Model) {
	c.settings.Model = model
	c.predict.model = model
}

// SetEngines replaces the engines. Engines that are not listed get no new
// grants; what is held on them stays in the ledger until it is released.
func (c *Coordinator) SetEngines(now time.Time, states []EngineState) {
	c.pool.set(states)
	for _, e := range c.pool.byName {
		e.updateLimit(now)
		e.slowdown = e.stated.Estimate(now)
	}
	c.dispatch(now)
}

// Submit grants, refuses or queues a demand. It is idempotent: a repeated
// submission returns the same grant, so that a demand whose response was lost
// can be submitted again.
func (c *Coordinator) Submit(now time.Time, d Demand) Outcome {
	if h, ok := c.ledger.holdings[d.ID]; ok {
		h.renewed = now
		grant := h.grant
		return Outcome{ID: d.ID, Grant: &grant}
	}
	if _, ok := c.queue.byID[d.ID]; ok {
		return Outcome{ID: d.ID}
	}
	if _, ok := c.ledger.tombstones[d.ID]; ok {
		return Outcome{ID: d.ID, Refusal: &Refusal{Reason: RefusedTarget}}
	}
	c.tidy(now)
	w := c.newWaiter(now, d)
	if refusal := c.admit(now, w); refusal != nil {
		c.countRefusal(refusal)
		return Outcome{ID: d.ID, Refusal: refusal}
	}
	c.queue.add(w)
	c.dispatch(now)
	return c.takeOutcome(d.ID)
}

func (c *Coordinator) newWaiter(now time.Time, d Demand) *waiter {
	d.Weights = weightsOrDefault(d.Weights)
	w := &waiter{demand: d, arrival: now.Add(-max(0, d.Waited))}
	w.level = c.levelOf(now, w)
	w.work = c.bestWork(&d)
	w.latestStart = c.latestStart(w)
	return w
}

// takeOutcome returns the outcome of one demand and leaves the others to Tick.
func (c *Coordinator) takeOutcome(id engine.AttemptID) Outcome {
	i := slices.IndexFunc(c.decided, func(o Outcome) bool { return o.ID == id })
	if i < 0 {
		return Outcome{ID: id}
	}
	outcome := c.decided[i]
	c.decided = slices.Delete(c.decided, i, i+1)
	return outcome
}

// Cancel withdraws a waiting demand or releases a grant. It is idempotent, and a
// submission that arrives after it is refused.
func (c *Coordinator) Cancel(now time.Time, id engine.AttemptID) {
	c.decided = slices.DeleteFunc(c.decided, func(o Outcome) bool { return o.ID == id })
	c.ledger.tombstones[id] = now
	if w, ok := c.queue.byID[id]; ok {
		c.queue.remove(w)
		c.counters.Withdrawn++
	}
	if h, ok := c.ledger.holdings[id]; ok {
		c.ledger.remove(now, h, true)
		c.counters.Released++
	}
	c.dispatch(now)
}

// Withdraw removes a waiting demand, as Cancel does, but lets it be submitted
// again. It is for calls that were interrupted, after which the holder may
// retry.
func (c *Coordinator) Withdraw(now time.Time, id engine.AttemptID) {
	if w, ok := c.queue.byID[id]; ok {
		c.queue.remove(w)
		c.counters.Withdrawn++
	}
	c.dispatch(now)
}

// Tick expires leases, drops demands that can no longer meet their targets and
// grants those that can start. It returns the decisions since the last call.
func (c *Coordinator) Tick(now time.Time) []Outcome {
	c.tidy(now)
	c.dispatch(now)
	decided := c.decided
	c.decided = nil
	return decided
}

// NextWake returns when Tick is to be called next.
func (c *Coordinator) NextWake(now time.Time) time.Time {
	if len(c.decided) > 0 {
		return now
	}
	wake := now.Add(idleWakeInterval)
	if c.queue.len() > 0 {
		wake = now.Add(retryInterval)
	}
	if e := c.ledger.nextExpiry; !e.IsZero() && e.Before(wake) {
		wake = e
	}
	return wake
}

// tidy expires leases and drops demands that can no longer meet their targets.
func (c *Coordinator) tidy(now time.Time) {
	c.updateCooldowns(now)
	c.counters.Expired += uint64(c.ledger.expire(now))
	c.refuseDepartedBuilds()
	c.dropUnservable(now)
	for _, w := range c.queue.overdue(now) {
		c.counters.Dropped++
		c.refuseWaiter(now, w, RefusedTarget, c.drainTime(1))
	}
}

// dispatch grants waiting demands in order as long as one can start.
func (c *Coordinator) dispatch(now time.Time) {
	if c.grantsPaused {
		return
	}
	for c.queue.len() > 0 && c.dispatchOne(now) {
	}
}

// dispatchOne grants the first demand in order that can start. A demand that
// has been bypassed for longer than bypassLimit blocks those after it, so that
// smaller or less demanding ones cannot starve it; if it waits for engines of its
// build, it only keeps these from them. What a demand that cannot start means for
// those after it, see blockade.
func (c *Coordinator) dispatchOne(now time.Time) bool {
	c.passes++
	c.pass, c.misfits = c.passes, c.misfits[:0]
	defer func() { c.reserved, c.pass = nil, 0 }()
	var waiting reservations
	var blocked blockade
	order := c.queue.inOrder(now)
	for _, l := range order {
		l.waitsForBuild = false
	}
	for _, l := range order {
		if blocked.stops(l) {
			return false
		}
		for _, w := range l.candidates() {
			c.reserved = waiting.of(&w.demand)
			if p, ok := c.tryPlace(now, w, &blocked); ok {
				c.pass = 0
				c.grant(now, w, &p)
				return true
			}
			if w.blockedSince.IsZero() {
				w.blockedSince = now
			}
			overdue := now.Sub(w.blockedSince) > bypassLimit
			if c.waitsForBuild(now, &w.demand) {
				l.waitsForBuild = true
				waiting.add(&w.demand, overdue)
				continue
			}
			if w.demand.Strict && len(w.demand.Exclude) > 0 {
				// It needs engines that others may not want, and others may use those that
				// it excludes.
				waiting.add(&w.demand, true)
				continue
			}
			if overdue {
				return false
			}
			blocked.add(&w.demand)
		}
	}
	return false
}

// tryPlace places a demand, unless it is known that no engine has room for it.
func (c *Coordinator) tryPlace(now time.Time, w *waiter, b *blockade) (placement, bool) {
	if c.knownMisfit(w) {
		return placement{}, false
	}
	if w.demand.Strict {
		b.tries++
	}
	p, ok := c.place(now, w)
	if !ok {
		c.addMisfit(now, w)
	}
	return p, ok
}

// grant records the placement in the ledger and adds the grant to the outcomes.
func (c *Coordinator) grant(now time.Time, w *waiter, p *placement) {
	d := &w.demand
	c.queue.remove(w)
	if d.background() {
		c.lateRate(w).recordGrant(now)
	}
	first := p.transferEnd.Add(c.predict.firstEvent(p.decode, p.decode.slotsHeld+1)).Sub(now)
	h := &holding{
		id:            d.ID,
		key:           classKey{d.Team, d.Class},
		grant:         Grant{ID: d.ID, Prefill: p.prefill.Name, Decode: p.decode.Name, FirstToken: first},
		prefill:       p.prefill,
		decode:        p.decode,
		slotPending:   p.slotPending,
		promptTokens:  d.PromptTokens,
		outputTokens:  d.OutputTokens,
		blocks:        d.Blocks,
		cached:        p.cached,
		pieces:        p.decode.piecesFor(d.PromptTokens + d.OutputTokens),
		prefillPieces: p.prefill.piecesFor(d.PromptTokens),
		between:       d.Targets.BetweenTokens.D(),
		work:          p.work,
		granted:       now,
		prefillEnd:    p.prefillEnd,
		transferEnd:   p.transferEnd,
		renewed:       now,
	}
	h.prefillEngineIdle = p.prefill.prefillBacklog(now) == 0
	p.prefill.lastPrefill = now
	p.decode.pacer.Take(now)
	if p.prefill != p.decode {
		p.prefill.pacer.Take(now)
	}
	h.grant.Limited = p.prefill.pacer.Limited() || p.decode.pacer.Limited()
	c.ledger.add(h)
	c.prefixes.store(p.prefill.Name, d.Blocks)
	c.queue.usage.charge(d.Team, d.Share, first+seconds(float64(d.OutputTokens)*c.predict.model.TokenInterval.D().Seconds()))
	c.counters.Granted++
	if p.slotPending {
		c.counters.Overlapped++
	}
	grant := h.grant
	c.decided = append(c.decided, Outcome{ID: d.ID, Grant: &grant})
}

func (c *Coordinator) countRefusal(r *Refusal) {
	switch r.Reason {
	case RefusedTarget:
		c.counters.RefusedTarget++
	case RefusedQueueFull:
		c.counters.RefusedFull++
	case RefusedNoEngine:
		c.counters.RefusedEngine++
	case RefusedTooLarge:
		c.counters.RefusedLarge++
	}
}

package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// meanDuration is an exponentially weighted moving average of a duration.
type meanDuration struct {
	mean time.Duration
}

func (m *meanDuration) observe(d time.Duration) {
	if m.mean == 0 {
		m.mean = d
		return
	}
	m.mean += time.Duration(ewmaWeight * float64(d-m.mean))
}

// Progress processes a holder's report on a granted attempt.
func (c *Coordinator) Progress(now time.Time, p Progress) {
	h, ok := c.ledger.holdings[p.ID]
	if !ok {
		if p.Kind == Released {
			c.Cancel(now, p.ID)
		}
		return
	}
	h.renewed = now
	switch p.Kind {
	case PrefillDone:
		c.prefillDone(now, h, p)
	case FirstTokenSeen:
		c.firstTokenSeen(now, h, p)
	case Released:
		c.release(now, h, p)
	case PrefillFailed:
		c.engineFailed(now, p.Prefill)
	case DecodeFailed:
		c.declined(now, p.Decode)
		c.engineFailed(now, p.Decode)
	case PrefillLost:
		c.responseLost(now, p.Prefill)
	case DecodeLost:
		c.responseLost(now, p.Decode)
	case EngineLimit:
		c.limitEngine(now, p)
	case EngineLeaving:
		c.markLeaving(now, p.Prefill)
		c.markLeaving(now, p.Decode)
		c.updateCooldowns(now)
	}
	c.dispatch(now)
}

// prefillDone frees the prefill engine and corrects its rate and the state of
// its cache.
func (c *Coordinator) prefillDone(now time.Time, h *holding, p Progress) {
	if h.phase != PhasePrefill {
		return
	}
	h.phase = PhaseTransfer
	c.ledger.endPrefill(h)
	h.prefill.engineSucceeded()
	h.prefill.observeSlowdown(now, p.Slowdown)
	latency := c.predict.prefillLatency()
	transfer := h.transferEnd.Sub(h.prefillEnd) - latency
	h.prefillEnd = now
	h.transferEnd = now.Add(transfer)
	c.shiftRunning(now.Add(-latency), h.prefill)
	c.correctCache(h, p)
	tokens := p.Tokens
	if tokens == 0 {
		tokens = h.promptTokens
	}
	base := seconds(float64(tokens-p.Cached) / c.predict.model.PrefillTokensPerSecond)
	elapsed := p.Elapsed - latency
	if h.prefillEngineIdle {
		c.predict.prefills.observe(tokens-p.Cached, h.prefill.usual(p.Elapsed, p.Slowdown))
	} else {
		// Behind another prefill the duration includes the wait for it, which
		// ended when that prefill was reported as done.
		elapsed = min(elapsed, now.Sub(h.prefill.lastDone))
	}
	h.prefill.lastDone = now
	h.prefill.prefillRatio.observe(h.prefill.usual(elapsed, p.Slowdown), base)
}

// shiftRunning moves the predicted ends of the prefills in flight. free is when
// the prefill before them freed the engine.
func (c *Coordinator) shiftRunning(free time.Time, e *engineInfo) {
	end := free
	for _, h := range e.running {
		end = end.Add(h.work)
		transfer := h.transferEnd.Sub(h.prefillEnd)
		h.prefillEnd = end
		h.transferEnd = end.Add(transfer)
	}
}

// correctCache compares the cached part that the engine reports with the part
// predicted from the index, whose events may be late or missing. The engine's
// own count is authoritative.
func (c *Coordinator) correctCache(h *holding, p Progress) {
	if p.Cached >= h.cached {
		h.prefill.cacheInDoubt = false
		return
	}
	first := min(p.Cached/TokensPerBlock, len(h.blocks))
	last := min(h.cached/TokensPerBlock, len(h.blocks))
	c.counters.CacheMisses++
	// The prefill has stored these blocks again, so their entries stay in the
	// index. Other entries of the engine may be wrong as well.
	if first < last {
		h.prefill.cacheInDoubt = true
	}
}

// firstTokenSeen frees the link and the prefill engine's memory.
func (c *Coordinator) firstTokenSeen(now time.Time, h *holding, p Progress) {
	if h.phase == PhaseDecode {
		return
	}
	h.decode.observeSlowdown(now, p.Slowdown)
	predicted := h.transferEnd.Sub(h.prefillEnd)
	step := c.predict.firstEvent(h.decode, h.decode.slotsHeld)
	if h.phase == PhaseTransfer && !h.slotPending && predicted > 0 {
		h.decode.linkRatio.observe(p.Elapsed, predicted+step)
	}
	c.ledger.endPrefill(h)
	c.ledger.endTransfer(h)
	h.phase = PhaseDecode
	h.decode.engineSucceeded()
	h.decodeStart = now
	h.delivered = 1
	h.deliveredAt = now
}

// release frees the attempt's resources and updates the predictions from its
// decode.
func (c *Coordinator) release(now time.Time, h *holding, p Progress) {
	c.counters.Released++
	c.slotTime.observe(now.Sub(h.granted))
	if !h.decodeStart.IsZero() && p.Tokens > 1 {
		c.predict.lengths(h.key).observe(p.Tokens, h.outputTokens)
		steps := time.Duration(p.Tokens - 1)
		interval := c.predict.modelInterval(h.decode.slotsHeld)
		h.decode.decodeRatio.observe(h.decode.usual(now.Sub(h.decodeStart), 0), steps*interval)
	}
	c.ledger.remove(now, h, true)
}

// Renew processes a heartbeat of one incarnation of an entry VM that lists all
// its granted attempts. Unknown attempts are adopted even beyond the engine's
// capacity, because the holder uses the slot whether or not the ledger knows of
// it. Records without engines can only renew known attempts. Renew returns how
// many of them name unknown ones, so that the holder sends complete records for
// them.
func (c *Coordinator) Renew(now time.Time, vm string, incarnation uint64, held []Held) int {
	unknown := 0
	for i := range held {
		record := &held[i]
		if record.ID.VM != vm || record.ID.Incarnation != incarnation {
			continue
		}
		if !c.renewOne(now, record) {
			unknown++
		}
	}
	c.dispatch(now)
	return unknown
}

// renewOne renews or adopts an attempt. It returns false if the attempt is
// unknown and the record is too incomplete to adopt it.
func (c *Coordinator) renewOne(now time.Time, record *Held) bool {
	h, ok := c.ledger.holdings[record.ID]
	if !ok {
		return c.adopt(now, record)
	}
	h.renewed = now
	if record.Delivered > h.delivered {
		h.delivered = record.Delivered
		h.deliveredAt = now
	}
	if record.Phase == PhaseDecode && h.phase != PhaseDecode {
		c.firstTokenSeen(now, h, Progress{ID: h.id, Kind: FirstTokenSeen})
	}
	if record.Phase == PhaseTransfer && h.phase == PhasePrefill {
		h.phase = PhaseTransfer
		c.ledger.endPrefill(h)
	}
	return true
}

// adopt adds to the ledger an attempt that another owner granted. It returns
// false if the record does not name the engines.
func (c *Coordinator) adopt(now time.Time, r *Held) bool {
	if _, released := c.ledger.tombstones[r.ID]; released {
		return true
	}
	if r.Decode == "" {
		return false
	}
	prefill, decode := c.pool.get(r.Prefill), c.pool.get(r.Decode)
	h := &holding{
		id:            r.ID,
		key:           classKey{r.Team, r.Class},
		grant:         Grant{ID: r.ID, Prefill: r.Prefill, Decode: r.Decode},
		prefill:       prefill,
		decode:        decode,
		phase:         r.Phase,
		promptTokens:  r.PromptTokens,
		outputTokens:  r.OutputTokens,
		delivered:     r.Delivered,
		deliveredAt:   now,
		pieces:        decode.piecesFor(r.PromptTokens + r.OutputTokens),
		prefillPieces: prefill.piecesFor(r.PromptTokens),
		between:       r.BetweenTokens,
		work:          c.predict.prefill(prefill, r.PromptTokens),
		granted:       now,
		renewed:       now,
	}
	h.prefillEnd = now
	if h.phase == PhasePrefill {
		h.prefillEnd = now.Add(prefill.prefillBacklog(now) + h.work)
	}
	h.transferEnd = h.prefillEnd.Add(c.predict.transfer(decode.LinkBytesPerSecond, r.PromptTokens, 1))
	c.counters.Adopted++
	c.ledger.add(h)
	if w, ok := c.queue.byID[r.ID]; ok {
		c.queue.remove(w)
	}
	return true
}

// HolderGone releases all grants and removes all waiting demands of one
// incarnation of an entry VM. Attempts that still run on engines appear in the
// engines' load reports.
func (c *Coordinator) HolderGone(now time.Time, vm string, incarnation uint64) {
	belongs := func(id engine.AttemptID) bool { return id.VM == vm && id.Incarnation == incarnation }
	for _, h := range c.ledger.sorted() {
		if belongs(h.id) {
			c.ledger.remove(now, h, false)
			c.counters.HolderGone++
		}
	}
	for _, w := range c.queue.all() {
		if id := w.demand.ID; belongs(id) {
			c.queue.remove(w)
			c.counters.Withdrawn++
			c.refuse(id, RefusedTarget, minRetryAfter)
		}
	}
	c.dispatch(now)
}

// refuse adds the refusal of a demand that was waiting to the outcomes.
func (c *Coordinator) refuse(id engine.AttemptID, reason RefusalReason, wait time.Duration) {
	refusal := &Refusal{Reason: reason, RetryAfter: c.retryAfter(id, wait)}
	c.decided = append(c.decided, Outcome{ID: id, Refusal: refusal})
}

// ObserveLoad processes an engine's load report.
func (c *Coordinator) ObserveLoad(now time.Time, name string, report engine.LoadReport) {
	e, ok := c.pool.byName[name]
	if !ok {
		return
	}
	e.observeLoad(now, report)
	c.dispatch(now)
}

// CacheEvents processes prefix cache events of an engine. After a gap an
// eviction may have been missed, so only half of the engine's matching blocks
// are assumed to be cached until a prefill confirms them.
func (c *Coordinator) CacheEvents(_ time.Time, name string, events []CacheEvent, gap bool) {
	if gap {
		c.counters.CacheGaps++
		c.pool.get(name).cacheInDoubt = true
	}
	for _, e := range events {
		switch e.Kind {
		case CacheStored:
			c.prefixes.store(name, e.Blocks)
		case CacheRemoved:
			c.prefixes.removeBlocks(name, e.Blocks)
		case CacheCleared:
			c.prefixes.clear(name)
		}
	}
}

package scheduling

import (
	"slices"
	"time"
)

// placement is a choice of engines with its predicted times.
type placement struct {
	prefill *engineInfo
	decode  *engineInfo
	// cached is the number of prompt tokens that are probably in the prefill
	// engine's cache.
	cached int
	// work is the predicted duration of the prefill without waiting.
	work time.Duration
	// prefillEnd is when the prefill engine can start on the next prompt.
	prefillEnd  time.Time
	transferEnd time.Time
	// slotPending is set if the decode slot is predicted to become free in time
	// but is not free yet.
	slotPending bool
}

// place chooses engines for a waiting demand whose prefill can start now.
func (c *Coordinator) place(now time.Time, w *waiter) (placement, bool) {
	p, ok := c.choosePrefill(now, &w.demand)
	if !ok {
		return c.placeSelfPrefill(now, w)
	}
	if c.chooseDecode(now, &w.demand, &p) {
		return p, c.inTime(w, &p)
	}
	if !overlapAllowed(w.demand.Weights) {
		return placement{}, false
	}
	if c.chooseOverlap(now, w, &p) {
		return p, c.inTime(w, &p)
	}
	return placement{}, false
}

// inTime reports whether the placement meets the first token target.
func (c *Coordinator) inTime(w *waiter, p *placement) bool {
	target := w.demand.Targets.FirstToken.D()
	if target == 0 {
		return true
	}
	first := p.transferEnd.Add(c.predict.firstEvent(p.decode, p.decode.slotsHeld+1))
	return !first.After(w.arrival.Add(target - safetyMargin(target)))
}

// choosePrefill chooses the engine that finishes the prefill first, taking its
// cached prefix into account. An engine gets its next prefill only shortly
// before it finishes the last one, which bounds how much work a popular prefix
// can concentrate on it.
func (c *Coordinator) choosePrefill(now time.Time, d *Demand) (placement, bool) {
	var best placement
	seen := c.prefixes.known(d.Blocks)
	for _, e := range c.pool.prefill {
		if !c.prefillFree(now, e, d) {
			continue
		}
		cached := 0
		if seen {
			cached = c.cachedTokens(e, d)
		}
		work := c.predict.prefill(e, d.PromptTokens-cached)
		end := now.Add(e.prefillBacklog(now) + work)
		if best.prefill == nil || end.Before(best.prefillEnd) ||
			end.Equal(best.prefillEnd) && e.lastPrefill.Before(best.prefill.lastPrefill) {
			best = placement{prefill: e, cached: cached, work: work, prefillEnd: end}
		}
	}
	return best, best.prefill != nil
}

// prefillFree reports whether a prefill engine can take the demand now.
func (c *Coordinator) prefillFree(now time.Time, e *engineInfo, d *Demand) bool {
	if !e.usable() || slices.Contains(d.Exclude, e.Name) || !e.pacer.Ready(now) {
		return false
	}
	if e.Pieces > 0 && e.prefillPieces+e.piecesFor(d.PromptTokens) > e.Pieces {
		return false
	}
	if len(e.running) == 0 {
		return true
	}
	// An overdue prefill shows that the engine is slower than predicted, so
	// that its end is unknown.
	left := e.running[len(e.running)-1].prefillEnd.Sub(now)
	late := left < -prefillLead-c.predict.prefillLatency()
	return left <= prefillLead && !late && c.prefillsComputing(now, e) < maxPrefillsInFlight
}

// prefillsComputing returns the number of prefills that occupy the engine: all
// in flight except those that wait only for the prefill latency to pass.
func (c *Coordinator) prefillsComputing(now time.Time, e *engineInfo) int {
	n := 0
	for _, h := range e.running {
		computed := !now.Before(h.prefillEnd)
		if !computed || !now.Before(h.prefillEnd.Add(c.predict.prefillLatency())) {
			n++
		}
	}
	return n
}

// prefillBacklog returns the predicted time until the engine's prefills in
// flight are done.
func (e *engineInfo) prefillBacklog(now time.Time) time.Duration {
	if len(e.running) == 0 {
		return 0
	}
	return max(0, e.running[len(e.running)-1].prefillEnd.Sub(now))
}

// cachedTokens returns how many tokens of the prompt are probably in an engine's
// cache. At least one token is always computed, because decoding starts from
// the last one.
func (c *Coordinator) cachedTokens(e *engineInfo, d *Demand) int {
	blocks := c.prefixes.cachedBlocks(e.Name, d.Blocks)
	if e.cacheInDoubt {
		blocks /= 2
	}
	return max(0, min(blocks*TokensPerBlock, d.PromptTokens-1))
}

// chooseDecode chooses an engine with a free slot and enough memory: the one
// with the fastest transfer, then the one with the fewest requests.
func (c *Coordinator) chooseDecode(now time.Time, d *Demand, p *placement) bool {
	var bestTime time.Duration
	for _, e := range c.pool.decode {
		if !c.slotFree(now, e, d) {
			continue
		}
		t, ok := c.transferTime(p, e, d.PromptTokens)
		if !ok {
			continue
		}
		if p.decode == nil || t < bestTime || t == bestTime && e.slotsHeld < p.decode.slotsHeld {
			p.decode, bestTime = e, t
		}
	}
	p.transferEnd = p.prefillEnd.Add(c.predict.prefillLatency() + bestTime)
	return p.decode != nil
}

// slotFree reports whether a decode engine has a slot and memory for the demand
// and whether all between-token targets on it hold with one more request.
func (c *Coordinator) slotFree(now time.Time, e *engineInfo, d *Demand) bool {
	if !e.usable() || e.pendingSlots > 0 || e.freeSlots() <= 0 || !c.mayTake(e, d) || !e.pacer.Ready(now) {
		return false
	}
	strictest := stricter(e.strictest, d.Targets.BetweenTokens.D())
	if e.slotsHeld+e.untracked+1 > c.predict.occupancyLimit(e, strictest) {
		return false
	}
	return c.memoryAllows(now, e, d)
}

// transferTime returns the duration of the KV transfer between the placement's
// prefill engine and a decode engine. It returns false if this or another
// transfer on the links would take longer than the KV cache is kept.
func (c *Coordinator) transferTime(p *placement, decode *engineInfo, tokens int) (time.Duration, bool) {
	out, outOK := c.linkTime(p.prefill, p.prefillEnd, tokens)
	in, inOK := c.linkTime(decode, p.prefillEnd, tokens)
	t := max(out, in)
	t = time.Duration(float64(t) * decode.linkRatio.ratio())
	return t, outOK && inOK
}

// linkTime returns the duration of a transfer on one engine's link, shared with
// the transfers predicted for the same time.
func (c *Coordinator) linkTime(e *engineInfo, start time.Time, tokens int) (time.Duration, bool) {
	alone := c.predict.transfer(e.LinkBytesPerSecond, tokens, 1)
	end := start.Add(alone)
	sharers := 0
	longest := tokens
	for _, h := range e.transfers {
		if h.prefillEnd.Before(end) && start.Before(h.transferEnd) {
			sharers++
			longest = max(longest, h.promptTokens)
		}
	}
	if sharers == 0 {
		return alone, true
	}
	limit := seconds(c.settings.Model.KVRetention.D().Seconds() * retentionShare)
	worst := c.predict.transfer(e.LinkBytesPerSecond, longest, sharers+1)
	return alone * time.Duration(sharers+1), limit == 0 || worst <= limit
}

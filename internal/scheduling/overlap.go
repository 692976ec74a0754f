package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// maxPendingSlots bounds the pending slots of one decode engine.
	maxPendingSlots = 4
	// maxOverlapWasteShare is the wasteShare from which on a prefill starts only
	// when its decode slot is free.
	maxOverlapWasteShare = 0.5
)

// wasteShare returns the weight of wasted prefill as a share of both weights,
// between 0 and 1.
func wasteShare(w configuration.Weights) float64 {
	sum := w.Goodput + w.WastedPrefill
	if sum <= 0 {
		return 1
	}
	return w.WastedPrefill / sum
}

// overlapAllowed reports whether a prefill may start before its decode slot is
// free. A demand that weighs waste at least as much as goodput never does.
func overlapAllowed(w configuration.Weights) bool { return wasteShare(w) < maxOverlapWasteShare }

// chooseOverlap chooses the full decode engine on which a slot most probably
// becomes free between the end of the prefill and the eviction of its KV cache.
func (c *Coordinator) chooseOverlap(now time.Time, w *waiter, p *placement) bool {
	best := c.acceptableRisk(w.demand.Weights, p)
	var bestTransfer time.Duration
	for _, e := range c.pool.decode {
		if !c.overlapPossible(e, &w.demand) {
			continue
		}
		transfer, ok := c.transferTime(p, e, w.demand.PromptTokens)
		if !ok {
			continue
		}
		risk := c.riskOfNoSlot(now, e, c.latestTransferStart(p, transfer).Sub(now))
		if risk < best && c.missRisk(now, w, e, transfer) <= maxMissRisk {
			p.decode, best, bestTransfer = e, risk, transfer
		}
	}
	if p.decode == nil {
		return false
	}
	p.transferEnd = p.prefillEnd.Add(c.predict.prefillLatency() + bestTransfer)
	p.slotPending = true
	return true
}

// overlapPossible reports whether an engine may get one more pending slot. The
// between-token targets must hold even if no slot becomes free, because a
// pending slot predicts when a slot is free and not how many requests the
// engine then runs.
func (c *Coordinator) overlapPossible(e *engineInfo, d *Demand) bool {
	if !e.usable() || e.pendingSlots >= maxPendingSlots || !c.mayTake(e, d) || e.pacer.Limited() {
		return false
	}
	strictest := stricter(e.strictest, d.Targets.BetweenTokens.D())
	occupancy := min(e.Slots, e.slotsHeld+e.pendingSlots+1)
	if occupancy > c.predict.occupancyLimit(e, strictest) {
		return false
	}
	need := e.piecesFor(d.PromptTokens + d.OutputTokens)
	return e.Pieces == 0 || need <= e.Pieces
}

// acceptableRisk returns the probability of a wasted prefill up to which an
// early start is worthwhile. An early start saves the time for which the slot
// would be idle during the prefill; the gain is that time as a fraction of the
// mean time that a slot is held. A failure wastes the prefill.
func (c *Coordinator) acceptableRisk(weights configuration.Weights, p *placement) float64 {
	if c.slotTime.mean <= 0 {
		return 0
	}
	saved := min(1, p.work.Seconds()/c.slotTime.mean.Seconds())
	waste := wasteShare(weights)
	return min(maxOverlapRisk, (1-waste)*saved*(1-waste/maxOverlapWasteShare))
}

// latestTransferStart returns the latest time at which a transfer can start
// before the prefill engine evicts the KV cache.
func (c *Coordinator) latestTransferStart(p *placement, transfer time.Duration) time.Time {
	keep := seconds(c.settings.Model.KVRetention.D().Seconds()*retentionShare) - transfer
	return p.prefillEnd.Add(max(0, keep))
}

// missRisk returns the probability that the slot becomes free too late for the
// first token target. Wasted prefill can be weighed against goodput, a missed
// target of an admitted demand cannot.
func (c *Coordinator) missRisk(now time.Time, w *waiter, e *engineInfo, transfer time.Duration) float64 {
	target := w.demand.Targets.FirstToken.D()
	if target == 0 {
		return 0
	}
	step := c.predict.tokenInterval(e, e.slotsHeld)
	deadline := w.arrival.Add(target - safetyMargin(target) - transfer - step)
	return c.riskOfNoSlot(now, e, deadline.Sub(now))
}

// riskOfNoSlot returns the probability that fewer decodes end within a time
// than are needed for all pending slots and one more.
func (c *Coordinator) riskOfNoSlot(now time.Time, e *engineInfo, horizon time.Duration) float64 {
	need := 1 - e.freeSlots()
	if need < 1 || need > maxPendingSlots || horizon <= 0 {
		return 1
	}
	// exactly[k] is the probability that exactly k decodes end, for k < need.
	var exactly [maxPendingSlots]float64
	exactly[0] = 1
	for _, h := range e.held {
		if h.phase != PhaseDecode {
			continue
		}
		ends := c.endsWithin(now, h, horizon)
		for k := need - 1; k > 0; k-- {
			exactly[k] = exactly[k]*(1-ends) + exactly[k-1]*ends
		}
		exactly[0] *= 1 - ends
	}
	risk := 0.0
	for _, probability := range exactly[:need] {
		risk += probability
	}
	return risk
}

// endsWithin returns the probability that a decode ends within a time.
func (c *Coordinator) endsWithin(now time.Time, h *holding, horizon time.Duration) float64 {
	interval := c.predict.tokenInterval(h.decode, h.decode.slotsHeld)
	if interval <= 0 || h.outputTokens <= 0 {
		return 0
	}
	limit := float64(h.outputTokens)
	delivered := float64(h.delivered) + float64(now.Sub(h.deliveredAt))/float64(interval)
	delivered = min(delivered, limit)
	later := delivered + float64(horizon)/float64(interval)
	return c.predict.lengths(h.key).endsWithin(delivered/limit, later/limit)
}

package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// overlapPerEngine bounds the promised slots of one decode engine.
const overlapPerEngine = 2

// wasteShare returns the weight of wasted prefill between 0 and 1.
func wasteShare(w configuration.Weights) float64 {
	sum := w.Goodput + w.WastedPrefill
	if sum <= 0 {
		return 1
	}
	return w.WastedPrefill / sum
}

// overlapAllowed reports whether a prefill may start before its decode slot is
// free. A demand that weighs waste at least as much as goodput never does.
func overlapAllowed(w configuration.Weights) bool { return wasteShare(w) < 0.5 }

// chooseOverlap chooses a full decode engine on which a slot is predicted to be
// free when the prefill ends.
func (c *Coordinator) chooseOverlap(now time.Time, d *Demand, p *placement) bool {
	var best time.Duration
	for _, a := range c.pool.decode {
		if !c.overlapPossible(a, d) {
			continue
		}
		free, ok := c.slotFreeIn(now, a, wasteShare(d.Weights))
		if !ok || free > p.prefillEnd.Sub(now) {
			continue
		}
		if _, ok := c.transferTime(p, a, d.PromptTokens); !ok {
			continue
		}
		if p.decode == nil || free < best {
			p.decode, best = a, free
		}
	}
	if p.decode == nil {
		return false
	}
	t, _ := c.transferTime(p, p.decode, d.PromptTokens)
	p.transferEnd = p.prefillEnd.Add(t)
	p.promised = true
	return true
}

// overlapPossible reports whether an engine may promise one more slot. The
// between-token targets must hold even if no slot becomes free, because the
// promise says when a slot is free and not how many requests the engine runs.
func (c *Coordinator) overlapPossible(a *account, d *Demand) bool {
	if !a.usable() || a.promised >= overlapPerEngine || slices.Contains(d.Exclude, a.Name) {
		return false
	}
	strictest := stricter(a.strictest, d.Targets.BetweenTokens.D())
	occupancy := min(a.Slots, a.slotsHeld+a.promised+1)
	if occupancy > c.predict.occupancyLimit(a, strictest) {
		return false
	}
	need := a.piecesFor(d.PromptTokens + d.OutputTokens)
	return a.Pieces == 0 || need <= a.Pieces
}

// slotFreeIn returns the time until the engine has a slot beyond those already
// promised. The margin grows with the weight of wasted prefill.
func (c *Coordinator) slotFreeIn(now time.Time, a *account, waste float64) (time.Duration, bool) {
	short := -a.freeSlots()
	if short < 0 {
		return 0, false
	}
	var ends []time.Duration
	for _, h := range a.held {
		if h.phase == PhaseDecode && !h.promised {
			ends = append(ends, c.decodeLeft(now, h))
		}
	}
	if short >= len(ends) {
		return 0, false
	}
	slices.Sort(ends)
	left := ends[short]
	return left + overlapMargin + seconds(2*waste*left.Seconds()), true
}

// decodeLeft returns the predicted time to the end of a decode.
func (c *Coordinator) decodeLeft(now time.Time, h *holding) time.Duration {
	interval := c.predict.tokenInterval(h.decode, h.decode.slotsHeld)
	if interval <= 0 {
		return 0
	}
	delivered := float64(h.delivered) + float64(now.Sub(h.deliveredAt))/float64(interval)
	left := c.predict.expectedOutput(h.key, h.outputTokens) - delivered
	if left < 0 {
		left = max(0, float64(h.outputTokens)-delivered) / 2
	}
	return time.Duration(left * float64(interval))
}

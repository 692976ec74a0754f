package scheduling

import (
	"cmp"
	"slices"
	"time"
)

const (
	// memoryReserve is the fraction of an engine's memory that is not granted
	// with MemoryOverTime, so that answers that outgrow their estimates at the
	// same time do not preempt each other.
	memoryReserve = 0.04
	// overrunGrowthShare is the further growth that is expected of an answer
	// that has reached its estimated length, as a fraction of its current
	// length.
	overrunGrowthShare = 0.3
)

// growth is the memory use of an attempt on a decode engine and its expected
// increase.
type growth struct {
	// tokens are held now, left are still to be generated.
	tokens, left int
}

// growthOf estimates the growth of a held attempt. An engine generates tokens
// for all its requests at the same rate, so the tokens delivered since the last
// heartbeat are estimated from the elapsed time.
func (c *Coordinator) growthOf(now time.Time, h *holding) growth {
	got := h.delivered
	if h.phase == PhaseDecode && !h.deliveredAt.IsZero() {
		if interval := c.predict.tokenInterval(h.decode, h.decode.slotsHeld); interval > 0 {
			got += int(now.Sub(h.deliveredAt) / interval)
		}
	}
	left := max(h.outputTokens-got, int(overrunGrowthShare*float64(got)), 1)
	return growth{tokens: h.promptTokens + got, left: left}
}

// peakTokens returns the peak of the attempts' combined memory use in tokens.
// An attempt holds its memory until it ends, so the peak is reached just before
// one of them ends.
func peakTokens(all []growth) int {
	slices.SortFunc(all, func(x, y growth) int { return cmp.Compare(y.left, x.left) })
	peak, sum := 0, 0
	for i, g := range all {
		sum += g.tokens
		peak = max(peak, sum+(i+1)*g.left)
	}
	return peak
}

// memoryAllows reports whether a decode engine has enough memory for one more
// attempt.
func (c *Coordinator) memoryAllows(now time.Time, e *engineInfo, promptTokens, outputTokens int) bool {
	if !c.settings.Options.MemoryOverTime || e.Pieces == 0 {
		return e.memoryFits(e.piecesFor(promptTokens + outputTokens))
	}
	return c.peakOf(now, e, growth{promptTokens, outputTokens}) <= grantableTokens(e)
}

// peakOf returns the peak memory use in tokens of an engine's attempts together
// with further ones.
func (c *Coordinator) peakOf(now time.Time, e *engineInfo, further ...growth) int {
	all := further
	for _, h := range e.held {
		all = append(all, c.growthOf(now, h))
	}
	return peakTokens(all)
}

// grantableTokens returns the memory of an engine that grants may use, in
// tokens.
func grantableTokens(e *engineInfo) int {
	return int(float64(e.Pieces*e.PieceTokens) * (1 - memoryReserve))
}

// freeCapacity returns how many more attempts of typical size a decode engine
// can take now, bounded by its slots and by its memory.
func (c *Coordinator) freeCapacity(now time.Time, e *engineInfo) int {
	free := e.freeSlots()
	if !c.settings.Options.MemoryOverTime || e.Pieces == 0 || free <= 0 || len(e.held) == 0 {
		return free
	}
	peak := c.peakOf(now, e)
	typical := peak / len(e.held)
	if typical == 0 {
		return free
	}
	return min(free, max(0, grantableTokens(e)-peak)/typical)
}

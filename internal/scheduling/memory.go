package scheduling

import (
	"cmp"
	"slices"
	"time"
)

const (
	// declineMemory is how long an engine that declined an answer counts as holding a request
	// more than the ledger holds, for example one of a VM that was held up and renewed nothing.
	// With an eighth of the VMs held up for 3 s, 4 s more than halve the prompts that are
	// prefilled for no answer; 8 s hardly gain, and cost answers at 1.2 times capacity.
	declineMemory = 4 * time.Second
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
func (c *Coordinator) memoryAllows(now time.Time, e *engineInfo, d *Demand) bool {
	size := d.PromptTokens + d.OutputTokens
	if !c.settings.Options.MemoryOverTime || e.Pieces == 0 {
		return e.memoryFits(e.piecesFor(size))
	}
	unknown := 0
	if d.Strict {
		// What the ledger lacks is about as large as a demand.
		unknown = size * e.recentDeclines(now)
	}
	return unknown+c.peakWith(now, e, growth{d.PromptTokens, d.OutputTokens}) <= grantableTokens(e)
}

// recentDeclines returns how often the engine declined an answer within declineMemory.
func (e *engineInfo) recentDeclines(now time.Time) int {
	e.declines = slices.DeleteFunc(e.declines, func(at time.Time) bool { return now.Sub(at) > declineMemory })
	return len(e.declines)
}

// declined records that an engine took no answer that the ledger had room for.
func (c *Coordinator) declined(now time.Time, name string) {
	if e, ok := c.pool.byName[name]; ok {
		e.declines = append(e.declines, now)
	}
}

// growthCache holds what an engine's attempts will need, in the order in which peakTokens
// considers them. It is valid within one pass over the waiting demands, since nothing
// changes within it.
type growthCache struct {
	pass uint64
	all  []growth
}

// peakWith returns the peak memory use in tokens of an engine's attempts together with a
// further one.
func (c *Coordinator) peakWith(now time.Time, e *engineInfo, further growth) int {
	if c.pass == 0 {
		return c.peakOf(now, e, further)
	}
	if e.growths.pass != c.pass {
		e.growths.pass = c.pass
		e.growths.all = e.growths.all[:0]
		for _, h := range e.held {
			e.growths.all = append(e.growths.all, c.growthOf(now, h))
		}
		slices.SortFunc(e.growths.all, func(x, y growth) int { return cmp.Compare(y.left, x.left) })
	}
	peak, sum, n := 0, 0, 0
	add := func(g growth) {
		n++
		sum += g.tokens
		peak = max(peak, sum+n*g.left)
	}
	added := false
	for _, g := range e.growths.all {
		if !added && further.left >= g.left {
			add(further)
			added = true
		}
		add(g)
	}
	if !added {
		add(further)
	}
	return peak
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

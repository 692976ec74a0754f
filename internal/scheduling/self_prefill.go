package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// selfPrefillSlowdown is the factor by which a decode engine prefills a
	// prompt more slowly than a prefill engine, since it generates tokens for
	// other requests meanwhile.
	selfPrefillSlowdown = 2
	// selfPrefillDelay is how long a demand waits for a prefill engine before a
	// decode engine may prefill its prompt, which costs the pool more than a
	// short wait.
	selfPrefillDelay = 300 * time.Millisecond
	// selfPrefillLimit bounds the duration of a prefill on a decode engine that
	// generates tokens for other requests, which pause for about as long in
	// total.
	selfPrefillLimit = 200 * time.Millisecond
)

// placeSelfPrefill chooses a decode engine that prefills the prompt itself, if
// there is no usable prefill engine or if those are busy for too long.
func (c *Coordinator) placeSelfPrefill(now time.Time, w *waiter) (placement, bool) {
	if !c.settings.Options.SelfPrefill {
		return placement{}, false
	}
	d := &w.demand
	if anyUsable(c.pool.prefill, d.Exclude) && now.Sub(w.arrival) < selfPrefillDelay && !c.prefillCongested(now) {
		return placement{}, false
	}
	var best placement
	for _, e := range c.pool.decode {
		if len(e.running) > 0 || !c.slotFree(now, e, d) || !c.selfPrefillTolerable(e, d) {
			continue
		}
		if best.decode != nil && best.decode.slotsHeld <= e.slotsHeld {
			continue
		}
		work := c.selfPrefillTime(e, d.PromptTokens)
		end := now.Add(work)
		best = placement{prefill: e, decode: e, work: work, prefillEnd: end, transferEnd: end.Add(c.predict.prefillLatency())}
	}
	return best, best.decode != nil && c.inTime(w, &best)
}

// prefillCongested reports whether the prefill engines need longer than
// selfPrefillDelay for the prefills that wait for them already.
func (c *Coordinator) prefillCongested(now time.Time) bool {
	waiting := c.queue.sharedWork()
	return waiting > 0 && c.prefillWait(now, waiting) > selfPrefillDelay
}

// selfPrefillTolerable reports whether the prefill would pause the other
// requests of an engine for no longer than selfPrefillLimit.
func (c *Coordinator) selfPrefillTolerable(e *engineInfo, d *Demand) bool {
	return e.slotsHeld == 0 || c.selfPrefillTime(e, d.PromptTokens) <= selfPrefillLimit
}

func (c *Coordinator) selfPrefillTime(e *engineInfo, tokens int) time.Duration {
	return selfPrefillSlowdown * c.predict.prefill(e, tokens)
}

// canPrefill reports whether any engine could prefill the demand's prompt.
func (c *Coordinator) canPrefill(d *Demand) bool {
	if anyUsable(c.pool.prefill, d.Exclude) {
		return true
	}
	return c.settings.Options.SelfPrefill && c.anyServes(d)
}

// prefillPool returns the engines that prefill prompts: the decode engines if
// no prefill engine is usable and decode engines may do so, otherwise the
// prefill engines.
func (c *Coordinator) prefillPool() []*engineInfo {
	usable := func(e *engineInfo) bool { return e.usable() }
	if c.settings.Options.SelfPrefill && !slices.ContainsFunc(c.pool.prefill, usable) {
		return c.pool.decode
	}
	return c.pool.prefill
}

// prefillTimeOn returns the time to prefill uncached tokens on an engine of
// either role.
func (c *Coordinator) prefillTimeOn(e *engineInfo, uncached int) time.Duration {
	if e.Role == configuration.RoleDecode {
		return c.selfPrefillTime(e, uncached)
	}
	return c.predict.prefill(e, uncached)
}

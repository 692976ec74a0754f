package questionnaire

import (
	"math"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// validateFeasibility checks that at least one pair of configured engines can meet
// the targets of a class for its longest prompt and answer if the engines are
// otherwise idle.
func (v *validator) validateFeasibility(path string, c *Class, s *Service) {
	if !c.hasTokenLimits() || !s.Model.hasPerformance() || !s.hasBothRoles() {
		return
	}
	best, ok := v.shortestFirstToken(c, s)
	if !ok {
		v.Addf(path+".max_prompt_tokens", "no prefill and decode engine of service %q have memory for %d prompt and %d output tokens",
			s.Name, c.MaxPromptTokens, c.MaxOutputTokens)
		return
	}
	v.requireFeasible(path+".targets.first_token", c.Targets.FirstToken, best)
	v.requireFeasible(path+".targets.between_tokens", c.Targets.BetweenTokens, s.Model.TokenInterval.D())
	whole := best + c.timeAfterFirstToken(s.Model.TokenInterval)
	v.requireFeasible(path+".targets.whole_answer", c.Targets.WholeAnswer, whole)
}

// hasTokenLimits reports whether the class has the token limits that the
// prediction needs.
func (c *Class) hasTokenLimits() bool {
	return inTokenRange(c.MaxPromptTokens) && inTokenRange(c.MaxOutputTokens)
}

// hasPerformance reports whether the model has the performance values that the
// prediction needs.
func (m *Model) hasPerformance() bool {
	return m.PrefillTokensPerSecond > 0 && m.TokenInterval > 0 && m.KVBytesPerToken > 0
}

// hasBothRoles reports whether there are pools of both roles. A service without
// them has a separate finding.
func (s *Service) hasBothRoles() bool {
	has := func(role configuration.Role) bool {
		return slices.ContainsFunc(s.Engines, func(p Pool) bool { return p.Role == role })
	}
	return has(configuration.RolePrefill) && has(configuration.RoleDecode)
}

func (v *validator) requireFeasible(path string, target configuration.Duration, best time.Duration) {
	if target > 0 && best > target.D() {
		v.Addf(path, "no configured engine can meet %s: even idle ones take %s for the longest request",
			target.D(), best.Round(time.Millisecond))
	}
}

// shortestFirstToken returns the shortest time to the first token over all pairs
// of a prefill and a decode engine with enough memory, and false if there is no
// such pair.
func (v *validator) shortestFirstToken(c *Class, s *Service) (time.Duration, bool) {
	best, found := time.Duration(math.MaxInt64), false
	for i := range s.Engines {
		prefill := &s.Engines[i]
		if prefill.Role != configuration.RolePrefill || !prefill.fits(c.MaxPromptTokens) {
			continue
		}
		for j := range s.Engines {
			decode := &s.Engines[j]
			if decode.Role != configuration.RoleDecode || !decode.fits(c.MaxPromptTokens+c.MaxOutputTokens) {
				continue
			}
			best = min(best, v.predictFirstToken(c, s.Model, prefill, decode))
			found = true
		}
	}
	return best, found
}

// predictFirstToken predicts the time to the first token on an idle pair of
// engines: the prefill of the longest prompt without a cached prefix, the
// transfer of its KV cache and one decode step.
func (v *validator) predictFirstToken(c *Class, m *Model, prefill, decode *Pool) time.Duration {
	tokens := float64(c.MaxPromptTokens)
	rate := min(prefill.LinkBytesPerSecond, decode.LinkBytesPerSecond)
	delay := time.Duration(0)
	if prefill.Zone != decode.Zone {
		link := v.q.link(prefill.Zone, decode.Zone)
		rate = min(rate, link.BytesPerSecond)
		delay = link.OneWayDelay.D()
	}
	prefillTime := seconds(tokens / m.PrefillTokensPerSecond)
	transferTime := seconds(tokens * float64(m.KVBytesPerToken) / float64(rate))
	return prefillTime + transferTime + delay + m.TokenInterval.D()
}

// seconds converts seconds to a duration, capped so that sums of a few such
// durations do not overflow.
func seconds(s float64) time.Duration {
	const longest = float64(math.MaxInt64 / 4)
	return time.Duration(min(s*float64(time.Second), longest))
}

// fits reports whether a request with that many tokens fits into the memory of an
// engine of the pool.
func (p *Pool) fits(tokens int) bool {
	return p.size() > 0 && p.LinkBytesPerSecond > 0 && p.PieceTokens > 0 &&
		(tokens+p.PieceTokens-1)/p.PieceTokens <= p.MemoryPieces
}

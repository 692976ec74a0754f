package scheduling

import "time"

const (
	// fitDecay is the factor by which the weight of older samples shrinks with
	// each new one.
	fitDecay = 0.97
	// minFitWeight is the total weight of samples from which on the fit is
	// used.
	minFitWeight = 8
	// maxPrefillLatency bounds the fitted latency, so that a stalled engine
	// does not mask the capacity of the others.
	maxPrefillLatency = 500 * time.Millisecond
	// minRelativeVariance is the variance of prompt lengths, relative to the
	// square of their mean, below which latency and rate cannot be separated.
	minRelativeVariance = 0.01
)

// prefillFit splits the time of a prefill into a latency, during which the
// engine can prefill other prompts, and a time per token, during which it cannot.
// It is a least squares fit of times over lengths with decaying weights.
type prefillFit struct {
	weight, tokens, time, tokensSquared, tokensTime float64
}

// observe adds the time of a prefill that found its engine idle.
func (f *prefillFit) observe(tokens int, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	x, y := float64(tokens), elapsed.Seconds()
	f.weight = fitDecay*f.weight + 1
	f.tokens = fitDecay*f.tokens + x
	f.time = fitDecay*f.time + y
	f.tokensSquared = fitDecay*f.tokensSquared + x*x
	f.tokensTime = fitDecay*f.tokensTime + x*y
}

// latency returns the fitted latency, or a default while there are too few or
// too similar samples.
func (f *prefillFit) latency(fallback time.Duration) time.Duration {
	if f.weight < minFitWeight {
		return fallback
	}
	meanTokens, meanTime := f.tokens/f.weight, f.time/f.weight
	variance := f.tokensSquared/f.weight - meanTokens*meanTokens
	if variance < minRelativeVariance*meanTokens*meanTokens {
		return fallback
	}
	slope := (f.tokensTime/f.weight - meanTokens*meanTime) / variance
	return min(max(0, seconds(meanTime-slope*meanTokens)), maxPrefillLatency)
}

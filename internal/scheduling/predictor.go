package scheduling

import (
	"math"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// ewmaWeight is the weight of a new sample.
	ewmaWeight = 0.1
	// ratioFloor and ratioCeiling bound a correction, so that one outlier
	// neither rules an engine out nor makes it look as if it took no time.
	ratioFloor   = 0.25
	ratioCeiling = 8.0
)

// ewma is an exponentially weighted moving average of the ratio of observed to
// predicted durations. Its zero value stands for a ratio of 1.
type ewma struct {
	value float64
}

// ratio returns the correction factor.
func (e *ewma) ratio() float64 {
	if e.value == 0 {
		return 1
	}
	return e.value
}

// observe adds a sample of an observed and a predicted duration.
func (e *ewma) observe(observed, predicted time.Duration) {
	if observed <= 0 || predicted <= 0 {
		return
	}
	sample := float64(observed) / float64(predicted)
	sample = min(max(sample, ratioFloor), ratioCeiling)
	e.value = e.ratio() + ewmaWeight*(sample-e.ratio())
}

// predictor predicts durations from the model's figures and the engines'
// corrections.
type predictor struct {
	model   configuration.Model
	outputs map[classKey]*outputLengths
	// prefills separates the latency of prefills from their rate.
	prefills prefillFit
}

func newPredictor(model configuration.Model) *predictor {
	return &predictor{model: model, outputs: make(map[classKey]*outputLengths)}
}

// prefill returns the time to prefill uncached tokens on an engine.
func (p *predictor) prefill(e *engineInfo, uncached int) time.Duration {
	if p.model.PrefillTokensPerSecond <= 0 {
		return 0
	}
	s := float64(uncached) / p.model.PrefillTokensPerSecond * e.prefillRatio.ratio() * e.pace()
	return seconds(s)
}

// prefillLatency returns the part of a prefill's time in which its engine can
// prefill other prompts.
func (p *predictor) prefillLatency() time.Duration {
	if p.model.PrefillLatency <= 0 {
		return 0
	}
	return p.prefills.latency(p.model.PrefillLatency.D())
}

// firstEvent returns the time from the end of the transfer to the first event.
func (p *predictor) firstEvent(e *engineInfo, occupancy int) time.Duration {
	return p.firstEventSteps() * p.tokenInterval(e, occupancy)
}

// bestFirstEvent returns the time to the first event on an idle engine.
func (p *predictor) bestFirstEvent() time.Duration {
	return p.firstEventSteps() * p.model.TokenInterval.D()
}

// firstEventSteps returns the number of decode steps up to the first event.
func (p *predictor) firstEventSteps() time.Duration {
	return time.Duration(max(1, p.model.FirstEventTokens))
}

// transfer returns the time to move a prompt's KV cache over a link that is
// shared by a number of transfers.
func (p *predictor) transfer(rate int64, tokens, sharers int) time.Duration {
	if rate <= 0 || p.model.KVBytesPerToken <= 0 {
		return 0
	}
	bytes := float64(tokens) * float64(p.model.KVBytesPerToken)
	return seconds(bytes / float64(rate) * float64(max(1, sharers)))
}

// tokenInterval returns the time between tokens with a number of requests on
// the engine.
func (p *predictor) tokenInterval(e *engineInfo, occupancy int) time.Duration {
	return time.Duration(float64(p.modelInterval(occupancy)) * e.decodeRatio.ratio() * e.pace())
}

// modelInterval is tokenInterval without correction.
func (p *predictor) modelInterval(occupancy int) time.Duration {
	base := p.model.TokenInterval.D()
	per := p.model.TokenIntervalPerRequest.D()
	return base + time.Duration(max(0, occupancy-1))*per
}

// occupancyLimit returns how many requests an engine may hold for a
// between-token target; 0 target means no limit.
func (p *predictor) occupancyLimit(e *engineInfo, target time.Duration) int {
	per := float64(p.model.TokenIntervalPerRequest.D())
	if target <= 0 || per <= 0 && p.tokenInterval(e, 1) <= target {
		return math.MaxInt32
	}
	corrected := float64(target) / (e.decodeRatio.ratio() * e.pace())
	spare := corrected - float64(p.model.TokenInterval.D())
	if spare < 0 {
		return 0
	}
	return 1 + int(spare/per)
}

// lengths returns the distribution of a class's answer lengths.
func (p *predictor) lengths(key classKey) *outputLengths {
	o, ok := p.outputs[key]
	if !ok {
		o = newOutputLengths()
		p.outputs[key] = o
	}
	return o
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

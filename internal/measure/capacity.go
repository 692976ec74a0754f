package measure

import (
	"math"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Capacity is the rate of a load, in requests per second over all classes, that
// the engines of a configuration can serve within the between-token targets.
type Capacity struct {
	// Prefill and Decode are the capacities of the two pools.
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
}

// Rate returns the capacity of the smaller pool.
func (c Capacity) Rate() float64 { return min(c.Prefill, c.Decode) }

// CapacityOf computes the capacity for a load. outputs is the range of answer
// lengths in tokens, which the classes may limit further. Cached prefixes and KV
// cache transfers are not taken into account. The error is UnknownClass or
// NoCapacity.
func CapacityOf(bundle *configuration.Bundle, load *Load, outputs engine.Range) (Capacity, error) {
	classes, err := offeredClasses(bundle, load)
	if err != nil {
		return Capacity{}, err
	}
	capacity := Capacity{Prefill: math.Inf(1), Decode: math.Inf(1)}
	for i := range bundle.Fleet.Models {
		model := &bundle.Fleet.Models[i]
		demand := demandOn(model, classes, outputs)
		if demand.share == 0 {
			continue
		}
		capacity.Prefill = min(capacity.Prefill, prefillRate(&bundle.Fleet, model)/demand.promptTokens)
		capacity.Decode = min(capacity.Decode, decodeRate(&bundle.Fleet, model, demand.betweenTokens)/demand.outputTokens)
	}
	if rate := capacity.Rate(); rate <= 0 || math.IsInf(rate, 1) {
		return Capacity{}, NoCapacity.New("the load needs a model-backed class that has engines")
	}
	return capacity, nil
}

// demand is the mean demand of a request of a load on a model.
type demand struct {
	// share is the share of requests that use the model.
	share float64
	// promptTokens and outputTokens are means over all requests of the load.
	promptTokens, outputTokens float64
	// betweenTokens is the strictest between-token target, in seconds; 0 for none.
	betweenTokens float64
}

func demandOn(model *configuration.Model, classes []offeredClass, outputs engine.Range) demand {
	var d demand
	for i := range classes {
		c := &classes[i]
		if c.class.Model != model.Name {
			continue
		}
		d.share += c.weight
		d.promptTokens += c.weight * float64(c.PromptTokens.Min+c.PromptTokens.Max) / 2
		d.outputTokens += c.weight * meanOutput(outputs, c.class.MaxOutputTokens)
		target := c.class.Targets.BetweenTokens.D().Seconds()
		if target > 0 && (d.betweenTokens == 0 || target < d.betweenTokens) {
			d.betweenTokens = target
		}
	}
	return d
}

// meanOutput returns the mean answer length in tokens of a class that limits it to
// limit; 0 means no limit.
func meanOutput(outputs engine.Range, limit int) float64 {
	sum := 0
	for n := outputs.Min; n <= outputs.Max; n++ {
		if limit > 0 {
			sum += min(n, limit)
		} else {
			sum += n
		}
	}
	return float64(sum) / float64(outputs.Max-outputs.Min+1)
}

// prefillRate returns the tokens per second of all prefill engines of a model.
func prefillRate(fleet *configuration.Fleet, model *configuration.Model) float64 {
	rate := 0.0
	for i := range fleet.Endpoints {
		if isEngine(&fleet.Endpoints[i], model, configuration.RolePrefill) {
			rate += model.PrefillTokensPerSecond
		}
	}
	return rate
}

// decodeRate returns the tokens per second of all decode engines of a model
// with as many requests each as the between-token target allows.
func decodeRate(fleet *configuration.Fleet, model *configuration.Model, target float64) float64 {
	rate := 0.0
	for i := range fleet.Endpoints {
		e := &fleet.Endpoints[i]
		if !isEngine(e, model, configuration.RoleDecode) {
			continue
		}
		slots := usableSlots(e.Slots, model, target)
		rate += float64(slots) / stepSeconds(model, slots)
	}
	return rate
}

// usableSlots returns how many requests an engine with the given slots can decode
// at the same time within a between-token target in seconds; 0 means no target.
func usableSlots(slots int, model *configuration.Model, target float64) int {
	for slots > 1 && target > 0 && stepSeconds(model, slots) > target {
		slots--
	}
	return slots
}

// stepSeconds returns the time between tokens of an engine that decodes the given
// number of requests at the same time.
func stepSeconds(model *configuration.Model, requests int) float64 {
	further := float64(max(requests-1, 0))
	return model.TokenInterval.D().Seconds() + further*model.TokenIntervalPerRequest.D().Seconds()
}

func isEngine(e *configuration.Endpoint, model *configuration.Model, role configuration.Role) bool {
	return e.Kind == configuration.KindEngine && e.Model == model.Name && e.Role == role
}

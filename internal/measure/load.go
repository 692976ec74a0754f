package measure

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Load describes the requests of one point of a measurement.
type Load struct {
	// Classes are the request classes with their shares of the load.
	Classes []ClassLoad `json:"classes"`
	// Bursts are periods with a raised rate.
	Bursts []Burst `json:"bursts"`
	// GoneShare is the share, 0 to 1, of requests whose caller disconnects at a
	// random time, at most GoneWithin after sending.
	GoneShare  float64                `json:"gone_share"`
	GoneWithin configuration.Duration `json:"gone_within" default:"2s"`
	// RepeatShare is the share, 0 to 1, of requests with an idempotency key that
	// are followed by a repeat, which is sent with the same key to another VM at
	// a random time, at most RepeatWithin after the original.
	RepeatShare  float64                `json:"repeat_share"`
	RepeatWithin configuration.Duration `json:"repeat_within" default:"1s"`
}

// ClassLoad is the load of one class of request.
type ClassLoad struct {
	// Team and Class name a class of the configuration.
	Team  string `json:"team"`
	Class string `json:"class"`
	// Weight is the share of requests, relative to the weights of the other
	// classes.
	Weight float64 `json:"weight"`
	// PromptTokens is the range of prompt lengths in tokens of a model-backed class.
	PromptTokens engine.Range `json:"prompt_tokens"`
	// SharedTokens is the length in tokens of the prefix that all prompts of the
	// class share.
	SharedTokens int `json:"shared_tokens"`
	// Keyed gives every request an idempotency key even if the class does not
	// require one.
	Keyed bool `json:"keyed"`
}

// Burst multiplies the rate by Factor from Start for Duration.
type Burst struct {
	Start    configuration.Duration `json:"start"`
	Duration configuration.Duration `json:"duration"`
	Factor   float64                `json:"factor"`
}

// offeredClass is a request class of the load with its configuration.
type offeredClass struct {
	ClassLoad
	team  *configuration.Team
	class *configuration.Class
	// weight is the class's share of all requests, 0 to 1.
	weight float64
}

// offeredClasses looks up the classes of a load in the configuration. The error
// is UnknownClass.
func offeredClasses(bundle *configuration.Bundle, load *Load) ([]offeredClass, error) {
	sum := 0.0
	for i := range load.Classes {
		sum += load.Classes[i].Weight
	}
	var all []offeredClass
	for _, c := range load.Classes {
		team, class := findClass(bundle, c.Team, c.Class)
		if class == nil {
			return nil, UnknownClass.New("team %q has no class %q", c.Team, c.Class)
		}
		all = append(all, offeredClass{ClassLoad: c, team: team, class: class, weight: c.Weight / sum})
	}
	return all, nil
}

func findClass(bundle *configuration.Bundle, team, class string) (*configuration.Team, *configuration.Class) {
	for i := range bundle.Teams {
		t := &bundle.Teams[i]
		if t.Name != team {
			continue
		}
		for j := range t.Classes {
			if t.Classes[j].Name == class {
				return t, &t.Classes[j]
			}
		}
	}
	return nil, nil
}

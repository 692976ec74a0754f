package measure

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Load describes the requests of one point of a measurement.
type Load struct {
	// Classes are the shares of the load by class of request.
	Classes []ClassLoad `json:"classes"`
	// Bursts raise the rate for a time.
	Bursts []Burst `json:"bursts"`
	// GoneShare is the share, 0 to 1, of requests whose caller goes away at a
	// random time up to GoneWithin after the sending.
	GoneShare  float64                `json:"gone_share"`
	GoneWithin configuration.Duration `json:"gone_within" default:"2s"`
	// RepeatShare is the share, 0 to 1, of requests with an idempotency key that
	// are sent again with the same key, to another VM and at a random time up to
	// RepeatWithin after the first.
	RepeatShare  float64                `json:"repeat_share"`
	RepeatWithin configuration.Duration `json:"repeat_within" default:"1s"`
}

// ClassLoad is the load of one class of request.
type ClassLoad struct {
	// Team and Class name a class of the configuration.
	Team  string `json:"team"`
	Class string `json:"class"`
	// Weight is the share of requests relative to the other classes.
	Weight float64 `json:"weight"`
	// PromptTokens is the range of prompt lengths of a model-backed class.
	PromptTokens engine.Range `json:"prompt_tokens"`
	// SharedTokens is the length of the prefix that all prompts share.
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

// offeredClass is a class of the load with its configuration.
type offeredClass struct {
	ClassLoad
	team  *configuration.Team
	class *configuration.Class
	// weight is the share of all requests, 0 to 1.
	weight float64
}

// offeredClasses finds the classes of a load. The error is UnknownClass.
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

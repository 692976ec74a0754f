package configuration

import (
	"regexp"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

// team checks a team document on its own.
func (c *checker) team(path string, t *Team) {
	c.name(path+".name", t.Name, namePaths{})
	c.keyDigests(path+".key_digests", t.KeyDigests)
	c.weights(path+".weights", t.Weights)
	notNegative(c, path+".share", t.Share)
	seen := namePaths{}
	for i := range t.Classes {
		c.class(index(path+".classes", i), &t.Classes[i], seen)
	}
	c.sharedRoutes(path+".classes", t.Classes)
}

func (c *checker) keyDigests(path string, digests []string) {
	seen := namePaths{}
	if len(digests) == 0 {
		c.Addf(path, "at least one key is needed")
	}
	for i, text := range digests {
		if _, ok := team.ParseDigest(text); !ok {
			c.Addf(index(path, i), "is no SHA-256 digest in hexadecimal")
			continue
		}
		c.unique(index(path, i), strings.ToLower(text), seen)
	}
}

func (c *checker) weights(path string, weights Weights) {
	notNegative(c, path+".goodput", weights.Goodput)
	notNegative(c, path+".wasted_prefill", weights.WastedPrefill)
	if weights.Goodput == 0 && weights.WastedPrefill == 0 {
		c.Addf(path, "goodput and wasted_prefill must not both be 0")
	}
}

func (c *checker) class(path string, class *Class, seen namePaths) {
	c.name(path+".name", class.Name, seen)
	c.backend(path, class)
	c.route(path, class)
	c.repeat(path, class)
	c.targets(path+".targets", class)
	oneOf(c, path+".order", class.Order, OrderFirstCome, OrderAny)
	notNegative(c, path+".max_output_tokens", class.MaxOutputTokens)
	notNegative(c, path+".max_prompt_tokens", class.MaxPromptTokens)
	notNegative(c, path+".queue_limit", class.QueueLimit)
}

func (c *checker) backend(path string, class *Class) {
	switch {
	case class.Model == "" && class.Service == "":
		c.Addf(path, "either model or service is needed")
	case class.Model != "" && class.Service != "":
		c.Addf(path, "model and service exclude each other")
	}
}

func (c *checker) route(path string, class *Class) {
	if !methodPattern.MatchString(class.Method) {
		c.Addf(path+".method", "%q is no HTTP method in capital letters", class.Method)
	}
	if !strings.HasPrefix(class.Path, "/") {
		c.Addf(path+".path", "%q does not start with '/'", class.Path)
	}
	if strings.Contains(strings.TrimSuffix(class.Path, wildcardSuffix), "*") {
		c.Addf(path+".path", "%q has a '*' elsewhere than in a final \"/*\"", class.Path)
	}
}

func (c *checker) repeat(path string, class *Class) {
	oneOf(c, path+".repeat", class.Repeat, Repeatable, NeverRepeat)
	oneOf(c, path+".key", class.Key, KeyRequired, KeyOptional, KeyNone)
	if class.Repeat == NeverRepeat && class.Key != KeyRequired {
		c.Addf(path+".key", "is %q, must be %q for a class that is never repeated", class.Key, KeyRequired)
	}
}

func (c *checker) targets(path string, class *Class) {
	targets := class.Targets
	notNegative(c, path+".first_token", targets.FirstToken)
	notNegative(c, path+".between_tokens", targets.BetweenTokens)
	notNegative(c, path+".whole_answer", targets.WholeAnswer)
	if targets.BetweenTokens > 0 && !class.ModelBacked() {
		c.Addf(path+".between_tokens", "a class without a model has no tokens")
	}
	if targets.WholeAnswer <= 0 {
		return
	}
	if targets.FirstToken > targets.WholeAnswer {
		c.Addf(path+".whole_answer", "is %s, shorter than first_token of %s", targets.WholeAnswer, targets.FirstToken)
	}
	if targets.BetweenTokens > targets.WholeAnswer {
		c.Addf(path+".whole_answer", "is %s, shorter than between_tokens of %s", targets.WholeAnswer, targets.BetweenTokens)
	}
}

// routeKey identifies classes that match the same requests if the requests name no
// class.
type routeKey struct {
	route
	model string
}

// sharedRoutes checks that classes which are distinguished only by the optional
// class name have the same repeat and key rules.
func (c *checker) sharedRoutes(path string, classes []Class) {
	first := map[routeKey]int{}
	for i := range classes {
		class := &classes[i]
		key := routeKey{route{class.Method, class.Path}, class.Model}
		j, ok := first[key]
		if !ok {
			first[key] = i
			continue
		}
		if class.Repeat != classes[j].Repeat || class.Key != classes[j].Key {
			c.Addf(index(path, i), "has the route of %s, so repeat and key must be the same", index(path, j))
		}
	}
}

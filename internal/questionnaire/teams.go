package questionnaire

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

var (
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

func (v *validator) validateTeams() {
	v.notEmpty("teams", len(v.q.Teams), "team")
	names := map[string]string{}
	for i := range v.q.Teams {
		team := &v.q.Teams[i]
		path := element("teams", i)
		v.name(path+".name", team.Name)
		v.unique(names, path+".name", team.Name)
		v.validateKeys(path+".key_digests", team.KeyDigests)
		positive(v, path+".share", team.Share)
		v.validateWeights(path+".weights", team.Weights)
		v.validateClasses(path+".classes", team.Classes)
	}
}

func (v *validator) validateKeys(path string, digests []string) {
	v.notEmpty(path, len(digests), "digest of a bearer key")
	for i, digest := range digests {
		if !digestPattern.MatchString(digest) {
			v.Addf(element(path, i), "a digest is 64 hexadecimal digits in lower case")
			continue
		}
		v.unique(v.digests, element(path, i), digest)
	}
}

func (v *validator) validateWeights(path string, w *Weights) {
	notNegative(v, path+".goodput", w.Goodput)
	notNegative(v, path+".wasted_prefill", w.WastedPrefill)
	if w.Goodput == 0 && w.WastedPrefill == 0 {
		v.Addf(path, "at least one weight must be above 0")
	}
}

// route is what distinguishes the classes of a team in a request that does not
// name its class: the method, the path and, for a model-backed class, the service.
// The service is empty for plain classes, because a request names its model but
// not a plain service.
type route struct{ method, path, service string }

// routeClass is the first class with a route and its path in the questionnaire.
type routeClass struct {
	class *Class
	path  string
}

func (v *validator) validateClasses(path string, classes []Class) {
	v.notEmpty(path, len(classes), "class")
	names := map[string]string{}
	routes := map[route]routeClass{}
	for i := range classes {
		class := &classes[i]
		classPath := element(path, i)
		v.name(classPath+".name", class.Name)
		v.unique(names, classPath+".name", class.Name)
		v.validateClass(classPath, class, routes)
	}
}

func (v *validator) validateClass(path string, c *Class, routes map[route]routeClass) {
	v.validateRepeat(path, c)
	oneOf(v, path+".order", c.Order, configuration.OrderFirstCome, configuration.OrderAny)
	positive(v, path+".queue_limit", c.QueueLimit)
	if !methodPattern.MatchString(c.Method) {
		v.Addf(path+".method", "%q is no HTTP method", c.Method)
	}
	service := v.q.service(c.Service)
	switch {
	case c.Service == "":
		v.Addf(path+".service", "required")
	case service == nil:
		v.Addf(path+".service", "no service is named %q", c.Service)
	case service.Model != nil:
		v.validateModelClass(path, c, service)
		v.validateRoute(path, c, route{c.Method, c.Path, c.Service}, routes)
	default:
		v.validatePlainClass(path, c)
		v.validateRoute(path, c, route{c.Method, c.Path, ""}, routes)
	}
}

func (v *validator) validateRepeat(path string, c *Class) {
	if c.Repeat == "" {
		v.Addf(path+".repeat", "say whether a %s may run more than once: %q or %q",
			c.Method, configuration.Repeatable, configuration.NeverRepeat)
		return
	}
	oneOf(v, path+".repeat", c.Repeat, configuration.Repeatable, configuration.NeverRepeat)
	if c.Key == "" && c.Repeat == configuration.NeverRepeat {
		v.Addf(path+".key", "required: a class that may never be repeated needs the key rule %q, "+
			"because only a key tells a caller's repeat from a new request", configuration.KeyRequired)
		return
	}
	if c.Repeat == configuration.NeverRepeat && c.Key != configuration.KeyRequired {
		v.Addf(path+".key", "must be %q for a class that may never be repeated", configuration.KeyRequired)
		return
	}
	oneOf(v, path+".key", c.Key, configuration.KeyRequired, configuration.KeyOptional, configuration.KeyNone)
}

// validateRoute checks that classes with the same route, which a request can
// distinguish only by naming the class, have the same rules for repeat and key.
func (v *validator) validateRoute(path string, c *Class, r route, routes map[route]routeClass) {
	first, ok := routes[r]
	if !ok {
		routes[r] = routeClass{c, path}
		return
	}
	if c.Repeat != first.class.Repeat || c.Key != first.class.Key {
		v.Addf(path+".path", "%s %s is that of %s, so repeat and key must be the same", r.method, r.path, first.path)
	}
}

func (v *validator) validatePlainClass(path string, c *Class) {
	v.validatePlainPath(path+".path", c.Path)
	if c.MaxPromptTokens != 0 || c.MaxOutputTokens != 0 {
		v.Addf(path, "max_prompt_tokens and max_output_tokens are for model-backed classes only")
	}
	v.validatePlainTargets(path+".targets", c)
}

func (v *validator) validatePlainPath(path, text string) {
	prefix := strings.TrimSuffix(text, "/*")
	switch {
	case text == "":
		v.Addf(path, "required for a plain class")
	case !strings.HasPrefix(text, "/"):
		v.Addf(path, "%q does not start with \"/\"", text)
	case strings.ContainsAny(prefix, "*{}?# "):
		v.Addf(path, "%q is no path; \"/*\" may only stand at its end", text)
	case text == completionsPath || text == chatCompletionsPath:
		v.Addf(path, "%s is for model-backed classes", text)
	}
}

func (v *validator) validateModelClass(path string, c *Class, s *Service) {
	oneOf(v, path+".method", c.Method, http.MethodPost)
	oneOf(v, path+".path", c.Path, completionsPath, chatCompletionsPath)
	v.validateTokens(path+".max_prompt_tokens", c.MaxPromptTokens)
	v.validateTokens(path+".max_output_tokens", c.MaxOutputTokens)
	if c.Repeat == configuration.NeverRepeat {
		v.Addf(path+".repeat", "a model-backed class must be %q, because a failed prefill or decode is run again on another engine",
			configuration.Repeatable)
	}
	v.validateModelTargets(path+".targets", c)
	v.validateFeasibility(path, c, s)
}

// maxTokens is the upper bound of the token limits of a class, for the prompt and
// for the answer.
const maxTokens = 100_000_000

func inTokenRange(tokens int) bool { return tokens > 0 && tokens <= maxTokens }

func (v *validator) validateTokens(path string, tokens int) {
	if !inTokenRange(tokens) {
		v.Addf(path, "must be from 1 to %d, is %d", maxTokens, tokens)
	}
}

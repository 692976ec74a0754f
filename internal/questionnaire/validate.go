package questionnaire

import (
	"cmp"
	"regexp"
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/jsonc"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// validator checks a questionnaire after defaults have been applied.
type validator struct {
	*finding.Report
	q       *Questionnaire
	options options
	// zones are the names of the availability zones.
	zones map[string]bool
	// nodeNames maps the names of entry VMs and endpoints to their first path,
	// addresses does the same for addresses.
	nodeNames, addresses map[string]string
	// digests maps key digests to their first path.
	digests map[string]string
}

func (q *Questionnaire) validate(report *finding.Report, o options) {
	v := &validator{
		Report:    report,
		q:         q,
		options:   o,
		zones:     map[string]bool{},
		nodeNames: map[string]string{},
		addresses: map[string]string{},
		digests:   map[string]string{},
	}
	if q.Format != Format {
		v.Addf("format", "must be %d, is %d", Format, q.Format)
	}
	v.validateZones()
	v.validateServices()
	v.validateTimes()
	v.validateTeams()
}

func (v *validator) name(path, name string) {
	switch {
	case name == "":
		v.Addf(path, "required")
	case !namePattern.MatchString(name):
		v.Addf(path, "%q is no name: use lower-case letters, digits and \"-\", at most 63 characters", name)
	}
}

// unique adds a finding if the value is already in seen, and otherwise records its
// path there. An empty value is ignored.
func (v *validator) unique(seen map[string]string, path, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		v.Addf(path, "%q is already used at %s", value, first)
		return
	}
	seen[value] = path
}

// notEmpty adds a finding if a list has no elements.
func (v *validator) notEmpty(path string, length int, what string) {
	if length == 0 {
		v.Addf(path, "give at least one %s", what)
	}
}

func positive[T cmp.Ordered](v *validator, path string, value T) {
	var zero T
	if value <= zero {
		v.Addf(path, "must be above 0, is %v", value)
	}
}

func notNegative[T cmp.Ordered](v *validator, path string, value T) {
	var zero T
	if value < zero {
		v.Addf(path, "must not be negative, is %v", value)
	}
}

func oneOf[T ~string](v *validator, path string, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		v.Addf(path, "%q is not allowed; allowed are %q", value, allowed)
	}
}

func positiveDuration(v *validator, path string, d configuration.Duration) {
	positive(v, path, d.D())
}

func (v *validator) validateTimes() {
	t := v.q.Times
	positiveDuration(v, "times.balancer_lag", t.BalancerLag)
	positiveDuration(v, "times.drain_limit", t.DrainLimit)
	positiveDuration(v, "times.log_retention", t.LogRetention)
	positiveDuration(v, "times.key_window", t.KeyWindow)
	positiveDuration(v, "times.clock_skew", t.ClockSkew)
	if half := t.LogRetention.D() / 2; t.KeyWindow.D() > half {
		v.Addf("times.key_window", "%s exceeds half of log_retention, which is %s", t.KeyWindow.D(), half)
	}
	if t.ClockSkew >= t.KeyWindow {
		v.Addf("times.clock_skew", "%s is not below key_window, which is %s", t.ClockSkew.D(), t.KeyWindow.D())
	}
}

// element returns the path of an array element.
func element(path string, index int) string { return jsonc.Element(path, index) }

package configuration

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// namePattern matches names that become part of ids, in which dots and slashes
// are separators.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// modelNamePattern matches names of models, their versions and adapters, and
// builds, which often contain dots.
var modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// checker collects findings about values at JSON paths.
type checker struct {
	finding.Report
}

// namePaths maps each name of one kind to the path of its first use.
type namePaths map[string]string

// name checks the syntax of a name and that it is not in use yet.
func (c *checker) name(path, value string, seen namePaths) {
	if !namePattern.MatchString(value) {
		c.Addf(path, "%q is no name: letters, digits, '-' and '_' are allowed, at most 63 characters", value)
		return
	}
	c.unique(path, value, seen)
}

// modelName checks the syntax of the name of a model, version, adapter or build.
func (c *checker) modelName(path, value string) {
	if !modelNamePattern.MatchString(value) {
		c.Addf(path, "%q is no name: letters, digits, '.', ':', '-' and '_' are allowed, at most 128 characters", value)
	}
}

// unique checks that a value is used only once.
func (c *checker) unique(path, value string, seen namePaths) {
	if first, ok := seen[value]; ok {
		c.Addf(path, "%q is already used by %s", value, first)
		return
	}
	seen[value] = path
}

// known checks that a referenced value is defined.
func (c *checker) known(path, kind, value string, seen namePaths) {
	if _, ok := seen[value]; !ok {
		c.Addf(path, "unknown %s %q", kind, value)
	}
}

func (c *checker) address(path, value string, seen namePaths) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.Addf(path, "%q is no address: an IP number and port such as 10.0.0.1:9100 is needed", value)
		return
	}
	c.unique(path, value, seen)
}

// number is the constraint of the numeric types that are compared with 0.
type number interface {
	~int | ~int64 | ~float64
}

func positive[N number](c *checker, path string, value N) {
	if value > 0 {
		return
	}
	c.Addf(path, "is %v, must be above 0", value)
}

func notNegative[N number](c *checker, path string, value N) {
	if value >= 0 {
		return
	}
	c.Addf(path, "is %v, must not be negative", value)
}

// oneOf checks that a value is among the allowed ones.
func oneOf[T ~string](c *checker, path string, value T, allowed ...T) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.Addf(path, "is %q, must be one of %q", value, allowed)
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// String implements fmt.Stringer.
func (d Duration) String() string { return d.D().String() }

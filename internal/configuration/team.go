package configuration

import (
	"cmp"
	"slices"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

const wildcardSuffix = "/*"

// route selects requests by method and path.
type route struct {
	method, path string
}

// prefixRoute is a route whose path ends in "/*".
type prefixRoute struct {
	method string
	// prefix is the path without the "*", so it ends in "/".
	prefix  string
	classes []*Class
}

// CompiledTeam is a team with its lookup tables. It is immutable and shared by all
// snapshots between two changes of the team.
type CompiledTeam struct {
	// Team is the document; callers must not change it.
	Team    *Team
	digests []team.Digest
	exact   map[route][]*Class
	// prefixes are sorted by descending length, so that the longest match is first.
	prefixes []prefixRoute
}

// Name returns the team's name.
func (t *CompiledTeam) Name() string { return t.Team.Name }

// Match returns the class of a request. A model-backed class matches only its
// own model and takes precedence over a plain class, which matches any model. An
// exact path takes precedence over a path that ends in "/*", and a longer path
// over a shorter one. A non-empty className restricts the choice to the class of
// that name.
func (t *CompiledTeam) Match(method, path, model, className string) (*Class, bool) {
	if class, ok := choose(t.exact[route{method, path}], model, className); ok {
		return class, true
	}
	for i := range t.prefixes {
		p := &t.prefixes[i]
		if p.method != method || !strings.HasPrefix(path, p.prefix) {
			continue
		}
		if class, ok := choose(p.classes, model, className); ok {
			return class, true
		}
	}
	return nil, false
}

// choose returns the first matching class; classes are sorted model-backed first.
func choose(classes []*Class, model, className string) (*Class, bool) {
	for _, class := range classes {
		if className != "" && class.Name != className {
			continue
		}
		if class.ModelBacked() && class.Model != model {
			continue
		}
		return class, true
	}
	return nil, false
}

func compileTeam(document *Team) *CompiledTeam {
	compiled := &CompiledTeam{Team: document, exact: make(map[route][]*Class, len(document.Classes))}
	for _, text := range document.KeyDigests {
		if digest, ok := team.ParseDigest(text); ok {
			compiled.digests = append(compiled.digests, digest)
		}
	}
	for i := range document.Classes {
		compiled.addClass(&document.Classes[i])
	}
	compiled.sort()
	return compiled
}

func (t *CompiledTeam) addClass(class *Class) {
	if !strings.HasSuffix(class.Path, wildcardSuffix) {
		key := route{class.Method, class.Path}
		t.exact[key] = append(t.exact[key], class)
		return
	}
	prefix := strings.TrimSuffix(class.Path, "*")
	for i := range t.prefixes {
		p := &t.prefixes[i]
		if p.method == class.Method && p.prefix == prefix {
			p.classes = append(p.classes, class)
			return
		}
	}
	t.prefixes = append(t.prefixes, prefixRoute{class.Method, prefix, []*Class{class}})
}

func (t *CompiledTeam) sort() {
	slices.SortStableFunc(t.prefixes, func(a, b prefixRoute) int {
		return cmp.Compare(len(b.prefix), len(a.prefix))
	})
	for _, classes := range t.exact {
		sortModelBackedFirst(classes)
	}
	for _, p := range t.prefixes {
		sortModelBackedFirst(p.classes)
	}
}

func sortModelBackedFirst(classes []*Class) {
	slices.SortStableFunc(classes, func(a, b *Class) int {
		switch {
		case a.ModelBacked() == b.ModelBacked():
			return 0
		case a.ModelBacked():
			return -1
		default:
			return 1
		}
	})
}

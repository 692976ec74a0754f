package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// minEnginesOfBuild is the number of engines from which on a build must have a decode
// engine, since only decode engines of a build can continue the answers that it began.
const minEnginesOfBuild = 2

// build identifies the engines of one model that run the same software, in all zones.
type build struct {
	model, name string
}

func buildOf(e *configuration.Endpoint) build { return build{e.Model, e.Build} }

// buildCount is the number of a build's engines and of those that run decode.
type buildCount struct {
	engines, decode int
}

// builds are the counts of all builds. Engines whose build is not known count as one
// build that needs no decode engine.
type builds map[build]*buildCount

// countBuilds counts the engines under the roles that pending orders give them.
func (p *planner) countBuilds(now time.Time, engines []*configuration.Endpoint) builds {
	counts := make(builds)
	for _, e := range engines {
		count, ok := counts[buildOf(e)]
		if !ok {
			count = &buildCount{}
			counts[buildOf(e)] = count
		}
		count.engines++
		if p.roleOf(now, e) == configuration.RoleDecode {
			count.decode++
		}
	}
	return counts
}

// needsDecode reports whether a build must have a decode engine.
func (b builds) needsDecode(key build) bool {
	return key.name != "" && b[key].engines >= minEnginesOfBuild
}

// isLastDecode reports whether a decode engine is the last one of a build that must
// have one.
func (b builds) isLastDecode(e *configuration.Endpoint) bool {
	return b.needsDecode(buildOf(e)) && b[buildOf(e)].decode <= 1
}

// apply counts a change that is to be ordered.
func (b builds) apply(change Change) {
	if change.To == configuration.RoleDecode {
		b[buildOf(change.Engine)].decode++
	} else {
		b[buildOf(change.Engine)].decode--
	}
}

// choose returns the engine that is to change to a role, of those that have the other
// one: to prefill one of the build with the most decode engines, to decode one of the
// build with the fewest. It returns nil if none may change.
func (b builds) choose(engines []*configuration.Endpoint, to configuration.Role) *configuration.Endpoint {
	candidates := engines
	sign := 1
	if to == configuration.RolePrefill {
		candidates = slices.DeleteFunc(slices.Clone(engines), b.isLastDecode)
		sign = -1
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(x, y *configuration.Endpoint) int {
		return cmp.Or(sign*cmp.Compare(b[buildOf(x)].decode, b[buildOf(y)].decode), cmp.Compare(x.Name, y.Name))
	})
}

// trackBuilds records since when builds have had no decode engine although they must.
func (p *planner) trackBuilds(now time.Time, counts builds) {
	for key := range p.noDecodeSince {
		if _, listed := counts[key]; !listed {
			delete(p.noDecodeSince, key)
		}
	}
	for key, count := range counts {
		if !counts.needsDecode(key) || count.decode > 0 {
			delete(p.noDecodeSince, key)
		} else if p.noDecodeSince[key].IsZero() {
			p.noDecodeSince[key] = now
		}
	}
}

// engineForBuild returns a prefill engine that has to change to decode because its
// build has had no decode engine for some time, nil if there is none.
func (p *planner) engineForBuild(now time.Time, counts builds, prefill []*configuration.Endpoint) *configuration.Endpoint {
	due := func(e *configuration.Endpoint) bool {
		since, tracked := p.noDecodeSince[buildOf(e)]
		return tracked && counts[buildOf(e)].decode == 0 && now.Sub(since) >= largeImbalanceDelay
	}
	return counts.choose(slices.DeleteFunc(slices.Clone(prefill), func(e *configuration.Endpoint) bool { return !due(e) }), configuration.RoleDecode)
}

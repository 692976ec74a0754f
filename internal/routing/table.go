package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

// Table is one version of the configuration. It is immutable.
type Table struct {
	// Version increases with each change.
	Version uint64
	Limits  Limits
	// Teams are the teams whose keys requests must carry, nil if none need one. It is set
	// before the table is used.
	Teams    *team.Directory
	byPrefix map[string]*Route
	services map[string]*Service
}

// NewTable returns a table of routes and services.
func NewTable(version uint64, limits Limits, routes []Route, services []Service) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		byPrefix: make(map[string]*Route, len(routes)),
		services: make(map[string]*Service, len(services)),
	}
	for i := range routes {
		route := &routes[i]
		t.byPrefix[strings.ToLower(route.Host)+route.Prefix] = route
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	return t
}

// formerRetention is how long the former services of a route are kept after a change.
const formerRetention = 10 * time.Minute

// Follow sets since when the routes of a table that is not yet used have been as they are, and where their requests went
// before: by the previous table, which may be nil. Requests of a new route went to the one with the next shorter prefix,
// and requests of a route that is gone go there from now on.
func (t *Table) Follow(previous *Table, now time.Time) {
	for _, route := range t.byPrefix {
		route.UnchangedSince = now
	}
	if previous == nil {
		return
	}
	for key, route := range t.byPrefix {
		former := previous.byPrefix[key]
		if former != nil && slices.Equal(former.Destinations, route.Destinations) {
			route.UnchangedSince = former.UnchangedSince
			route.FormerServices = former.FormerServices
			continue
		}
		route.succeed(previous.Lookup(route.Host, route.Prefix), now)
	}
	for key, former := range previous.byPrefix {
		if t.byPrefix[key] != nil {
			continue
		}
		if route := t.Lookup(former.Host, former.Prefix); route != nil && !slices.Equal(former.Destinations, route.Destinations) {
			route.UnchangedSince = now
			route.succeed(former, now)
		}
	}
}

// succeed notes that requests which went by a former route, which may be nil, go by this one from now on.
func (r *Route) succeed(former *Route, now time.Time) {
	if former == nil {
		return
	}
	services := make(map[string]time.Time, len(former.FormerServices)+len(former.Destinations))
	for _, known := range []map[string]time.Time{r.FormerServices, former.FormerServices} {
		for service, until := range known {
			if now.Sub(until) < formerRetention && until.After(services[service]) {
				services[service] = until
			}
		}
	}
	for _, d := range former.Destinations {
		if d.Weight > 0 || len(former.Destinations) == 1 {
			services[d.Service] = now
		}
	}
	r.FormerServices = services
}

// Lookup returns the route of the host with the longest prefix that matches the
// path, nil if there is none.
func (t *Table) Lookup(host, path string) *Route {
	host = hostName(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := t.byPrefix[host+path[:end+1]]; ok {
			return route
		}
	}
	return nil
}

// hostName returns the host name of a Host header in lower case, without the port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns a service by name, nil if it does not exist.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services sorted by name.
func (t *Table) Services() []*Service {
	all := make([]*Service, 0, len(t.services))
	for _, service := range t.services {
		all = append(all, service)
	}
	slices.SortFunc(all, func(x, y *Service) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.byPrefix) }

// Choose returns the service for a request. Requests with the same id get the
// same service.
func (r *Route) Choose(requestID string) string {
	switch len(r.Destinations) {
	case 0:
		return ""
	case 1:
		return r.Destinations[0].Service
	}
	total := 0
	for _, d := range r.Destinations {
		total += max(0, d.Weight)
	}
	if total == 0 {
		return r.Destinations[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, d := range r.Destinations {
		if point < max(0, d.Weight) {
			return d.Service
		}
		point -= max(0, d.Weight)
	}
	return r.Destinations[0].Service
}

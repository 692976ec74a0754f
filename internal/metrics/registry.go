package metrics

import (
	"expvar"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Registry publishes the values of one daemon. If a process runs several daemons, each
// has its own registry. It is safe for concurrent use.
type Registry struct {
	root expvar.Map

	mu     sync.Mutex
	groups map[string]*expvar.Map
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{groups: map[string]*expvar.Map{}}
}

// Mount publishes the values of a component as a group. It panics if the group is
// already mounted.
func (r *Registry) Mount(group string, values *expvar.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.groups[group]; ok {
		panic("metrics: group " + group + " is already mounted")
	}
	r.groups[group] = values
	r.root.Set(group, values)
}

// Handler serves all values as one JSON object with one member per group.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(r.String()))
	})
}

// String implements expvar.Var, so that a process with a single daemon can pass the
// registry to expvar.Publish.
func (r *Registry) String() string { return r.root.String() }

// Undocumented returns the published names that are missing from the catalog, as
// "group.name".
func (r *Registry) Undocumented() []string {
	return r.collect(func(group *Group, values *expvar.Map, name string) []string {
		var missing []string
		values.Do(func(value expvar.KeyValue) {
			if group == nil || group.find(value.Key) == nil {
				missing = append(missing, name+"."+value.Key)
			}
		})
		return missing
	})
}

// Unpublished returns the names in the catalog that their mounted group does not
// publish, as "group.name". Names that end in "*" may be absent.
func (r *Registry) Unpublished() []string {
	return r.collect(func(group *Group, values *expvar.Map, name string) []string {
		if group == nil {
			return nil
		}
		var missing []string
		for i := range group.Values {
			definition := &group.Values[i]
			if values.Get(definition.Name) == nil && !definition.isWildcard() {
				missing = append(missing, name+"."+definition.Name)
			}
		}
		return missing
	})
}

func (d *Definition) isWildcard() bool { return d.Name[len(d.Name)-1:] == wildcard }

// collect calls find for each mounted group and returns all names, sorted.
func (r *Registry) collect(find func(group *Group, values *expvar.Map, name string) []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for name, values := range r.groups {
		all = append(all, find(findGroup(name), values, name)...)
	}
	slices.Sort(all)
	return all
}

// Text returns all values as lines of the form "group_name value", sorted by name.
func (r *Registry) Text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for name, values := range r.groups {
		values.Do(func(value expvar.KeyValue) {
			lines = append(lines, name+"_"+value.Key+" "+value.Value.String()+"\n")
		})
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

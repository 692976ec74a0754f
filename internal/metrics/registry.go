package metrics

import (
	"expvar"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Registry publishes the values of one daemon. Several daemons of one process
// have a registry each. It is safe for concurrent use.
type Registry struct {
	root expvar.Map

	mu     sync.Mutex
	groups map[string]*expvar.Map
}

// NewRegistry returns a registry without values.
func NewRegistry() *Registry {
	return &Registry{groups: map[string]*expvar.Map{}}
}

// Mount publishes the values of a component as a group. A group is mounted
// once; a second time panics.
func (r *Registry) Mount(group string, values *expvar.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.groups[group]; ok {
		panic("metrics: group " + group + " is mounted twice")
	}
	r.groups[group] = values
	r.root.Set(group, values)
}

// Handler serves all values as one JSON object of groups.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(r.String()))
	})
}

// String implements expvar.Var, so that a process with one daemon can publish
// the registry by expvar.Publish.
func (r *Registry) String() string { return r.root.String() }

// Undocumented returns the published names, as "group.name", that the catalog
// lacks.
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

// Unpublished returns the names in the catalog, as "group.name", that their
// mounted group does not publish. Names that end in "*" need not occur.
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

// collect calls find for each mounted group and returns all names in order.
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

// Text returns all numbers as lines of "group_name value", in the order of
// their names.
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

// Package metrics publishes the counters of all packages over expvar and contains the
// catalog that documents each of them: name, kind, unit, meaning, and what an operator
// does at which value.
//
// The page docs/operations/counters.md is generated from the catalog. A counter that
// the catalog lacks is reported by Registry.Undocumented, which the daemon's tests
// check.
package metrics

import "strings"

// Kind is the kind of a value.
type Kind string

// The kinds of values.
const (
	// Counter only increases, from 0 at the start of the process.
	Counter Kind = "counter"
	// Gauge increases and decreases.
	Gauge Kind = "gauge"
	// Flag is true or false.
	Flag Kind = "flag"
)

// Unit is what a value counts.
type Unit string

// The units.
const (
	Requests          Unit = "requests"
	Calls             Unit = "calls"
	Attempts          Unit = "attempts"
	Answers           Unit = "answers"
	Tokens            Unit = "tokens"
	Records           Unit = "records"
	Bytes             Unit = "bytes"
	Events            Unit = "events"
	Endpoints         Unit = "endpoints"
	Slots             Unit = "slots"
	Models            Unit = "models"
	Generation        Unit = "changes"
	Keys              Unit = "keys"
	Incidents         Unit = "incidents"
	VMs               Unit = "VMs"
	Connections       Unit = "connections"
	QuotaUnits        Unit = "units of quotas"
	Teams             Unit = "teams"
	TrueIfUnavailable Unit = "true while away"

	Milliseconds Unit = "milliseconds"
)

// wildcard at the end of a name matches every suffix.
const wildcard = "*"

// Definition documents one value.
type Definition struct {
	// Name is the name in its group; a "*" at its end matches every suffix.
	Name string
	Kind Kind
	Unit Unit
	// Help says what the value measures.
	Help string
	// Action says what an operator should do at which value.
	Action string
}

// matches reports whether the definition documents a name.
func (d *Definition) matches(name string) bool {
	if prefix, ok := strings.CutSuffix(d.Name, wildcard); ok {
		return strings.HasPrefix(name, prefix)
	}
	return d.Name == name
}

// Group is a set of values that one component publishes.
type Group struct {
	// Name is the name of the group in the published JSON.
	Name string
	// Help says what the component does.
	Help   string
	Values []Definition
}

// find returns the definition of a name, or nil if there is none.
func (g *Group) find(name string) *Definition {
	for i := range g.Values {
		if g.Values[i].matches(name) {
			return &g.Values[i]
		}
	}
	return nil
}

// findGroup returns the catalog's group with a name, or nil if there is none.
func findGroup(name string) *Group {
	groups := Catalog()
	for i := range groups {
		if groups[i].Name == name {
			return &groups[i]
		}
	}
	return nil
}

// Package fleet holds the endpoints that are registered now, together with the
// services that the configuration defines. Requests read an immutable View through
// one atomic pointer.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// Initial values for predictions of an engine's times. Observations correct them,
// so only their order of magnitude matters.
const (
	// prefillTokensPerSecond is an engine's prefill rate.
	prefillTokensPerSecond = 33_333
	// prefillLatency is the part of a prefill's duration that does not depend on
	// the prompt's length.
	prefillLatency = 80 * time.Millisecond
	// tokenInterval is the duration of a decode step of an engine with one request.
	tokenInterval = 3300 * time.Microsecond
	// tokenIntervalPerRequest is the time that each further request adds to a step.
	tokenIntervalPerRequest = 100 * time.Microsecond
	// zoneDelay is the assumed one-way delay of a message to another zone.
	zoneDelay = 4 * time.Millisecond
)

// Instance is one incarnation of an endpoint.
type Instance struct {
	// Endpoint has a Name that differs between incarnations of the same endpoint.
	configuration.Endpoint
	// ID is the endpoint's own name, which later incarnations may have as well.
	ID string
	// Draining says that the endpoint has announced its shutdown.
	Draining bool
	// Born identifies the endpoint's process: its start in Unix milliseconds by its own clock; 0 if it is
	// not known.
	Born int64
}

// EntryVM is another entry VM that has announced itself.
type EntryVM struct {
	Name, Zone, Address string
}

// pool is the key of a set of engines; an empty zone stands for all zones.
type pool struct {
	service string
	role    configuration.Role
	zone    string
}

// View is an immutable snapshot of the fleet. It implements reservation.Fleet; the
// name of a model is that of the service that runs it.
type View struct {
	instances map[string]*Instance
	departed  map[string]bool
	engines   map[pool][]*configuration.Endpoint
	plain     map[string][]*configuration.Endpoint
	models    map[string]*configuration.Model
	entryVMs  map[string][]string
	link      configuration.Link
	known     bool
}

// NewView builds a view. The table may be nil while no configuration is known.
func NewView(table *routing.Table, instances []Instance, entryVMs []EntryVM) *View {
	v := &View{
		instances: make(map[string]*Instance, len(instances)),
		departed:  make(map[string]bool),
		engines:   make(map[pool][]*configuration.Endpoint),
		plain:     make(map[string][]*configuration.Endpoint),
		models:    make(map[string]*configuration.Model),
		entryVMs:  make(map[string][]string),
		link:      configuration.Link{OneWayDelay: configuration.Duration(zoneDelay)},
	}
	for _, vm := range entryVMs {
		v.entryVMs[vm.Zone] = append(v.entryVMs[vm.Zone], vm.Name)
	}
	if table == nil {
		return v
	}
	for _, service := range table.Services() {
		if service.Engines != nil {
			v.models[service.Name] = modelOf(service)
		}
	}
	sorted := slices.SortedFunc(slices.Values(instances), func(x, y Instance) int { return cmp.Compare(x.Name, y.Name) })
	for i := range sorted {
		v.add(&sorted[i], table.Service(sorted[i].Service))
	}
	return v
}

func modelOf(service *routing.Service) *configuration.Model {
	return &configuration.Model{
		Name:                    service.Name,
		PrefillTokensPerSecond:  prefillTokensPerSecond,
		PrefillLatency:          configuration.Duration(prefillLatency),
		FirstEventTokens:        service.Engines.TokensPerEvent,
		TokenInterval:           configuration.Duration(tokenInterval),
		TokenIntervalPerRequest: configuration.Duration(tokenIntervalPerRequest),
		KVBytesPerToken:         service.Engines.TokenBytes,
		KVRetention:             configuration.Duration(service.Engines.Retention),
	}
}

// Successor returns the instance that an endpoint has become by a start under its ID at its address, nil if it
// has not been started again or its registration has not arrived.
func (v *View) Successor(id, address string) *Instance {
	for _, instance := range v.instances {
		if instance.ID == id && instance.Address == address {
			return instance
		}
	}
	return nil
}

// Replaced reports whether an instance is registered no more and another one has its address.
func (v *View) Replaced(name, address string) bool {
	if v.instances[name] != nil {
		return false
	}
	for _, instance := range v.instances {
		if instance.Address == address {
			return true
		}
	}
	return false
}

func (v *View) add(instance *Instance, service *routing.Service) {
	if service == nil {
		return
	}
	v.instances[instance.Name] = instance
	endpoint := &instance.Endpoint
	if service.Engines == nil && instance.Draining {
		return
	}
	if service.Engines == nil {
		v.plain[service.Name] = append(v.plain[service.Name], endpoint)
		return
	}
	setEngineFields(endpoint, service.Engines)
	for _, zone := range []string{endpoint.Zone, ""} {
		key := pool{service.Name, endpoint.Role, zone}
		v.engines[key] = append(v.engines[key], endpoint)
	}
}

// setEngineFields sets the fields that the configuration defines for all engines of
// a service.
func setEngineFields(endpoint *configuration.Endpoint, engines *routing.Engines) {
	endpoint.Kind = configuration.KindEngine
	endpoint.Model = endpoint.Service
	if endpoint.Slots == 0 {
		endpoint.Slots = engines.Slots
	}
	endpoint.MemoryPieces = engines.MemoryTokens
	endpoint.PieceTokens = 1
	endpoint.LinkBytesPerSecond = engines.LinkBytesPerSecond
}

// Instance returns an instance by its name, nil if it is not registered.
func (v *View) Instance(name string) *Instance { return v.instances[name] }

// Departed reports whether an instance was registered and no longer is. An instance
// that is neither registered nor departed has not been seen yet.
func (v *View) Departed(name string) bool { return v.departed[name] }

// Plain returns the instances of a plain service that take new requests.
func (v *View) Plain(service string) []*configuration.Endpoint { return v.plain[service] }

// Engines implements reservation.Fleet.
func (v *View) Engines(model string, role configuration.Role, zone string) []*configuration.Endpoint {
	return v.engines[pool{model, role, zone}]
}

// AllEngines returns the engines of all models, except draining ones.
func (v *View) AllEngines() []*configuration.Endpoint {
	var all []*configuration.Endpoint
	for _, instance := range v.instances {
		if instance.Kind == configuration.KindEngine && !instance.Draining {
			all = append(all, &instance.Endpoint)
		}
	}
	return all
}

// Model implements reservation.Fleet.
func (v *View) Model(name string) (*configuration.Model, bool) {
	model, ok := v.models[name]
	return model, ok
}

// Known implements reservation.Fleet. It reports whether a configuration is in force and
// the registrations have been read, even if there were none.
func (v *View) Known() bool { return v.known }

// Models implements reservation.Fleet.
func (v *View) Models() []string {
	names := make([]string, 0, len(v.models))
	for name := range v.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// EntryVMs implements reservation.Fleet.
func (v *View) EntryVMs(zone string) []string { return v.entryVMs[zone] }

// VMCount returns the number of entry VMs that have announced themselves, at least 1.
func (v *View) VMCount() int {
	count := 0
	for _, names := range v.entryVMs {
		count += len(names)
	}
	return max(1, count)
}

// Link implements reservation.Fleet.
func (v *View) Link(string, string) (*configuration.Link, bool) { return &v.link, true }

package configuration

// poolKey identifies a pool of engines; an empty zone stands for all zones.
type poolKey struct {
	model string
	role  Role
	zone  string
}

// serviceKey identifies the instances of a plain service; an empty zone stands
// for all zones.
type serviceKey struct {
	service, zone string
}

// compiledFleet is the fleet document with its lookup tables. It is immutable.
type compiledFleet struct {
	fleet     *Fleet
	endpoints map[string]*Endpoint
	engines   map[poolKey][]*Endpoint
	plain     map[serviceKey][]*Endpoint
	models    map[string]*Model
	vms       map[string]*VM
}

func compileFleet(fleet *Fleet) *compiledFleet {
	compiled := &compiledFleet{
		fleet:     fleet,
		endpoints: make(map[string]*Endpoint, len(fleet.Endpoints)),
		engines:   make(map[poolKey][]*Endpoint),
		plain:     make(map[serviceKey][]*Endpoint),
		models:    make(map[string]*Model, len(fleet.Models)),
		vms:       make(map[string]*VM, len(fleet.VMs)),
	}
	for i := range fleet.Endpoints {
		compiled.addEndpoint(&fleet.Endpoints[i])
	}
	for i := range fleet.Models {
		compiled.models[fleet.Models[i].Name] = &fleet.Models[i]
	}
	for i := range fleet.VMs {
		compiled.vms[fleet.VMs[i].Name] = &fleet.VMs[i]
	}
	return compiled
}

func (f *compiledFleet) addEndpoint(endpoint *Endpoint) {
	f.endpoints[endpoint.Name] = endpoint
	for _, zone := range []string{endpoint.Zone, ""} {
		if endpoint.Kind == KindEngine {
			key := poolKey{endpoint.Model, endpoint.Role, zone}
			f.engines[key] = append(f.engines[key], endpoint)
			continue
		}
		key := serviceKey{endpoint.Service, zone}
		f.plain[key] = append(f.plain[key], endpoint)
	}
}

package order

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// maxUnavailableDivisor limits how many engines of a role may be out of service
// at the same time: their number divided by it, but at least one.
const maxUnavailableDivisor = 4

// disruptionPolicy decides which engines of a pool may be taken out of service.
// Its decisions depend only on the observed engine states.
type disruptionPolicy struct {
	model        string
	observations []*observation
	// tasks are the engines that are already out of service, by name.
	tasks map[string]*task
	// otherZones returns the observations of a role's engines in other zones.
	otherZones func(role configuration.Role) []*observation
}

// allows reports whether one more engine may be taken out of service. An engine
// that is carrying out an order is already out of service and is always
// allowed.
func (p *disruptionPolicy) allows(r *observation) bool {
	if r.state.Busy {
		return true
	}
	role, joining := r.state.Role, r.state.Model != p.model
	if joining {
		role = r.desired.Role
	}
	total, unavailable, remaining := p.count(role, r)
	if unavailable+1 > max(1, total/maxUnavailableDivisor) {
		return false
	}
	return joining || remaining > 0 || p.servedInOtherZones(role, r.endpoint.Zone)
}

// count returns the number of engines of a role, how many of them are out of
// service, and how many keep serving when the given engine is taken out.
func (p *disruptionPolicy) count(role configuration.Role, without *observation) (total, unavailable, remaining int) {
	for _, r := range p.observations {
		if r != without && !p.countsToward(r, role) {
			continue
		}
		total++
		switch {
		case r == without:
		case p.tasks[r.endpoint.Name] != nil || !r.serving(p.model, role):
			unavailable++
		default:
			remaining++
		}
	}
	return total, unavailable, remaining
}

// countsToward reports whether an engine counts toward a role: by its observed
// state, or by its configuration if the state could not be read. An engine that
// still serves another model counts only once it is out of service for this
// one.
func (p *disruptionPolicy) countsToward(r *observation, role configuration.Role) bool {
	switch {
	case !r.readable:
		return r.desired.Role == role
	case r.state.Model != p.model:
		return r.desired.Role == role && p.tasks[r.endpoint.Name] != nil
	default:
		return r.state.Role == role
	}
}

// servedInOtherZones reports whether this zone may stop serving a role for a
// while. Another zone must serve it, unless no other zone has engines of the
// role. Zones take turns in the order of their names.
func (p *disruptionPolicy) servedInOtherZones(role configuration.Role, zone string) bool {
	observations := p.otherZones(role)
	serving := 0
	for _, r := range observations {
		if r.endpoint.Zone < zone && r.readable && !r.converged() {
			return false
		}
		if r.serving(p.model, role) {
			serving++
		}
	}
	return len(observations) == 0 || serving > 0
}

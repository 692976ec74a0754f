package order

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// outDivisor of a role's engines may be out of service at once, at least one.
const maxUnavailableDivisor = 4

// admission decides which engines of a pool may be taken out of service. It is a
// pure function of what was read.
type disruptionPolicy struct {
	model    string
	readings []*observation
	// tasks are the engines that are out of service already.
	tasks map[string]*task
	// elsewhere returns the readings of a role's engines in other zones.
	otherZones func(role configuration.Role) []*observation
}

// allows reports whether one more engine may be taken out. An engine that is
// carrying an order out is out already.
func (a *disruptionPolicy) allows(r *observation) bool {
	if r.state.Busy {
		return true
	}
	role, joining := r.state.Role, r.state.Model != a.model
	if joining {
		role = r.desired.Role
	}
	total, unavailable, remaining := a.count(role, r)
	if unavailable+1 > max(1, total/maxUnavailableDivisor) {
		return false
	}
	return joining || remaining > 0 || a.servedInOtherZones(role, r.endpoint.Zone)
}

// count returns the engines of a role, how many of them are out, and how many go
// on serving without one of them.
func (a *disruptionPolicy) count(role configuration.Role, without *observation) (total, unavailable, remaining int) {
	for _, r := range a.readings {
		if r != without && !a.countsToward(r, role) {
			continue
		}
		total++
		switch {
		case r == without:
		case a.tasks[r.endpoint.Name] != nil || !r.serving(a.model, role):
			unavailable++
		default:
			remaining++
		}
	}
	return total, unavailable, remaining
}

// counts reports whether an engine belongs to a role: by its state, or by its
// configuration while its state is unknown. An engine that still serves another
// model counts once it is out of service for this one.
func (a *disruptionPolicy) countsToward(r *observation, role configuration.Role) bool {
	switch {
	case !r.readable:
		return r.desired.Role == role
	case r.state.Model != a.model:
		return r.desired.Role == role && a.tasks[r.endpoint.Name] != nil
	default:
		return r.state.Role == role
	}
}

// servedElsewhere reports whether other zones serve a role while this one does
// not. Zones take turns in the order of their names. A role without engines
// elsewhere cannot be kept up by anyone.
func (a *disruptionPolicy) servedInOtherZones(role configuration.Role, zone string) bool {
	observations := a.otherZones(role)
	serving := 0
	for _, r := range observations {
		if r.endpoint.Zone < zone && r.readable && !r.converged() {
			return false
		}
		if r.serving(a.model, role) {
			serving++
		}
	}
	return len(observations) == 0 || serving > 0
}

package order

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// outDivisor of a role's engines may be out of service at once, at least one.
const outDivisor = 4

// admission decides which engines of a pool may be taken out of service. It is a
// pure function of what was read.
type admission struct {
	model    string
	readings []*reading
	// tasks are the engines that are out of service already.
	tasks map[string]*task
	// elsewhere returns the readings of a role's engines in other zones.
	elsewhere func(role configuration.Role) []*reading
}

// allows reports whether one more engine may be taken out. An engine that is
// carrying an order out is out already.
func (a *admission) allows(r *reading) bool {
	if r.state.Busy {
		return true
	}
	role, joins := r.state.Role, r.state.Model != a.model
	if joins {
		role = r.desired.Role
	}
	total, out, left := a.count(role, r)
	if out+1 > max(1, total/outDivisor) {
		return false
	}
	return joins || left > 0 || a.servedElsewhere(role, r.endpoint.Zone)
}

// count returns the engines of a role, how many of them are out, and how many go
// on serving without one of them.
func (a *admission) count(role configuration.Role, without *reading) (total, out, left int) {
	for _, r := range a.readings {
		if r != without && !a.counts(r, role) {
			continue
		}
		total++
		switch {
		case r == without:
		case a.tasks[r.endpoint.Name] != nil || !r.serving(a.model, role):
			out++
		default:
			left++
		}
	}
	return total, out, left
}

// counts reports whether an engine belongs to a role: by its state, or by its
// configuration while its state is unknown. An engine that still serves another
// model counts once it is out of service for this one.
func (a *admission) counts(r *reading, role configuration.Role) bool {
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
func (a *admission) servedElsewhere(role configuration.Role, zone string) bool {
	others := a.elsewhere(role)
	serving := 0
	for _, r := range others {
		if r.endpoint.Zone < zone && r.readable && !r.converged() {
			return false
		}
		if r.serving(a.model, role) {
			serving++
		}
	}
	return len(others) == 0 || serving > 0
}

package orphan

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// cancellersPerEngine is the number of VMs that send cancels to one engine.
	cancellersPerEngine = 2
	// backupDelay is how much later the second VM sends its cancel, which also
	// ends attempts that reached the engine after the first cancel.
	backupDelay = 3 * time.Second
)

// processID identifies an incarnation of an entry VM that is gone.
type processID struct {
	vm          string
	incarnation uint64
}

// String formats the process as "<vm>.<incarnation>".
func (p processID) String() string { return p.vm + "." + strconv.FormatUint(p.incarnation, 10) }

// assignment is one engine on which this VM cancels.
type assignment struct {
	engine string
	delay  time.Duration
	// remote reports that this VM sees no available entry VM in the engine's zone.
	// The zone may be partitioned rather than down.
	remote bool
}

// candidates are the VMs that may send cancels to the engines of a zone.
type candidates struct {
	names  []string
	remote bool
}

// plan returns the engines on which a VM, self, cancels the work of a process.
func plan(gone processID, self string, members []membership.Member, engines []*configuration.Endpoint) []assignment {
	var assigned []assignment
	byZone := make(map[string]candidates)
	for _, e := range engines {
		c, known := byZone[e.Zone]
		if !known {
			c.names, c.remote = candidatesFor(gone, e.Zone, members)
			byZone[e.Zone] = c
		}
		position := slices.Index(topRanked(c.names, gone, e.Name), self)
		if position < 0 {
			continue
		}
		delay := time.Duration(position) * backupDelay
		assigned = append(assigned, assignment{engine: e.Name, delay: delay, remote: c.remote})
	}
	return assigned
}

// candidatesFor returns the VMs that may send cancels to the engines of a zone:
// the available VMs of the zone or, if there are none, those of other zones.
func candidatesFor(gone processID, zone string, members []membership.Member) (names []string, remote bool) {
	var sameZone, otherZones []string
	for i := range members {
		m := &members[i]
		switch {
		case m.VM == gone.vm && m.Incarnation == gone.incarnation, m.State != membership.Alive, m.Draining:
		case m.Zone == zone:
			sameZone = append(sameZone, m.VM)
		default:
			otherZones = append(otherZones, m.VM)
		}
	}
	if len(sameZone) > 0 {
		return sameZone, false
	}
	return otherZones, true
}

// rankedVM is a VM with its rendezvous weight for one engine.
type rankedVM struct {
	vm     string
	weight uint64
}

// topRanked returns the VMs with the highest rendezvous weights for an engine.
// Each weight is computed once, because this runs for every engine after the
// loss of a zone.
func topRanked(names []string, gone processID, engine string) []string {
	prefix := gone.String() + "\x00" + engine + "\x00"
	all := make([]rankedVM, len(names))
	for i, vm := range names {
		all[i] = rankedVM{vm: vm, weight: xxhash.Sum64String(prefix + vm)}
	}
	slices.SortFunc(all, func(a, b rankedVM) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	chosen := make([]string, 0, cancellersPerEngine)
	for _, r := range all[:min(cancellersPerEngine, len(all))] {
		chosen = append(chosen, r.vm)
	}
	return chosen
}

// enginesOf returns the engines of a configuration.
func enginesOf(snapshot *configuration.Snapshot) []*configuration.Endpoint {
	if snapshot == nil {
		return nil
	}
	endpoints := snapshot.Fleet().Endpoints
	var engines []*configuration.Endpoint
	for i := range endpoints {
		if endpoints[i].Kind == configuration.KindEngine {
			engines = append(engines, &endpoints[i])
		}
	}
	return engines
}

// isAlive reports whether a process is alive in the membership view.
func isAlive(p processID, members []membership.Member) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool {
		return m.VM == p.vm && m.Incarnation == p.incarnation && m.State == membership.Alive
	})
}

package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// candidates are addresses at which an entry VM may be reachable.
type candidates struct {
	// seeds do not change while the process runs; configured and hinted are
	// replaced as a whole. Keys are addresses, values are VM names, empty if
	// unknown.
	seeds, configured, hinted map[string]string
	// called holds the addresses that startFirstJoin has called. The value reports
	// whether the exchange has finished, whatever its outcome.
	called map[string]bool
}

func newCandidates() candidates {
	return candidates{seeds: make(map[string]string), called: make(map[string]bool)}
}

// hasJoined reports whether every reachable entry VM of the configuration has this
// one in its view: each candidate is a member or its call has finished, or
// joinLimit has passed. If a VM accepted requests while it is in no other view and
// then failed, no other VM would cancel its engine work.
func (m *machine) hasJoined(now time.Time) bool {
	if m.joined || m.configuredAt.IsZero() {
		return m.joined
	}
	m.joined = now.Sub(m.configuredAt) >= joinLimit || len(m.uncalled()) == 0
	return m.joined
}

// markFinished records that an exchange has an outcome.
func (c *candidates) markFinished(done *call) {
	if _, called := c.called[done.Address]; called && done.Kind == callExchange {
		c.called[done.Address] = true
	}
}

// uncalled returns the candidates without a finished call.
func (m *machine) uncalled() map[string]string {
	unjoined := m.unjoinedCandidates()
	for address := range unjoined {
		if m.candidates.called[address] {
			delete(unjoined, address)
		}
	}
	return unjoined
}

// startFirstJoin calls a candidate that has not been called yet.
func (m *machine) startFirstJoin(now time.Time) []call {
	pending := m.uncalled()
	for _, address := range sortedKeys(pending) {
		if _, called := m.candidates.called[address]; called {
			continue
		}
		m.candidates.called[address] = false
		m.counters.Joins.Add(1)
		return []call{m.exchange(now, address, pending[address], 0)}
	}
	return nil
}

// startJoin calls a random candidate that is not a member. In a fixed order all VMs that
// start at once would call the same one.
func (m *machine) startJoin(now time.Time) []call {
	unjoined := m.unjoinedCandidates()
	if len(unjoined) == 0 {
		return nil
	}
	addresses := sortedKeys(unjoined)
	address := addresses[m.random.IntN(len(addresses))]
	m.counters.Joins.Add(1)
	return []call{m.exchange(now, address, unjoined[address], 0)}
}

// unjoinedCandidates returns the candidates that are not members, and the addresses
// of members that are gone, because their VMs may have come back.
func (m *machine) unjoinedCandidates() map[string]string {
	unjoined := make(map[string]string)
	for _, group := range []map[string]string{m.candidates.hinted, m.candidates.seeds, m.candidates.configured} {
		for address, vm := range group {
			unjoined[address] = vm
		}
	}
	for _, vm := range sortedKeys(m.records) {
		r := m.records[vm]
		if r.State == membership.Gone && r != m.self && m.isConfigured(r.VM, r.Zone) {
			unjoined[r.Address] = r.VM
		}
	}
	for _, r := range m.records {
		if r.State != membership.Gone || r == m.self {
			delete(unjoined, r.Address)
		}
	}
	for address, vm := range unjoined {
		if r, ok := m.records[vm]; ok && r.State != membership.Gone {
			delete(unjoined, address)
		}
	}
	return unjoined
}

// isConfigured reports whether a VM may be a member: the configuration, if there is
// one, must name the VM in that zone.
func (m *machine) isConfigured(vm, zone string) bool {
	if len(m.configuredZones) == 0 || vm == m.self.VM {
		return true
	}
	configured, ok := m.configuredZones[vm]
	return ok && configured == zone
}

// configuredVM is an entry VM of the configuration.
type configuredVM struct {
	VM, Zone, Address string
}

// configure applies the entry VMs of the current configuration. Members that it
// does not name are declared gone.
func (m *machine) configure(now time.Time, vms []configuredVM) {
	if m.configuredAt.IsZero() {
		m.configuredAt = now
	}
	m.configuredZones = make(map[string]string, len(vms))
	m.candidates.configured = make(map[string]string, len(vms))
	for _, vm := range vms {
		m.configuredZones[vm.VM] = vm.Zone
		m.candidates.configured[vm.Address] = vm.VM
	}
	for _, r := range m.records {
		if r != m.self && r.State != membership.Gone && !m.isConfigured(r.VM, r.Zone) {
			m.downgrade(now, r, membership.Gone)
		}
	}
}

// applyPlatformList applies the platform's list, given as VM names by address.
// Entry VMs in it become candidates, and local members that it no longer contains
// are probed next. It declares no member gone.
func (m *machine) applyPlatformList(now time.Time, listed map[string]string) {
	m.lastHeard = now
	previous := m.candidates.hinted
	m.candidates.hinted = make(map[string]string, len(listed))
	present := make(map[string]bool, len(listed))
	for address, vm := range listed {
		present[vm] = true
		if _, known := m.configuredZones[vm]; known && len(m.candidates.hinted) < maxMembers {
			m.candidates.hinted[address] = vm
		}
	}
	for _, vm := range previous {
		r, ok := m.records[vm]
		if ok && !present[vm] && r.Zone == m.self.Zone && r != m.self {
			m.probeNext(vm)
		}
	}
}

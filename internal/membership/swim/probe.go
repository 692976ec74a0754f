package swim

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// probe is one probe of a member, first direct, then through other VMs.
type probe struct {
	vm string
	// incarnation and refutation are those at the start of the probe. A failure
	// raises no suspicion if the member has announced newer ones since.
	incarnation, refutation uint64
	indirect                bool
	// pending counts the calls of the probe that have no outcome yet.
	pending int
	// reached reports that a call of the probe succeeded or was inconclusive.
	reached bool
}

// startProbe pings the next member of the local zone in the probe order.
func (m *machine) startProbe(now time.Time) []call {
	r := m.nextMember()
	if r == nil {
		return nil
	}
	return []call{m.probe(now, r)}
}

func (m *machine) probe(now time.Time, r *record) call {
	m.counters.Probes.Add(1)
	p := &probe{vm: r.VM, incarnation: r.Incarnation, refutation: r.Refutation, pending: 1}
	return m.ping(now, r, p)
}

// nextMember returns the next member of the probe order. At the end of the order it
// starts a new round in a new random order.
func (m *machine) nextMember() *record {
	for {
		if len(m.probeOrder) == 0 && !m.newRound() {
			return nil
		}
		vm := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		if r, ok := m.records[vm]; ok && r.State != membership.Gone {
			return r
		}
	}
}

func (m *machine) newRound() bool {
	local := m.topology().local
	for _, r := range m.pick(local, len(local)) {
		m.probeOrder = append(m.probeOrder, r.VM)
	}
	return len(m.probeOrder) > 0
}

// probeNext moves a member to the front of the probe order.
func (m *machine) probeNext(vm string) {
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(name string) bool { return name == vm })
	m.probeOrder = slices.Insert(m.probeOrder, 0, vm)
}

// handleProbeOutcome processes the outcome of one call of a probe.
func (m *machine) handleProbeOutcome(now time.Time, p *probe, reached, conclusive bool) []call {
	p.pending--
	p.reached = p.reached || reached || !conclusive
	if p.reached || p.pending > 0 {
		return nil
	}
	if !p.indirect {
		if calls := m.probeIndirectly(now, p); len(calls) > 0 {
			return calls
		}
	}
	m.counters.ProbesFailed.Add(1)
	m.suspect(now, p)
	return nil
}

// probeIndirectly asks other members to ping the member that did not respond. If
// the local zone has too few of them, members of other zones are asked as well.
func (m *machine) probeIndirectly(now time.Time, p *probe) []call {
	p.indirect = true
	var calls []call
	for _, helper := range m.helpers(p.vm) {
		m.counters.IndirectProbes.Add(1)
		p.pending++
		calls = append(calls, m.indirectPing(now, helper, p))
	}
	return calls
}

func (m *machine) helpers(target string) []*record {
	alive := func(r *record) bool { return r.VM != target && r.State == membership.Alive }
	chosen := m.pick(filter(m.topology().local, alive), indirectProbes)
	if len(chosen) == indirectProbes {
		return chosen
	}
	var remote []*record
	for _, zone := range m.topology().zones {
		remote = append(remote, filter(m.topology().remote[zone], alive)...)
	}
	return append(chosen, m.pick(remote, indirectProbes-len(chosen))...)
}

// suspect marks the probed member as suspect unless it has announced a newer
// incarnation or refutation since the probe began.
func (m *machine) suspect(now time.Time, p *probe) {
	r, ok := m.records[p.vm]
	if ok && r.Incarnation == p.incarnation && r.Refutation == p.refutation {
		m.downgrade(now, r, membership.Suspect)
	}
}

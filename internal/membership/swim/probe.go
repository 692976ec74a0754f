package swim

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// probe is one probe of a member, direct at first, then through others.
type probe struct {
	vm string
	// incarnation and refutation are those that were probed; a newer one is not
	// suspected for this probe.
	incarnation, refutation uint64
	indirect                bool
	// pending counts calls without an outcome.
	pending int
	// reached says that one of them succeeded.
	reached bool
}

// startProbe pings the next member of the own zone in a shuffled round.
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

// nextMember returns the next member of the round and shuffles a new round at
// its end.
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

// probeNext moves a member to the head of the round.
func (m *machine) probeNext(vm string) {
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(name string) bool { return name == vm })
	m.probeOrder = slices.Insert(m.probeOrder, 0, vm)
}

// handleProbeOutcome takes the outcome of one call of a probe.
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

// probeIndirectly asks other members to ping the one that did not answer. In a
// small zone members of other zones help.
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

// suspect marks the probed member unless it has been heard of since.
func (m *machine) suspect(now time.Time, p *probe) {
	r, ok := m.records[p.vm]
	if ok && r.Incarnation == p.incarnation && r.Refutation == p.refutation {
		m.downgrade(now, r, membership.Suspect)
	}
}

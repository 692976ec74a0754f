package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// compose returns a message to a VM, whose name is empty if unknown. If the record
// of that VM is suspect or gone, the first update is about it, so that it can refute
// it.
func (m *machine) compose(to string) message {
	m.sequence++
	composed := message{From: m.self.update, Sequence: m.sequence, Pulses: m.currentPulses()}
	if r, ok := m.records[to]; ok && r.State != membership.Alive {
		composed.Updates = append(composed.Updates, r.update)
	}
	repeats := retransmits * doublings(m.topology().zoneSize())
	for _, vm := range m.broadcasts.take(maxPiggyback, repeats, to) {
		if r, ok := m.records[vm]; ok && r != m.self {
			composed.Updates = append(composed.Updates, r.update)
		}
	}
	return composed
}

// newCall registers a call so that its outcome can be matched to it.
func (m *machine) newCall(now time.Time, pending pendingCall) call {
	m.lastCall++
	pending.ID = m.lastCall
	pending.started = now
	m.calls[pending.ID] = &pending
	return pending.call
}

func (m *machine) ping(now time.Time, r *record, p *probe) call {
	return m.newCall(now, pendingCall{probe: p, call: call{
		Kind: callPing, Address: r.Address, VM: r.VM, Request: m.compose(r.VM), Timeout: pingTimeout,
	}})
}

func (m *machine) indirectPing(now time.Time, helper *record, p *probe) call {
	return m.newCall(now, pendingCall{probe: p, call: call{
		Kind: callIndirect, Address: helper.Address, VM: helper.VM, Target: p.vm,
		Request: m.compose(helper.VM), Timeout: indirectTimeout,
	}})
}

func (m *machine) exchange(now time.Time, address, vm string, pulls int) call {
	request := m.compose(vm)
	request.Buckets = append([]uint64(nil), m.digests[:]...)
	return m.newCall(now, pendingCall{pulls: pulls, call: call{
		Kind: callExchange, Address: address, VM: vm, Request: request, Timeout: exchangeTimeout,
	}})
}

package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// maxPulseCount bounds a pulse count, so that a forged one cannot make the counter
// overflow.
const maxPulseCount = 1 << 63

// zonePulse is the heartbeat counter of a zone. Each VM of the zone increments it
// once per probe period, and all VMs keep the highest count received.
type zonePulse struct {
	count uint64
	// increasedAt is the time at which count last increased.
	increasedAt time.Time
}

// advancePulse increments the pulse count of the local zone. The count is at least
// this VM's incarnation.
func (m *machine) advancePulse(now time.Time) {
	own := m.zonePulse(now, m.self.Zone)
	own.count = max(own.count+1, m.self.Incarnation%maxPulseCount)
	own.increasedAt = now
}

// zonePulse returns the pulse of a zone. The pulse of a new zone counts as
// increased now.
func (m *machine) zonePulse(now time.Time, zone string) *zonePulse {
	p, ok := m.pulses[zone]
	if !ok {
		p = &zonePulse{increasedAt: now}
		m.pulses[zone] = p
	}
	return p
}

// mergePulses applies the received counts that are higher than the known ones.
func (m *machine) mergePulses(now time.Time, pulses []pulse) {
	for _, received := range pulses {
		if !validName(received.Zone) || received.Count >= maxPulseCount {
			continue
		}
		if _, known := m.pulses[received.Zone]; !known && len(m.pulses) >= maxZones {
			continue
		}
		p := m.zonePulse(now, received.Zone)
		if received.Count > p.count {
			p.count = received.Count
			p.increasedAt = now
		}
	}
}

func (m *machine) currentPulses() []pulse {
	pulses := make([]pulse, 0, len(m.pulses))
	for _, zone := range sortedKeys(m.pulses) {
		pulses = append(pulses, pulse{Zone: zone, Count: m.pulses[zone].count})
	}
	return pulses
}

// zoneState returns the state of another zone as a whole, which depends on the
// time since its pulse last increased.
func (m *machine) zoneState(now time.Time, zone string) membership.State {
	p, ok := m.pulses[zone]
	if zone == m.self.Zone || !ok {
		return membership.Alive
	}
	silence, size := now.Sub(p.increasedAt), m.topology().zoneSize()
	switch {
	case silence >= zoneGoneAfter(size):
		return membership.Gone
	case silence >= zoneSuspectAfter(size):
		return membership.Suspect
	default:
		return membership.Alive
	}
}

// effective returns the state of a member as shown in the view: the state of its
// record, or that of its zone if worse.
func (m *machine) effective(now time.Time, r *record) membership.State {
	if zone := m.zoneState(now, r.Zone); rank(zone) > rank(r.State) {
		return zone
	}
	return r.State
}

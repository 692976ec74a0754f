package swim

import (
	membershipv1 "github.com/ospreyshed/ospreyshed/api/membership/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

func updateToProto(u *update) *membershipv1.Member {
	return &membershipv1.Member{
		Vm:          u.VM,
		Zone:        u.Zone,
		Address:     u.Address,
		Incarnation: u.Incarnation,
		Refutation:  u.Refutation,
		State:       stateToProto(u.State),
		Draining:    u.Draining,
	}
}

func updateFromProto(p *membershipv1.Member) update {
	return update{
		VM:          p.GetVm(),
		Zone:        p.GetZone(),
		Address:     p.GetAddress(),
		Incarnation: p.GetIncarnation(),
		Refutation:  p.GetRefutation(),
		State:       stateFromProto(p.GetState()),
		Draining:    p.GetDraining(),
	}
}

func stateToProto(s membership.State) membershipv1.State {
	switch s {
	case membership.Suspect:
		return membershipv1.State_STATE_SUSPECT
	case membership.Gone:
		return membershipv1.State_STATE_GONE
	default:
		return membershipv1.State_STATE_ALIVE
	}
}

// stateFromProto maps a state that this version does not know to alive, so that
// it cannot lead to a suspicion.
func stateFromProto(s membershipv1.State) membership.State {
	switch s {
	case membershipv1.State_STATE_SUSPECT:
		return membership.Suspect
	case membershipv1.State_STATE_GONE:
		return membership.Gone
	default:
		return membership.Alive
	}
}

func messageToProto(m *message) *membershipv1.Envelope {
	envelope := &membershipv1.Envelope{From: updateToProto(&m.From), Sequence: m.Sequence}
	for i := range m.Updates {
		envelope.Updates = append(envelope.Updates, updateToProto(&m.Updates[i]))
	}
	for _, p := range m.Pulses {
		envelope.Pulses = append(envelope.Pulses, &membershipv1.Pulse{Zone: p.Zone, Count: p.Count})
	}
	return envelope
}

func messageFromProto(envelope *membershipv1.Envelope) message {
	m := message{From: updateFromProto(envelope.GetFrom()), Sequence: envelope.GetSequence()}
	for _, u := range envelope.GetUpdates() {
		m.Updates = append(m.Updates, updateFromProto(u))
	}
	for _, p := range envelope.GetPulses() {
		m.Pulses = append(m.Pulses, pulse{Zone: p.GetZone(), Count: p.GetCount()})
	}
	return m
}

package reservation

import (
	"math"
	"slices"
	"time"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
)

// Facts holds what a VM has observed of plain endpoints.
type Facts interface {
	// OwnFacts returns what this VM observed lately and the totals of what it offered.
	OwnFacts() ([]endpoint.Fact, []endpoint.Demand)
	// ForeignFacts returns what VMs other than the named one observed lately, and the sums over
	// all VMs that report to this one.
	ForeignFacts(vm string) ([]endpoint.Fact, []endpoint.Demand)
	// LearnFacts records what other VMs observed; ages count from a time.
	LearnFacts(vm string, facts []endpoint.Fact, from time.Time)
	// LearnDemand records the totals of a VM that reports to this one.
	LearnDemand(vm string, incarnation uint64, totals []endpoint.Demand)
	// LearnSums records the sums of the zone as of a time.
	LearnSums(sums []endpoint.Demand, at time.Time)
}

// factsOwner returns the VM of this zone to which the others report facts: the owner of the first
// model by name, to which all of them send renewals anyway.
func (s *Service) factsOwner() (string, bool) {
	models := s.params.Fleet().Models()
	if s.params.Facts == nil || len(models) == 0 {
		return "", false
	}
	owner, ok := s.router.ownerOf(routeKey{s.self().Zone, slices.Min(models)})
	return owner.VM, ok
}

// attachFacts adds what this VM observed of plain endpoints to a heartbeat, if the VM to which it
// goes collects the facts of the zone.
func (s *Service) attachFacts(request *reservationv1.HeartbeatRequest, to string) {
	if owner, ok := s.factsOwner(); !ok || owner != to {
		return
	}
	facts, demands := s.params.Facts.OwnFacts()
	request.SharesFacts = true
	request.Facts = factsToProto(facts, demands)
}

// exchangeFacts records the facts of a heartbeat and adds those of other VMs to the response.
func (s *Service) exchangeFacts(request *reservationv1.HeartbeatRequest, response *reservationv1.HeartbeatResponse) {
	if s.params.Facts == nil || !request.GetSharesFacts() {
		return
	}
	received, totals := factsFromProto(request.GetFacts())
	s.params.Facts.LearnFacts(request.GetVm(), received, time.Now())
	s.params.Facts.LearnDemand(request.GetVm(), request.GetIncarnation(), totals)
	facts, sums := s.params.Facts.ForeignFacts(request.GetVm())
	response.Facts = factsToProto(facts, sums)
}

// learnFacts records the facts of a response. Their ages count from the time at which the
// heartbeat was sent, so that the time of the call makes no fact look newer than it is.
func (s *Service) learnFacts(vm string, response *reservationv1.HeartbeatResponse, sent time.Time) {
	if s.params.Facts == nil {
		return
	}
	facts, sums := factsFromProto(response.GetFacts())
	s.params.Facts.LearnFacts(vm, facts, sent)
	s.params.Facts.LearnSums(sums, sent)
}

// learnOwnDemand makes the VM that collects the facts of the zone count its own requests.
func (s *Service) learnOwnDemand() {
	self := s.self()
	if owner, ok := s.factsOwner(); !ok || owner != self.VM {
		return
	}
	_, demands := s.params.Facts.OwnFacts()
	s.params.Facts.LearnDemand(self.VM, self.Incarnation, demands)
	_, sums := s.params.Facts.ForeignFacts(self.VM)
	s.params.Facts.LearnSums(sums, time.Now())
}

const (
	// demandScale is the number by which offered and accepted requests are multiplied in messages.
	demandScale = 10
	// usualPercent stands for a slowdown of 1 in messages.
	usualPercent = 100
)

// factsToProto joins facts and demands by endpoint.
func factsToProto(facts []endpoint.Fact, demands []endpoint.Demand) []*reservationv1.EndpointFact {
	converted := make([]*reservationv1.EndpointFact, 0, max(len(facts), len(demands)))
	byName := make(map[string]*reservationv1.EndpointFact, len(facts))
	for _, f := range facts {
		p := &reservationv1.EndpointFact{
			Endpoint: f.Endpoint,
			// Rounded up, so that a fact never looks newer than it is.
			AgeMs:   uint32(math.Ceil(float64(f.Age)/float64(time.Millisecond))) + 1,
			Running: uint32(f.Load.Running), Waiting: uint32(f.Load.Waiting), Slots: uint32(f.Load.Slots),
			SlowdownPercent: uint32(math.Round(f.Load.Slowdown * usualPercent)), ServiceTimeMs: uint32(f.ServiceTime.Milliseconds()),
		}
		if f.QueueKnown {
			p.QueueLength = uint32(f.QueueLength) + 1
		}
		byName[f.Endpoint] = p
		converted = append(converted, p)
	}
	for _, d := range demands {
		p, ok := byName[d.Endpoint]
		if !ok {
			p = &reservationv1.EndpointFact{Endpoint: d.Endpoint}
			converted = append(converted, p)
		}
		p.Offered, p.Accepted = uint64(math.Round(d.Offered*demandScale)), uint64(math.Round(d.Accepted*demandScale))
	}
	return converted
}

func factsFromProto(converted []*reservationv1.EndpointFact) ([]endpoint.Fact, []endpoint.Demand) {
	var facts []endpoint.Fact
	var demands []endpoint.Demand
	for _, p := range converted {
		if p.GetAgeMs() > 0 {
			facts = append(facts, endpoint.Fact{
				Endpoint: p.GetEndpoint(),
				Load: endpoint.Load{
					Running: int(p.GetRunning()), Waiting: int(p.GetWaiting()), Slots: int(p.GetSlots()),
					Slowdown: float64(p.GetSlowdownPercent()) / usualPercent,
				},
				ServiceTime: time.Duration(p.GetServiceTimeMs()) * time.Millisecond,
				QueueKnown:  p.GetQueueLength() > 0, QueueLength: max(0, int(p.GetQueueLength())-1),
				Age: time.Duration(p.GetAgeMs()-1) * time.Millisecond,
			})
		}
		if p.GetOffered() > 0 {
			demands = append(demands, endpoint.Demand{
				Endpoint: p.GetEndpoint(), Offered: float64(p.GetOffered()) / demandScale, Accepted: float64(p.GetAccepted()) / demandScale,
			})
		}
	}
	return facts, demands
}

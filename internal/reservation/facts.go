package reservation

import (
	"slices"
	"time"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
)

// Facts holds what a VM knows of plain endpoints.
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
	request.Facts, request.Demands = factsToProto(facts), demandsToProto(demands)
}

// exchangeFacts records the facts of a heartbeat and adds those of other VMs to the response.
func (s *Service) exchangeFacts(request *reservationv1.HeartbeatRequest, response *reservationv1.HeartbeatResponse) {
	if s.params.Facts == nil || !request.GetSharesFacts() {
		return
	}
	s.params.Facts.LearnFacts(request.GetVm(), factsFromProto(request.GetFacts()), time.Now())
	s.params.Facts.LearnDemand(request.GetVm(), request.GetIncarnation(), demandsFromProto(request.GetDemands()))
	facts, sums := s.params.Facts.ForeignFacts(request.GetVm())
	response.Facts, response.Demands = factsToProto(facts), demandsToProto(sums)
}

// learnFacts records the facts of a response. Their ages count from the time at which the
// heartbeat was sent, so that the time of the call makes no fact look newer than it is.
func (s *Service) learnFacts(vm string, response *reservationv1.HeartbeatResponse, sent time.Time) {
	if s.params.Facts == nil {
		return
	}
	s.params.Facts.LearnFacts(vm, factsFromProto(response.GetFacts()), sent)
	s.params.Facts.LearnSums(demandsFromProto(response.GetDemands()), sent)
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

func factsToProto(facts []endpoint.Fact) []*reservationv1.EndpointFact {
	converted := make([]*reservationv1.EndpointFact, 0, len(facts))
	for _, f := range facts {
		converted = append(converted, &reservationv1.EndpointFact{
			Endpoint: f.Endpoint, Running: int32(f.Load.Running), Waiting: int32(f.Load.Waiting), Slots: int32(f.Load.Slots),
			Slowdown: float32(f.Load.Slowdown), ServiceTimeUs: f.ServiceTime.Microseconds(),
			QueueKnown: f.QueueKnown, QueueLength: int32(f.QueueLength), AgeUs: f.Age.Microseconds(),
		})
	}
	return converted
}

func factsFromProto(facts []*reservationv1.EndpointFact) []endpoint.Fact {
	converted := make([]endpoint.Fact, 0, len(facts))
	for _, f := range facts {
		converted = append(converted, endpoint.Fact{
			Endpoint: f.GetEndpoint(),
			Load: endpoint.Load{
				Running: int(f.GetRunning()), Waiting: int(f.GetWaiting()), Slots: int(f.GetSlots()), Slowdown: float64(f.GetSlowdown()),
			},
			ServiceTime: time.Duration(f.GetServiceTimeUs()) * time.Microsecond,
			QueueKnown:  f.GetQueueKnown(), QueueLength: int(f.GetQueueLength()),
			Age: time.Duration(f.GetAgeUs()) * time.Microsecond,
		})
	}
	return converted
}

func demandsToProto(demands []endpoint.Demand) []*reservationv1.EndpointDemand {
	converted := make([]*reservationv1.EndpointDemand, 0, len(demands))
	for _, d := range demands {
		converted = append(converted, &reservationv1.EndpointDemand{Endpoint: d.Endpoint, Offered: d.Offered, Accepted: d.Accepted})
	}
	return converted
}

func demandsFromProto(demands []*reservationv1.EndpointDemand) []endpoint.Demand {
	converted := make([]endpoint.Demand, 0, len(demands))
	for _, d := range demands {
		converted = append(converted, endpoint.Demand{Endpoint: d.GetEndpoint(), Offered: d.GetOffered(), Accepted: d.GetAccepted()})
	}
	return converted
}

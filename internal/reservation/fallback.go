package reservation

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// shareScheduler returns the scheduler of this VM's static share of a model's
// engines, which is used while no owner can be reached.
func (s *Service) shareScheduler(model string) (*modelScheduler, error) {
	modelConfig, known := s.params.Fleet().Model(model)
	if !known {
		return nil, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
	}
	s.mu.Lock()
	sched, ok := s.shareSchedulers[model]
	if !ok {
		sched = newModelScheduler(scheduling.Settings{Model: *modelConfig, Options: s.params.Scheduling}, nil)
		s.configure(model, sched, s.zoneVMCount())
		s.shareSchedulers[model] = sched
	}
	s.mu.Unlock()
	if !ok {
		s.renewShareHoldings()
	}
	return sched, nil
}

// activeShareScheduler returns the scheduler of the static share for a route in
// this VM's zone, nil if none is in use.
func (s *Service) activeShareScheduler(key routeKey) *modelScheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key.zone != s.self().Zone {
		return nil
	}
	return s.shareSchedulers[key.model]
}

// renewShareHoldings renews this VM's grants in the schedulers of its static
// shares, including grants made by owners, so that a share accounts for all
// slots that the VM uses of an engine.
func (s *Service) renewShareHoldings() {
	self := s.self()
	s.mu.Lock()
	shares := copyOf(s.shareSchedulers)
	s.mu.Unlock()
	for model, sched := range shares {
		held := s.holdings.forRoute(routeKey{self.Zone, model})
		sched.update(func(now time.Time, c *scheduling.Coordinator) {
			c.Renew(now, self.VM, self.Incarnation, held)
		})
	}
}

// zoneVMCount returns the number of entry VMs of this VM's zone in the
// configuration. It does not use the membership view, because a partitioned VM
// sees too few members.
func (s *Service) zoneVMCount() int {
	return max(1, len(s.params.Fleet().EntryVMs(s.self().Zone)))
}

// shareIndex returns the position of this VM among the zone's entry VMs.
func (s *Service) shareIndex() int {
	names := slices.Sorted(slices.Values(s.params.Fleet().EntryVMs(s.self().Zone)))
	return max(0, slices.Index(names, s.self().VM))
}

// limitToShare limits each engine to one of several equal shares. The
// remaining slots are assigned to the VMs in turn, shifted by one VM from
// engine to engine, so that the shares add up to the engine's slots and no VM
// gets all of the remainder.
func limitToShare(states []scheduling.EngineState, index, parts int) {
	engines := 0
	for i := range states {
		state := &states[i]
		state.Limit *= limitShare / float64(parts)
		state.LimitStagger = (float64(index) + 0.5) / float64(parts)
		if state.Role != configuration.RoleDecode {
			continue
		}
		limit := state.Slots / parts
		if (index+engines)%parts < state.Slots%parts {
			limit++
		}
		engines++
		if limit == 0 {
			// Not Ejected: a demand for a build would wait for its engines.
			state.Leaving = true
			continue
		}
		if state.SlotLimit > 0 {
			limit = min(limit, state.SlotLimit)
		}
		state.SlotLimit = limit
	}
}

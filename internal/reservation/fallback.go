package reservation

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// share returns this VM's coordinator of its static share of a model's engines,
// which serves while no owner can be reached.
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

// shareOf returns the share of a model in the own zone, nil if none is in use.
func (s *Service) activeShareScheduler(key routeKey) *modelScheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key.zone != s.self().Zone {
		return nil
	}
	return s.shareSchedulers[key.model]
}

// renewShares tells the shares what this VM holds, whoever granted it, so that
// a share counts against all that the VM uses of an engine.
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

// zoneSize returns the number of entry VMs of the own zone in the
// configuration. It does not follow the members seen, because a VM that is cut
// off sees too few.
func (s *Service) zoneVMCount() int {
	return max(1, len(s.params.Fleet().EntryVMs(s.self().Zone)))
}

// shareIndex returns the position of this VM among the zone's entry VMs.
func (s *Service) shareIndex() int {
	names := slices.Sorted(slices.Values(s.params.Fleet().EntryVMs(s.self().Zone)))
	return max(0, slices.Index(names, s.self().VM))
}

// takeShare limits each decode engine to one of several equal parts. The slots
// left over go to the VMs in turn, shifted from engine to engine, so that the
// parts add up to the engine and no VM gets them all.
func limitToShare(states []scheduling.EngineState, index, parts int) {
	engines := 0
	for i := range states {
		state := &states[i]
		if state.Role != configuration.RoleDecode {
			continue
		}
		limit := state.Slots / parts
		if (index+engines)%parts < state.Slots%parts {
			limit++
		}
		engines++
		if limit == 0 {
			state.Ejected = true
			continue
		}
		if state.SlotLimit > 0 {
			limit = min(limit, state.SlotLimit)
		}
		state.SlotLimit = limit
	}
}

package reservation

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// ownedScheduler returns this VM's scheduler of a model that it owns. If there
// is none, it creates one whose ledger has to be rebuilt first. A VM that does
// not know the fleet yet counts as no owner: it would refuse demands for lack of
// engines that exist.
func (s *Service) ownedScheduler(model string) (*modelScheduler, error) {
	fleet := s.params.Fleet()
	if !fleet.Known() {
		return nil, NotOwner.New("%s does not know the engines of %s yet", s.self().VM, model)
	}
	modelConfig, known := fleet.Model(model)
	if !known {
		return nil, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
	}
	s.mu.Lock()
	if !s.ownsModel(model) {
		s.mu.Unlock()
		return nil, NotOwner.New("%s is not owned by %s", model, s.self().VM)
	}
	sched, ok := s.ownedSchedulers[model]
	if !ok {
		zone := s.self().Zone
		members := func() []string { return zoneMembers(s.params.View, zone) }
		sched = newModelScheduler(scheduling.Settings{Model: *modelConfig, Options: s.params.Scheduling}, newRebuild(time.Now(), members))
		// Configured before other calls can use it: without engines it would
		// refuse their demands.
		s.configure(model, sched, 1)
		s.ownedSchedulers[model] = sched
		s.counters.OwnershipGained.Add(1)
	}
	s.mu.Unlock()
	if !ok {
		s.renewOwnedHoldings(routeKey{s.self().Zone, model})
	}
	return sched, nil
}

// refreshEngines reads the engines' states again.
func (s *Service) refreshEngines() {
	s.mu.Lock()
	owners := copyOf(s.ownedSchedulers)
	shares := copyOf(s.shareSchedulers)
	s.mu.Unlock()
	for model, sched := range owners {
		s.configure(model, sched, 1)
	}
	for model, sched := range shares {
		s.configure(model, sched, s.zoneVMCount())
	}
}

func copyOf(owners map[string]*modelScheduler) map[string]*modelScheduler {
	copied := make(map[string]*modelScheduler, len(owners))
	for model, sched := range owners {
		copied[model] = sched
	}
	return copied
}

// configure sets the model and the engines of a scheduler. With several parts,
// the scheduler gets this VM's share of each engine.
func (s *Service) configure(model string, sched *modelScheduler, parts int) {
	fleet := s.params.Fleet()
	states := engineStates(fleet, s.params.Conditions, model, s.self().Zone)
	s.setLimits(states)
	if parts > 1 {
		limitToShare(states, s.shareIndex(), parts)
	}
	modelConfig, known := fleet.Model(model)
	sched.update(func(now time.Time, c *scheduling.Coordinator) {
		if known {
			c.SetModel(*modelConfig)
		}
		c.SetEngines(now, states)
	})
}

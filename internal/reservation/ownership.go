package reservation

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// own returns this VM's coordinator of a model that it owns, and makes one
// that has to be rebuilt if there is none.
func (s *Service) own(model string) (*owner, error) {
	figures, known := s.params.Fleet().Model(model)
	if !known {
		return nil, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
	}
	s.mu.Lock()
	if !s.ownsModel(model) {
		s.mu.Unlock()
		return nil, NotOwner.New("%s is not owned by %s", model, s.self().VM)
	}
	o, ok := s.owners[model]
	if !ok {
		zone := s.self().Zone
		members := func() []string { return zoneMembers(s.params.View, zone) }
		o = newOwner(scheduling.Settings{Model: *figures, Options: s.params.Scheduling}, newRebuild(time.Now(), members))
		// Configured before others find it: without engines it would refuse them.
		s.configure(model, o, 1)
		s.owners[model] = o
		s.counters.OwnershipGained.Add(1)
	}
	s.mu.Unlock()
	if !ok {
		s.renewOwn(routeKey{s.self().Zone, model})
	}
	return o, nil
}

// refreshEngines reads the engines' states again.
func (s *Service) refreshEngines() {
	s.mu.Lock()
	owners := copyOf(s.owners)
	shares := copyOf(s.shares)
	s.mu.Unlock()
	for model, o := range owners {
		s.configure(model, o, 1)
	}
	for model, o := range shares {
		s.configure(model, o, s.zoneSize())
	}
}

func copyOf(owners map[string]*owner) map[string]*owner {
	copied := make(map[string]*owner, len(owners))
	for model, o := range owners {
		copied[model] = o
	}
	return copied
}

// configure sets the engines of a coordinator that has one part of several of
// each engine.
func (s *Service) configure(model string, o *owner, parts int) {
	fleet := s.params.Fleet()
	states := engineStates(fleet, s.params.Conditions, model, s.self().Zone)
	if parts > 1 {
		takeShare(states, s.shareIndex(), parts)
	}
	figures, known := fleet.Model(model)
	o.update(func(now time.Time, c *scheduling.Coordinator) {
		if known {
			c.SetModel(*figures)
		}
		c.SetEngines(now, states)
	})
}

// Package reservation carries scheduling decisions between the entry VMs of an
// availability zone.
//
// One VM of the zone owns the engines of a model. All VMs find it by rendezvous
// hashing over the members they see, reserve through it and send it heartbeats
// of what they hold.
package reservation

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Reserver decides which engines a model-backed request uses.
type Reserver interface {
	// Reserve blocks while the demand waits. A demand that is not granted
	// returns a *scheduling.Refusal; nothing ran for it. The end of ctx
	// withdraws the demand.
	Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error)
	// Progress reports what the holder observes. It does not block.
	Progress(p scheduling.Progress)
}

// Params are the inputs of a Service.
type Params struct {
	View   membership.View
	Dialer peer.Dialer
	// Fleet returns the configuration in force.
	Fleet func() Fleet
	// Conditions may be nil.
	Conditions Conditions
}

// Service is a Reserver that takes part in the ownership of its zone.
type Service struct {
	params Params

	mu     sync.Mutex
	owners map[string]*owner
	held   map[engine.AttemptID]*scheduling.Held
}

// New returns a service that does nothing until Run.
func New(params Params) *Service {
	return &Service{
		params: params,
		owners: make(map[string]*owner),
		held:   make(map[engine.AttemptID]*scheduling.Held),
	}
}

// Run keeps grants renewed until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return
		case <-ticker.C:
			s.heartbeat()
			s.refresh()
		}
	}
}

// Reserve implements Reserver.
func (s *Service) Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	o, err := s.ownerOf(d.Model)
	if err != nil {
		return scheduling.Grant{}, err
	}
	grant, err := o.reserve(ctx, d)
	if err != nil {
		return scheduling.Grant{}, err
	}
	s.hold(d, grant)
	return grant, nil
}

// Progress implements Reserver.
func (s *Service) Progress(p scheduling.Progress) {
	s.track(p)
	for _, o := range s.allOwners() {
		o.update(func(now time.Time, c *scheduling.Coordinator) { c.Progress(now, p) })
	}
}

// ObserveLoad passes an engine's load report on.
func (s *Service) ObserveLoad(name string, report engine.LoadReport) {
	for _, o := range s.allOwners() {
		o.update(func(now time.Time, c *scheduling.Coordinator) { c.ObserveLoad(now, name, report) })
	}
}

// hold records a grant for the heartbeats.
func (s *Service) hold(d scheduling.Demand, grant scheduling.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[d.ID] = &scheduling.Held{
		ID:            d.ID,
		Team:          d.Team,
		Class:         d.Class,
		Prefill:       grant.Prefill,
		Decode:        grant.Decode,
		PromptTokens:  d.PromptTokens,
		OutputTokens:  d.OutputTokens,
		BetweenTokens: d.Targets.BetweenTokens.D(),
	}
}

// track follows the phase of a held attempt.
func (s *Service) track(p scheduling.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[p.ID]
	if !ok {
		return
	}
	switch p.Kind {
	case scheduling.PrefillDone:
		h.Phase = scheduling.PhaseTransfer
	case scheduling.FirstTokenSeen:
		h.Phase = scheduling.PhaseDecode
	case scheduling.Released:
		delete(s.held, p.ID)
	}
}

// heartbeat renews all that this VM holds.
func (s *Service) heartbeat() {
	held := s.heldNow()
	self := s.params.View.Self()
	for _, o := range s.allOwners() {
		o.update(func(now time.Time, c *scheduling.Coordinator) {
			c.Renew(now, self.VM, self.Incarnation, held)
		})
	}
}

func (s *Service) heldNow() []scheduling.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]scheduling.Held, 0, len(s.held))
	for _, h := range s.held {
		held = append(held, *h)
	}
	return held
}

// refresh reads the engines' states again.
func (s *Service) refresh() {
	s.mu.Lock()
	models := make(map[string]*owner, len(s.owners))
	for model, o := range s.owners {
		models[model] = o
	}
	s.mu.Unlock()
	for model, o := range models {
		s.configure(model, o)
	}
}

func (s *Service) configure(model string, o *owner) {
	fleet := s.params.Fleet()
	states := engineStates(fleet, s.params.Conditions, model, s.params.View.Self().Zone)
	figures, ok := fleet.Model(model)
	o.update(func(now time.Time, c *scheduling.Coordinator) {
		if ok {
			c.SetModel(*figures)
		}
		c.SetEngines(now, states)
	})
}

// ownerOf returns the owner of a model and makes it on first use.
func (s *Service) ownerOf(model string) (*owner, error) {
	s.mu.Lock()
	o, ok := s.owners[model]
	s.mu.Unlock()
	if ok {
		return o, nil
	}
	figures, known := s.params.Fleet().Model(model)
	if !known {
		return nil, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
	}
	s.mu.Lock()
	o, ok = s.owners[model]
	if !ok {
		o = newOwner(scheduling.Settings{Model: *figures})
		s.owners[model] = o
	}
	s.mu.Unlock()
	s.configure(model, o)
	return o, nil
}

func (s *Service) allOwners() []*owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*owner, 0, len(s.owners))
	for _, o := range s.owners {
		all = append(all, o)
	}
	return all
}

func (s *Service) stop() {
	for _, o := range s.allOwners() {
		o.stop()
	}
}

// Package reservation reserves engines for requests across the entry VMs of an
// availability zone.
//
// For each model, one VM of the zone owns the engines. All VMs determine the
// owner by rendezvous hashing over the members in their view. They reserve
// engines from it and send it heartbeats that list the grants they hold. A new
// owner rebuilds its ledger from these heartbeats. A VM that reaches no owner
// falls back to a static share of each engine.
package reservation

import (
	"context"
	"sync"
	"time"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Reserver decides which engines a request to a model uses.
type Reserver interface {
	// Reserve blocks while the demand waits. If the demand is not granted, the
	// error is a *scheduling.Refusal and nothing ran for it. The demand is
	// withdrawn when ctx ends.
	Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error)
	// Progress reports what the holder of a grant observes. It does not block.
	Progress(p scheduling.Progress)
}

// Params are the inputs of a Service.
type Params struct {
	View membership.View
	// Dialer may be nil if there is no other VM.
	Dialer peer.Dialer
	// Fleet returns the configuration in force.
	Fleet func() Fleet
	// Conditions may be nil.
	Conditions Conditions
	// Scheduling are the options of all coordinators.
	Scheduling scheduling.Options
	// Limits are the limits that endpoints name; nil if endpoints name none.
	Limits Limits
	// Facts holds what this VM has observed of plain endpoints, which it shares with the VMs of its
	// zone; nil if nothing is shared.
	Facts Facts
	// VMCount returns the number of entry VMs in all zones that have announced themselves.
	// It is used only with Limits.
	VMCount func() int
}

// Service is a Reserver that can own the models of its zone. It is safe for
// concurrent use.
type Service struct {
	params       Params
	router       *router
	holdings     *holdings
	counters     Counters
	spills       *spillPolicy
	incarnations *incarnationTracker
	limits       *endpointLimits

	mu              sync.Mutex
	ownedSchedulers map[string]*modelScheduler
	shareSchedulers map[string]*modelScheduler
	reporters       map[string]*progressReporter
	runContext      context.Context
	background      sync.WaitGroup
}

// New returns a service. Run must be running for grants to be renewed.
func New(params Params) *Service {
	return &Service{
		params:          params,
		router:          newRouter(params.View),
		holdings:        newHoldings(),
		spills:          newSpillPolicy(),
		incarnations:    newIncarnationTracker(),
		limits:          newEndpointLimits(),
		ownedSchedulers: make(map[string]*modelScheduler),
		shareSchedulers: make(map[string]*modelScheduler),
		reporters:       make(map[string]*progressReporter),
	}
}

// Run renews grants and follows changes of members and engines until ctx ends.
// Reserve calls that still wait then return an error.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.runContext = ctx
	s.mu.Unlock()
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		s.refresh()
		select {
		case <-ctx.Done():
			s.stop()
			return
		case <-ticker.C:
		}
	}
}

// Progress implements Reserver.
func (s *Service) Progress(p scheduling.Progress) {
	key, ok := s.holdings.recordProgress(p)
	if !ok {
		return
	}
	s.observeLimit(&p)
	s.report(key, p)
}

// Delivered records how many tokens of an attempt were delivered, which makes
// the prediction of its end exact. It costs one map access.
func (s *Service) Delivered(id engine.AttemptID, tokens int) {
	s.holdings.recordDelivered(id, tokens)
}

// ObserveLoad passes an engine's load report to this VM's schedulers. Owners
// need current reports of their engines at any time, and new owners
// immediately, so every VM passes on all its reports.
func (s *Service) ObserveLoad(name string, report engine.LoadReport) {
	for _, sched := range s.schedulers() {
		sched.update(func(now time.Time, c *scheduling.Coordinator) { c.ObserveLoad(now, name, report) })
	}
}

// CacheEvents passes prefix cache events of an engine to this VM's schedulers;
// gap reports that earlier events were lost.
func (s *Service) CacheEvents(name string, events []scheduling.CacheEvent, gap bool) {
	for _, sched := range s.schedulers() {
		sched.update(func(now time.Time, c *scheduling.Coordinator) { c.CacheEvents(now, name, events, gap) })
	}
}

// HolderGone releases all grants that an incarnation of an entry VM held in this
// VM's schedulers.
func (s *Service) HolderGone(vm string, incarnation uint64) {
	for _, sched := range s.schedulers() {
		sched.update(func(now time.Time, c *scheduling.Coordinator) { c.HolderGone(now, vm, incarnation) })
	}
}

// report passes progress to the schedulers that may know the attempt.
func (s *Service) report(key routeKey, p scheduling.Progress) {
	if share := s.activeShareScheduler(key); share != nil {
		s.reportToShare(share, key.model, p)
	}
	member, ok := s.router.ownerOf(key)
	if !ok {
		return
	}
	if member.VM != s.self().VM {
		s.holdings.enqueue(key, p)
		s.reporterTo(member.VM).sendNow()
		return
	}
	if sched, err := s.ownedScheduler(key.model); err == nil {
		sched.progress(p)
	}
}

// reportToShare passes progress to a scheduler of a static share, which has a part of each
// limit only.
func (s *Service) reportToShare(share *modelScheduler, model string, p scheduling.Progress) {
	if p.Kind == scheduling.EngineLimit {
		s.configure(model, share, s.zoneVMCount())
		return
	}
	share.progress(p)
}

// refresh follows changes of ownership and of engines, renews this VM's grants
// in its own schedulers and ensures that each other owner has a progress
// reporter.
func (s *Service) refresh() {
	s.releaseLostModels()
	s.refreshEngines()
	s.limits.forget(time.Now())
	for _, key := range s.keys() {
		member, ok := s.router.ownerOf(key)
		if !ok {
			continue
		}
		if member.VM != s.self().VM {
			s.reporterTo(member.VM)
			continue
		}
		s.renewOwnedHoldings(key)
	}
	s.renewShareHoldings()
	s.learnOwnDemand()
}

// renewOwnedHoldings renews this VM's grants in its own scheduler of a model.
func (s *Service) renewOwnedHoldings(key routeKey) {
	if !s.router.settled(key) {
		return
	}
	if sched, err := s.ownedScheduler(key.model); err == nil {
		sched.heartbeat(s.self().VM, s.self().Incarnation, s.holdings.forRoute(key))
	}
}

// releaseLostModels stops the schedulers of models that another VM owns now.
func (s *Service) releaseLostModels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for model, sched := range s.ownedSchedulers {
		if !s.ownsModel(model) {
			sched.stop()
			delete(s.ownedSchedulers, model)
			s.counters.OwnershipLost.Add(1)
		}
	}
}

// ownsModel reports whether this VM owns a model of its zone.
func (s *Service) ownsModel(model string) bool {
	member, ok := s.router.ownerOf(routeKey{s.self().Zone, model})
	return ok && member.VM == s.self().VM
}

// keys returns the routes of this VM's zone, and the other routes on which it
// has grants or pending progress.
func (s *Service) keys() []routeKey {
	var keys []routeKey
	seen := make(map[routeKey]bool)
	for _, model := range s.params.Fleet().Models() {
		key := routeKey{s.self().Zone, model}
		seen[key] = true
		keys = append(keys, key)
	}
	for _, key := range s.holdings.keys() {
		if !seen[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// keysOwnedBy returns the settled routes that a VM owns, to which grants held
// may be reported.
func (s *Service) keysOwnedBy(vm string) []routeKey {
	var owned []routeKey
	for _, key := range s.keys() {
		member, ok := s.router.ownerOf(key)
		if ok && member.VM == vm && s.router.settled(key) {
			owned = append(owned, key)
		}
	}
	return owned
}

func (s *Service) heartbeatRequest() *reservationv1.HeartbeatRequest {
	self := s.self()
	return &reservationv1.HeartbeatRequest{Vm: self.VM, Incarnation: self.Incarnation}
}

// modelHoldings lists all grants held on a route, in full or short records.
func (s *Service) modelHoldings(key routeKey, full bool) *reservationv1.ModelHoldings {
	list := &reservationv1.ModelHoldings{Model: key.model}
	for _, held := range s.holdings.forRoute(key) {
		if !full {
			held = scheduling.Held{ID: held.ID, Phase: held.Phase, Delivered: held.Delivered}
		}
		list.Held = append(list.Held, heldToProto(&held))
	}
	return list
}

func (s *Service) self() membership.Member { return s.params.View.Self() }

// schedulers returns all schedulers of this VM: of owned models and of static
// shares.
func (s *Service) schedulers() []*modelScheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	schedulers := make([]*modelScheduler, 0, len(s.ownedSchedulers)+len(s.shareSchedulers))
	for _, sched := range s.ownedSchedulers {
		schedulers = append(schedulers, sched)
	}
	for _, sched := range s.shareSchedulers {
		schedulers = append(schedulers, sched)
	}
	return schedulers
}

func (s *Service) stop() {
	for _, sched := range s.schedulers() {
		sched.stop()
	}
	s.background.Wait()
}

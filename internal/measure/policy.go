package measure

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// RouterPolicy is the name of the policy that daemons use.
const RouterPolicy = scheduling.PolicyReservation

// baselineLoadPeriod is the minimum age of load reports before a baseline reads
// them again. It equals the interval at which daemons poll them.
const baselineLoadPeriod = 500 * time.Millisecond

// baseline assigns the engines of an entry VM's zone to its requests by a policy
// with which RouterPolicy is compared. It implements completion.Reserver.
type baseline struct {
	site *localsite.Site
	zone string
	name string
	seed uint64

	mu     sync.Mutex
	models map[string]*baselineModel
}

// baselineModel is the policy's state for one model.
type baselineModel struct {
	policy scheduling.Policy
	// engines are the names of the zone's engines.
	engines []string
	// lastRead is the time of the last read of the load reports.
	lastRead time.Time
}

var _ completion.Reserver = (*baseline)(nil)

// reserverOf returns the Reserver option of a site for a policy, nil for
// RouterPolicy.
func reserverOf(policy string, seed uint64) func(*localsite.Site, configuration.VM) completion.Reserver {
	if policy == RouterPolicy {
		return nil
	}
	return func(site *localsite.Site, vm configuration.VM) completion.Reserver {
		seed++
		return &baseline{site: site, zone: vm.Zone, name: policy, seed: seed, models: make(map[string]*baselineModel)}
	}
}

// Reserve implements completion.Reserver.
func (b *baseline) Reserve(_ context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, err := b.model(d.Model)
	if err != nil {
		return scheduling.Grant{}, err
	}
	now := time.Now()
	b.readLoads(now, m)
	outcome := m.policy.Submit(now, d)
	if outcome.Refusal != nil {
		return scheduling.Grant{}, outcome.Refusal
	}
	return *outcome.Grant, nil
}

// Progress implements completion.Reserver.
func (b *baseline) Progress(scheduling.Progress) {}

// Delivered implements completion.Reserver. It does nothing because baselines do
// not predict when requests end.
func (b *baseline) Delivered(engine.AttemptID, int) {}

// model returns the state for a model. The first demand for a model creates it.
func (b *baseline) model(name string) (*baselineModel, error) {
	if m, ok := b.models[name]; ok {
		return m, nil
	}
	policy, err := scheduling.NewPolicy(b.name, scheduling.Settings{Seed: b.seed})
	if err != nil {
		return nil, err
	}
	m := &baselineModel{policy: policy}
	var states []scheduling.EngineState
	for i := range b.site.Bundle.Fleet.Endpoints {
		e := &b.site.Bundle.Fleet.Endpoints[i]
		if e.Kind == configuration.KindEngine && e.Model == name && e.Zone == b.zone {
			states = append(states, scheduling.EngineStateOf(e))
			m.engines = append(m.engines, e.Name)
		}
	}
	policy.SetEngines(time.Now(), states)
	b.models[name] = m
	return m, nil
}

// readLoads passes the load reports of the engines to the policy, at most once
// per baselineLoadPeriod.
func (b *baseline) readLoads(now time.Time, m *baselineModel) {
	if now.Sub(m.lastRead) < baselineLoadPeriod {
		return
	}
	m.lastRead = now
	for _, name := range m.engines {
		report := b.site.Platform.Engines[name].Load()
		m.policy.ObserveLoad(now, name, engine.LoadReport{
			Slots:   report.Slots,
			Active:  report.Active,
			Queued:  report.Queued,
			Leaving: report.Leaving,
		})
	}
}

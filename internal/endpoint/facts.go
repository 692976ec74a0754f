package endpoint

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxFactAge is the age up to which facts are passed on. A renewal every 250 ms carries what
	// was observed since the one before, also if one was lost.
	maxFactAge = 500 * time.Millisecond
	// maxFacts bounds the facts in one message.
	maxFacts = 64
	// demandMemory is how long the totals of a VM that reports no more are kept.
	demandMemory = 10 * time.Second
)

// Fact is what a VM observed of a plain endpoint.
type Fact struct {
	Endpoint string
	Load     Load
	// ServiceTime is the usual service time; 0 if not known.
	ServiceTime time.Duration
	// QueueKnown means that the endpoint declined requests while QueueLength others waited.
	QueueKnown  bool
	QueueLength int
	// Age is the time since the endpoint stated the load.
	Age time.Duration
}

// Demand is the number of requests that were offered to an endpoint, also if they were not sent,
// and of those that it accepted.
type Demand struct {
	Endpoint          string
	Offered, Accepted float64
}

// newestLoad is the newest known load of an endpoint.
type newestLoad struct {
	Load
	at time.Time
	// vm is the VM that observed it, empty for this one.
	vm string
}

// OwnFacts returns what this VM observed lately, and the totals of what it offered since its
// start.
func (r *Registry) OwnFacts() ([]Fact, []Demand) {
	var facts []Fact
	var demands []Demand
	now := r.now()
	r.states.Range(func(key, value any) bool {
		s := value.(*State)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.newest.vm == "" && s.fresh(now) {
			facts = append(facts, s.fact(key.(string), now))
		}
		if s.offered > 0 && now.Sub(s.demandAt) <= maxFactAge {
			demands = append(demands, Demand{key.(string), s.offered, s.accepted})
		}
		return true
	})
	return newestFacts(facts), demands[:min(len(demands), maxFacts)]
}

// ForeignFacts returns what VMs other than the named one observed lately, and the sums of what
// all VMs that report to this one offered.
func (r *Registry) ForeignFacts(vm string) ([]Fact, []Demand) {
	var facts []Fact
	now := r.now()
	r.states.Range(func(key, value any) bool {
		s := value.(*State)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.newest.vm != vm && s.fresh(now) {
			facts = append(facts, s.fact(key.(string), now))
		}
		return true
	})
	return newestFacts(facts), r.demand.sums(now)
}

// sharedLoad reports whether the newest load of an endpoint is known from another VM.
func (r *Registry) sharedLoad(name string) bool {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.vm != ""
}

// fresh reports whether the newest load is to be passed on.
func (s *State) fresh(now time.Time) bool {
	return !s.newest.at.IsZero() && now.Sub(s.newest.at) <= maxFactAge
}

func (s *State) fact(name string, now time.Time) Fact {
	return Fact{
		Endpoint: name, Load: s.newest.Load, ServiceTime: s.service.mean,
		QueueKnown: s.queue.known, QueueLength: s.queue.length, Age: max(0, now.Sub(s.newest.at)),
	}
}

// newestFacts returns the newest facts up to maxFacts.
func newestFacts(facts []Fact) []Fact {
	if len(facts) > maxFacts {
		slices.SortFunc(facts, func(x, y Fact) int { return int(x.Age - y.Age) })
		facts = facts[:maxFacts]
	}
	return facts
}

// LearnFacts records what another VM observed. The ages count from a time. Older facts than those
// known change nothing.
func (r *Registry) LearnFacts(vm string, facts []Fact, from time.Time) {
	now := r.now()
	for _, fact := range facts {
		at := from.Add(-max(0, fact.Age))
		if at.After(now) {
			at = now
		}
		s := r.get(fact.Endpoint)
		s.mu.Lock()
		if at.After(s.newest.at) {
			s.observeLoad(at, fact.Load, vm)
			s.service.adopt(fact.ServiceTime)
			if fact.QueueKnown {
				s.queue = queueLength{known: true, length: max(0, fact.QueueLength)}
			}
			r.Counters.FactsLearned.Add(1)
		}
		s.mu.Unlock()
	}
}

// LearnDemand records the totals of a VM that reports to this one. Totals of an earlier
// incarnation do not count any more.
func (r *Registry) LearnDemand(vm string, incarnation uint64, totals []Demand) {
	r.demand.learn(r.now(), vm, incarnation, totals)
}

// LearnSums records the sums of the zone, as of a time.
func (r *Registry) LearnSums(demands []Demand, at time.Time) {
	for _, d := range demands {
		s := r.get(d.Endpoint)
		s.mu.Lock()
		if !at.Before(s.zone.at) {
			s.zone = sums{offered: d.Offered, accepted: d.Accepted, at: at}
		}
		s.mu.Unlock()
	}
}

// zoneDemand sums up the totals that VMs report. It is safe for concurrent use.
type zoneDemand struct {
	mu    sync.Mutex
	vms   map[string]*reportedTotals
	total map[string]*sums
}

// reportedTotals are the last totals of one VM.
type reportedTotals struct {
	incarnation uint64
	at          time.Time
	totals      map[string]Demand
}

// learn adds the growth of a VM's totals to the sums. The first totals of a VM only set where
// it began.
func (z *zoneDemand) learn(now time.Time, vm string, incarnation uint64, totals []Demand) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.forget(now)
	last, known := z.vms[vm]
	if known && last.incarnation > incarnation {
		return
	}
	if !known || last.incarnation != incarnation {
		last = &reportedTotals{incarnation: incarnation, totals: make(map[string]Demand)}
		z.vms[vm] = last
	}
	last.at = now
	for _, d := range totals {
		before, seen := last.totals[d.Endpoint]
		last.totals[d.Endpoint] = d
		sum, ok := z.total[d.Endpoint]
		if !ok {
			sum = &sums{}
			z.total[d.Endpoint] = sum
		}
		if seen {
			sum.add(now, max(0, d.Offered-before.Offered), max(0, d.Accepted-before.Accepted), sumDecay)
		}
	}
}

// forget drops VMs and endpoints of which nothing was reported for demandMemory.
func (z *zoneDemand) forget(now time.Time) {
	if z.vms == nil {
		z.vms, z.total = make(map[string]*reportedTotals), make(map[string]*sums)
	}
	for name, vm := range z.vms {
		if now.Sub(vm.at) > demandMemory {
			delete(z.vms, name)
		}
	}
	for name, sum := range z.total {
		if !sum.at.IsZero() && now.Sub(sum.at) > demandMemory {
			delete(z.total, name)
		}
	}
}

// sums returns the sums of all endpoints with enough requests to derive a ratio.
func (z *zoneDemand) sums(now time.Time) []Demand {
	z.mu.Lock()
	defer z.mu.Unlock()
	var demands []Demand
	for name, sum := range z.total {
		sum.add(now, 0, 0, sumDecay)
		if sum.offered >= minSum && len(demands) < maxFacts {
			demands = append(demands, Demand{name, sum.offered, sum.accepted})
		}
	}
	return demands
}

package endpoint

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// These tests simulate a plain service behind 62 VMs in three zones, without a network. Unlike
// the simulation in spill_sim_test.go, a declined request is sent to one more endpoint, a caller
// that is refused comes back at once, and VMs share facts through one VM of their zone.

const (
	poolVMs       = 62
	poolZones     = 3
	poolPeriod    = 250 * time.Millisecond
	poolDuration  = 30 * time.Second
	poolDeadline  = time.Second
	poolAttempts  = 2
	poolCallDelay = 2 * time.Millisecond
)

// poolLoad is one case of the simulation.
type poolLoad struct {
	name    string
	servers int
	queue   int
	// perSecond returns the arrivals per second of all callers.
	perSecond func(at time.Duration) float64
	// slow is the factor by which the first server is slower than the others; statesSlowdown
	// says that endpoints state their slowdowns.
	slow           float64
	statesSlowdown bool
	// flaps makes the first server decline everything every other second.
	flaps bool
}

// poolResult counts callers' requests by outcome, and arrivals at endpoints.
type poolResult struct {
	requests, onTime, late, refused int
	arrivals, declined, early       int
}

func (r poolResult) String() string {
	return fmt.Sprintf("requests %d, in time %d (%.3f), late %d, refused %d; arrivals %d, declined %d (%.3f), refused early %d",
		r.requests, r.onTime, float64(r.onTime)/float64(r.requests), r.late, r.refused,
		r.arrivals, r.declined, float64(r.declined)/float64(r.arrivals), r.early)
}

type poolServer struct {
	endpoint *configuration.Endpoint
	number   int
	running  int
	waiting  []*poolRequest
}

type poolRequest struct {
	vm       *poolVM
	arrived  time.Time
	sent     time.Time
	exclude  []string
	returned bool
	done     func()
}

type poolVM struct {
	*Registry
	zone int
}

type pool struct {
	load    poolLoad
	now     time.Time
	random  *rand.Rand
	events  simEvents
	number  int
	servers map[string]*poolServer
	all     []*configuration.Endpoint
	vms     []*poolVM
	result  poolResult
}

func simulatePool(seed uint64, load poolLoad) poolResult {
	p := &pool{load: load, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2)), servers: make(map[string]*poolServer)}
	for n := range load.servers {
		e := &configuration.Endpoint{Name: fmt.Sprint("e", n), Zone: fmt.Sprint(n % poolZones), Slots: simSlots}
		p.all = append(p.all, e)
		p.servers[e.Name] = &poolServer{endpoint: e, number: n}
	}
	for n := range poolVMs {
		vm := &poolVM{Registry: NewRegistry(timeline.Discard), zone: n % poolZones}
		vm.now = func() time.Time { return p.now }
		vm.random = p.random.Float64
		p.vms = append(p.vms, vm)
	}
	p.share()
	p.arrivals()
	for end := p.now.Add(poolDuration); p.now.Before(end); {
		next := heap.Pop(&p.events).(simEvent)
		p.now = next.at
		next.do()
	}
	return p.result
}

func (p *pool) after(d time.Duration, do func()) {
	p.number++
	heap.Push(&p.events, simEvent{p.now.Add(d), p.number, do})
}

func (p *pool) elapsed() time.Duration { return p.now.Sub(time.Unix(1000, 0)) }

func (p *pool) arrivals() {
	rate := p.load.perSecond(p.elapsed())
	p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() {
		p.result.requests++
		p.send(&poolRequest{vm: p.vms[p.random.IntN(poolVMs)], arrived: p.now})
		p.arrivals()
	})
}

// send sends a request to an endpoint, unless none takes it.
func (p *pool) send(r *poolRequest) {
	chosen := p.choose(r)
	if chosen == nil {
		p.result.early++
		p.refuse(r)
		return
	}
	r.exclude = append(r.exclude, chosen.Name)
	r.sent, r.done = p.now, r.vm.Begin(chosen.Name)
	p.after(p.delay(r.vm, chosen), func() { p.arrive(p.servers[chosen.Name], r) })
}

func (p *pool) choose(r *poolRequest) *configuration.Endpoint {
	return r.vm.PickLeastLoaded(p.all, fmt.Sprint(r.vm.zone), r.exclude)
}

// refuse ends a request; its caller comes back once, at once and at any VM.
func (p *pool) refuse(r *poolRequest) {
	if r.returned {
		p.result.refused++
		return
	}
	p.after(poolCallDelay, func() {
		p.send(&poolRequest{vm: p.vms[p.random.IntN(poolVMs)], arrived: r.arrived, returned: true})
	})
}

func (p *pool) delay(vm *poolVM, e *configuration.Endpoint) time.Duration {
	if e.Zone == fmt.Sprint(vm.zone) {
		return 500 * time.Microsecond
	}
	return simRemoteDelay
}

func (p *pool) arrive(s *poolServer, r *poolRequest) {
	p.result.arrivals++
	down := p.load.flaps && s.number == 0 && int(p.elapsed()/time.Second)%2 == 1
	switch {
	case down || s.running >= simSlots && len(s.waiting) >= p.load.queue:
		p.result.declined++
		load := p.loadOf(s)
		p.after(p.delay(r.vm, s.endpoint), func() {
			r.done()
			p.observe(r.vm, s, load)
			r.vm.ObserveDecline(s.endpoint.Name)
			if len(r.exclude) < poolAttempts {
				p.send(r)
				return
			}
			p.refuse(r)
		})
	case s.running < simSlots:
		p.execute(s, r)
	default:
		s.waiting = append(s.waiting, r)
	}
}

func (p *pool) execute(s *poolServer, r *poolRequest) {
	s.running++
	work := float64(simServiceTime) * math.Exp(0.5*p.random.NormFloat64()-0.125) * p.slowdownOf(s)
	p.after(time.Duration(work), func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			p.execute(s, next)
		}
		load := p.loadOf(s)
		p.after(p.delay(r.vm, s.endpoint), func() {
			r.done()
			p.observe(r.vm, s, load)
			r.vm.Observe(s.endpoint.Name, p.names(), true, p.now.Sub(r.sent))
			if p.now.Sub(r.arrived) <= simObjective {
				p.result.onTime++
			} else {
				p.result.late++
			}
		})
	})
}

func (p *pool) slowdownOf(s *poolServer) float64 {
	if s.number == 0 && p.load.slow > 0 {
		return p.load.slow
	}
	return 1
}

func (p *pool) names() []string {
	names := make([]string, len(p.all))
	for i, e := range p.all {
		names[i] = e.Name
	}
	return names
}

func (p *pool) loadOf(s *poolServer) int { return s.running + len(s.waiting) }

func (p *pool) observe(vm *poolVM, s *poolServer, load int) { vm.ObserveLoad(s.endpoint.Name, load) }

func (p *pool) share() {}

// steady returns a load relative to the capacity of a number of servers.
func steady(servers int, load float64) func(time.Duration) float64 {
	capacity := float64(servers*simSlots) / simServiceTime.Seconds()
	return func(time.Duration) float64 { return load * capacity }
}

// bursts returns a load of 0.62 of the capacity with bursts of twice the load.
func bursts(servers int) func(time.Duration) float64 {
	usual := steady(servers, 0.62)
	return func(at time.Duration) float64 {
		if s := at.Seconds(); math.Mod(s, 12) >= 5 {
			return 2 * usual(at)
		}
		return usual(at)
	}
}

func poolLoads() []poolLoad {
	var loads []poolLoad
	for _, queue := range []int{24, 6} {
		for _, load := range []float64{0.7, 1, 1.5, 2} {
			loads = append(loads, poolLoad{name: fmt.Sprintf("six endpoints, queue %d, load %.1f", queue, load), servers: 6, queue: queue, perSecond: steady(6, load)})
		}
		loads = append(loads,
			poolLoad{name: fmt.Sprintf("six endpoints, queue %d, bursts", queue), servers: 6, queue: queue, perSecond: bursts(6)},
			poolLoad{name: fmt.Sprintf("six endpoints, queue %d, bursts, one flaps", queue), servers: 6, queue: queue, perSecond: bursts(6), flaps: true})
		for _, load := range []float64{0.4, 0.6, 1} {
			for _, states := range []bool{false, true} {
				loads = append(loads, poolLoad{
					name:    fmt.Sprintf("three endpoints, queue %d, one four times slower, stated %t, load %.1f", queue, states, load),
					servers: 3, queue: queue, perSecond: steady(3, load), slow: 4, statesSlowdown: states,
				})
			}
		}
	}
	return loads
}

func TestPlainEndpointsAreNotOverfilled(t *testing.T) {
	for _, load := range poolLoads() {
		t.Run(load.name, func(t *testing.T) {
			var sum poolResult
			for seed := range uint64(3) {
				r := simulatePool(seed, load)
				sum.requests += r.requests
				sum.onTime += r.onTime
				sum.late += r.late
				sum.refused += r.refused
				sum.arrivals += r.arrivals
				sum.declined += r.declined
				sum.early += r.early
			}
			t.Log(sum)
		})
	}
}

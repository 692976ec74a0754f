package endpoint

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	poolAttempts  = 2
	poolCallDelay = 2 * time.Millisecond
)

// poolLoad is one case of the simulation.
type poolLoad struct {
	name    string
	servers int
	queue   int
	// seconds is the simulated time, 12 if 0: one burst.
	seconds int
	// vms is the number of VMs, 62 if 0.
	vms int
	// peaks lets the demand of each zone in turn be three times that of the others, for 4 s.
	peaks bool
	// remaining is the part of the declines that may remain; 0 means that there are hardly any.
	remaining float64
	// perSecond returns the arrivals per second of all callers.
	perSecond func(at time.Duration) float64
	// slow is the factor by which the first server is slower than the others; statesSlowdown
	// is set if endpoints state their slowdowns.
	slow           float64
	statesSlowdown bool
	// alone makes VMs choose by what they observe themselves and send all requests.
	alone bool
	// flaps makes the first server decline everything every other second.
	flaps bool
}

// poolResult counts callers' requests by outcome, and arrivals at endpoints.
type poolResult struct {
	requests, onTime, late, refused int
	arrivals, declined, early       int
	// age is the sum of the ages of the figures on which choices were based.
	age time.Duration
}

// inTime returns the share of the requests that were answered in time.
func (r poolResult) inTime() float64 { return float64(r.onTime) / float64(r.requests) }

func (r poolResult) String() string {
	return fmt.Sprintf("requests %d, in time %d (%.3f), late %d, refused %d; arrivals %d, declined %d (%.3f), refused early %d",
		r.requests, r.onTime, r.inTime(), r.late, r.refused,
		r.arrivals, r.declined, float64(r.declined)/float64(r.arrivals), r.early)
}

type poolServer struct {
	endpoint *configuration.Endpoint
	number   int
	running  int
	waiting  []*poolRequest
}

type poolRequest struct {
	vm      *poolVM
	arrived time.Time
	sent    time.Time
	// work is the time that the request takes on an endpoint of usual speed, in nanoseconds.
	work     float64
	exclude  []string
	returned bool
	done     func()
}

type poolVM struct {
	*Registry
	zone int
}

type pool struct {
	load   poolLoad
	now    time.Time
	random *rand.Rand
	// demand draws arrivals and their work, so that these are the same whatever is chosen.
	demand  *rand.Rand
	events  simEvents
	number  int
	servers map[string]*poolServer
	all     []*configuration.Endpoint
	vms     []*poolVM
	result  poolResult
}

func simulatePool(load poolLoad) poolResult {
	p := &pool{load: load, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), demand: rand.New(rand.NewPCG(1, 3)), servers: make(map[string]*poolServer)}
	for n := range load.servers {
		e := &configuration.Endpoint{Name: fmt.Sprint("e", n), Zone: fmt.Sprint(n % poolZones), Slots: simSlots}
		p.all = append(p.all, e)
		p.servers[e.Name] = &poolServer{endpoint: e, number: n}
	}
	for n := range cmp.Or(load.vms, poolVMs) {
		vm := &poolVM{Registry: NewRegistry(timeline.Discard), zone: n % poolZones}
		vm.now = func() time.Time { return p.now }
		vm.random = p.random.Float64
		p.vms = append(p.vms, vm)
	}
	if !load.alone {
		p.share()
	}
	p.arrivals()
	for end := p.now.Add(time.Duration(cmp.Or(load.seconds, 12)) * time.Second); p.now.Before(end); {
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
	p.after(time.Duration(p.demand.ExpFloat64()/rate*float64(time.Second)), func() {
		p.result.requests++
		work := float64(simServiceTime) * math.Exp(0.5*p.demand.NormFloat64()-0.125)
		p.send(&poolRequest{vm: p.vms[p.origin()], arrived: p.now, work: work})
		p.arrivals()
	})
}

// origin returns the VM at which a request arrives.
func (p *pool) origin() int {
	vm := p.demand.IntN(len(p.vms))
	peak := int(p.elapsed()/(4*time.Second)) % poolZones
	if p.load.peaks && p.vms[vm].zone != peak && p.demand.IntN(3) > 0 {
		return p.origin()
	}
	return vm
}

// send sends a request to an endpoint, unless none takes it.
func (p *pool) send(r *poolRequest) {
	chosen := p.choose(r)
	if chosen == nil {
		p.result.early++
		p.refuse(r)
		return
	}
	p.result.age += r.vm.Stats(chosen.Name).ReportAge
	r.exclude = append(r.exclude, chosen.Name)
	r.sent, r.done = p.now, r.vm.Begin(chosen.Name)
	p.after(p.delay(r.vm, chosen), func() { p.arrive(p.servers[chosen.Name], r) })
}

func (p *pool) choose(r *poolRequest) *configuration.Endpoint {
	passedOver := slices.Clone(r.exclude)
	for {
		chosen := r.vm.PickLeastLoaded(p.all, fmt.Sprint(r.vm.zone), passedOver)
		if chosen == nil {
			return nil
		}
		if p.load.alone {
			return chosen
		}
		if _, ok := r.vm.Offer(chosen); ok {
			return chosen
		}
		passedOver = append(passedOver, chosen.Name)
	}
}

// refuse ends a request; its caller comes back once, at once and at any VM.
func (p *pool) refuse(r *poolRequest) {
	if r.returned {
		p.result.refused++
		return
	}
	p.after(poolCallDelay, func() {
		p.send(&poolRequest{vm: p.vms[p.random.IntN(len(p.vms))], arrived: r.arrived, work: r.work, returned: true})
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
			r.vm.ObserveDecline(s.endpoint.Name, &load)
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
	p.after(time.Duration(r.work*p.slowdownOf(s)), func() {
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

func (p *pool) loadOf(s *poolServer) Load {
	load := Load{Running: s.running, Waiting: len(s.waiting), Slots: simSlots}
	if p.load.statesSlowdown {
		load.Slowdown = p.slowdownOf(s)
	}
	return load
}

func (p *pool) observe(vm *poolVM, s *poolServer, load Load) { vm.ObserveLoad(s.endpoint.Name, load) }

// share makes each VM exchange facts with the first VM of its zone every poolPeriod.
func (p *pool) share() {
	for n, vm := range p.vms {
		var exchange func()
		exchange = func() {
			p.exchange(fmt.Sprint(n), vm, p.vms[vm.zone])
			p.after(poolPeriod, exchange)
		}
		p.after(time.Duration(p.random.Float64()*float64(poolPeriod)), exchange)
	}
}

func (p *pool) exchange(name string, vm, owner *poolVM) {
	facts, demands := vm.OwnFacts()
	started := p.now
	p.after(poolCallDelay, func() {
		owner.LearnDemand(name, 1, demands)
		if vm != owner {
			owner.LearnFacts(name, facts, p.now)
		}
		facts, demands := owner.ForeignFacts(name)
		p.after(poolCallDelay, func() {
			if vm != owner {
				vm.LearnFacts("owner", facts, started)
			}
			vm.LearnSums(demands, started)
		})
	})
}

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
	return []poolLoad{
		{name: "load 0.7", servers: 6, queue: 24, perSecond: steady(6, 0.7)},
		{name: "load 1.0", servers: 6, queue: 24, perSecond: steady(6, 1), seconds: 30, remaining: 0.5},
		{name: "load 1.5", servers: 6, queue: 24, perSecond: steady(6, 1.5), remaining: 0.25},
		{name: "load 2.0", servers: 6, queue: 24, perSecond: steady(6, 2), remaining: 0.25},
		{name: "bursts", servers: 6, queue: 24, perSecond: bursts(6), remaining: 0.25},
		// An endpoint that declines everything does so whatever is known of its queue.
		{name: "bursts, one endpoint flaps", servers: 6, queue: 24, perSecond: bursts(6), flaps: true, remaining: 0.6},
		// A queue of 60 ms runs empty between two renewals unless more is sent than it accepts.
		{name: "bursts, short queues", servers: 6, queue: 6, perSecond: bursts(6), remaining: 0.8},
		{name: "demand peaks in each zone in turn, load 0.9", servers: 6, queue: 24, perSecond: steady(6, 0.9), peaks: true, remaining: 0.5},
		{name: "load 2.0, short queues", servers: 6, queue: 6, perSecond: steady(6, 2), remaining: 0.3},
		{name: "one of three slow, load 0.6", servers: 3, queue: 24, perSecond: steady(3, 0.6), slow: 4},
		{name: "one of three slow, load 1.0", servers: 3, queue: 24, perSecond: steady(3, 1), slow: 4, remaining: 0.25},
		{name: "one of three states that it is slow, load 0.4", servers: 3, queue: 24, perSecond: steady(3, 0.4), slow: 4, statesSlowdown: true},
		{name: "one of three states that it is slow, load 0.6", servers: 3, queue: 24, perSecond: steady(3, 0.6), slow: 4, statesSlowdown: true},
	}
}

// Endpoints decline a request only after it has travelled to them, and each decline costs a second
// attempt or a refusal. VMs that share what they observe must at least halve the declines without
// losing answers in time. The tolerance covers what a request more or less at one VM changes in
// the draws.
func TestPlainEndpointsAreNotOverfilled(t *testing.T) {
	const tolerance = 0.004
	for _, load := range poolLoads() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			shared := simulatePool(load)
			load.alone = true
			before := simulatePool(load)
			t.Logf("each VM alone: %s", before)
			t.Logf("shared facts:  %s", shared)
			assert.Assert(t, shared.inTime() >= before.inTime()-tolerance)
			allowed := load.remaining * float64(before.declined)
			if load.remaining == 0 {
				allowed = float64(before.declined) + float64(before.arrivals)/1000
			}
			assert.Assert(t, float64(shared.declined) <= allowed, "declined %d of %d", shared.declined, before.declined)
			if load.statesSlowdown {
				assert.Assert(t, shared.inTime() >= before.inTime()+0.005, "the stated slowdown must help")
			}
		})
	}
}

// Guards against figures that grow old with the number of VMs. It also reports what
// docs/CAPACITY.md states about messages: each VM sends four renewals a second, as it does anyway.
func TestAgeOfFiguresDoesNotGrowWithTheVMs(t *testing.T) {
	for _, vms := range []int{30, 100, 300} {
		load := poolLoad{servers: 6, queue: 24, perSecond: steady(6, 0.7), vms: vms}
		shared := simulatePool(load)
		load.alone = true
		alone := simulatePool(load)
		mean := func(r poolResult) time.Duration { return (r.age / time.Duration(r.arrivals)).Round(time.Millisecond) }
		t.Logf("%d VMs: mean age of the figures %s, each VM alone %s; %d renewals a second carry facts", vms, mean(shared), mean(alone), 4*(vms-poolZones))
		assert.Assert(t, mean(shared) <= 400*time.Millisecond)
	}
}

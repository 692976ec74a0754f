package endpoint

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// These tests simulate the load of a plain service: each VM picks endpoints with its
// own registry and learns their load only from their responses.

const (
	simSlots       = 6
	simQueue       = 24
	simServiceTime = 60 * time.Millisecond
	simObjective   = 300 * time.Millisecond
	simRemoteDelay = 3500 * time.Microsecond
	simDuration    = 40 * time.Second
)

// simServer is an endpoint that runs and queues a limited number of requests and
// declines all others.
type simServer struct {
	endpoint *configuration.Endpoint
	running  int
	waiting  []*simRequest
	// failing is the share of requests that it fails.
	failing float64
	// shedding is the share of requests that it declines although it is not full.
	shedding float64
}

type simRequest struct {
	arrived time.Time
	vm      *Registry
	done    func()
	local   bool
}

// simEvent is a scheduled action. Events at the same time run in the order in which
// they were scheduled.
type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simZone is the offered load and the size of one zone.
type simZone struct {
	servers, vms int
	perSecond    float64
}

// simulation is a discrete-event simulation of a service in several zones.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	events  simEvents
	number  int
	servers map[string]*simServer
	all     []*configuration.Endpoint
	// onTime, late, declined and failed count requests by outcome, remote those that left
	// their zone.
	onTime, late, declined, failed, remote int
}

func newSimulation(seed uint64, zones []simZone) *simulation {
	s := &simulation{
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*simServer),
	}
	for z, zone := range zones {
		for n := range zone.servers {
			e := &configuration.Endpoint{Name: fmt.Sprintf("%d-%d", z, n), Zone: fmt.Sprint(z), Slots: simSlots}
			s.all = append(s.all, e)
			s.servers[e.Name] = &simServer{endpoint: e}
		}
	}
	for z, zone := range zones {
		for range zone.vms {
			vm := NewRegistry(timeline.Discard)
			vm.now = func() time.Time { return s.now }
			vm.random = s.random.Float64
			s.scheduleArrivals(vm, fmt.Sprint(z), zone.perSecond/float64(zone.vms))
		}
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.number++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.number, do})
}

func (s *simulation) run() {
	end := s.now.Add(simDuration)
	for len(s.events) > 0 && s.now.Before(end) {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
}

// scheduleArrivals lets requests arrive at a VM at random times.
func (s *simulation) scheduleArrivals(vm *Registry, zone string, perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.send(vm, zone)
		s.scheduleArrivals(vm, zone, perSecond)
	})
}

func (s *simulation) send(vm *Registry, zone string) {
	to := s.servers[vm.PickLeastLoaded(s.all, zone, nil).Name]
	r := &simRequest{arrived: s.now, vm: vm, done: vm.Begin(to.endpoint.Name), local: to.endpoint.Zone == zone}
	if !r.local {
		s.remote++
	}
	s.after(s.networkDelay(r), func() { s.arrive(to, r) })
}

func (s *simulation) networkDelay(r *simRequest) time.Duration {
	if r.local {
		return 0
	}
	return simRemoteDelay
}

func (s *simulation) arrive(to *simServer, r *simRequest) {
	full := to.running >= simSlots && len(to.waiting) >= simQueue
	switch {
	case full || s.random.Float64() < to.shedding:
		s.declined++
		s.after(s.networkDelay(r), func() { r.vm.ObserveDecline(to.endpoint.Name, nil) })
		s.answer(to, r)
	case to.running < simSlots:
		s.execute(to, r)
	default:
		to.waiting = append(to.waiting, r)
	}
}

func (s *simulation) execute(on *simServer, r *simRequest) {
	on.running++
	work := float64(simServiceTime) * math.Exp(0.5*s.random.NormFloat64()-0.125)
	s.after(time.Duration(work), func() {
		on.running--
		failed := s.random.Float64() < on.failing
		switch {
		case failed:
			s.failed++
		case s.now.Sub(r.arrived)+s.networkDelay(r) <= simObjective:
			s.onTime++
		default:
			s.late++
		}
		s.after(s.networkDelay(r), func() { r.vm.Observe(on.endpoint.Name, s.names(), !failed, simServiceTime) })
		s.answer(on, r)
		if len(on.waiting) > 0 {
			next := on.waiting[0]
			on.waiting = on.waiting[1:]
			s.execute(on, next)
		}
	})
}

// names returns the endpoints, all of which do the same work.
func (s *simulation) names() []string {
	names := make([]string, len(s.all))
	for i, e := range s.all {
		names[i] = e.Name
	}
	return names
}

func (s *simulation) answer(from *simServer, r *simRequest) {
	load := from.running + len(from.waiting)
	s.after(s.networkDelay(r), func() {
		r.done()
		r.vm.ObserveLoad(from.endpoint.Name, Load{Running: load})
	})
}

func TestPlainLoadPatterns(t *testing.T) {
	even := simZone{servers: 2, vms: 22, perSecond: 80}
	half := simZone{servers: 1, vms: 22, perSecond: 80}
	single := simZone{servers: 1, vms: 17, perSecond: 40}
	crowded := simZone{servers: 1, vms: 17, perSecond: 160}
	for _, test := range []struct {
		pattern string
		zones   []simZone
		// maxRemote limits the share of requests that leave their zone.
		maxRemote float64
	}{
		{"steady load", []simZone{even, even, even}, 0.05},
		{"a zone has lost half of its endpoints", []simZone{even, even, half}, 0.3},
		{"a zone has lost all of its endpoints", []simZone{even, even, {vms: 22, perSecond: 80}}, 0.4},
		{"callers have moved to one zone", []simZone{single, crowded, single, single, single}, 0.5},
		{"a burst in one zone", []simZone{even, even, {servers: 2, vms: 22, perSecond: 230}}, 0.4},
	} {
		t.Run(test.pattern, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSimulation(seed, test.zones)
				s.run()
				all := float64(s.onTime + s.late + s.declined)
				onTime, declined, leftZone := float64(s.onTime)/all, float64(s.declined)/all, float64(s.remote)/all
				t.Logf("seed %d: on time %.3f, declined %.4f, left the zone %.3f", seed, onTime, declined, leftZone)
				assert.Assert(t, onTime >= 0.95, "on time %.3f", onTime)
				assert.Assert(t, declined <= 0.005, "declined %.4f", declined)
				assert.Assert(t, leftZone <= test.maxRemote, "left the zone %.3f", leftZone)
			}
		})
	}
}

// One of three endpoints fails half of its requests, the others only a few that fail
// on every endpoint. A failed call that must not be retried is lost.
func TestRequestsAvoidAnEndpointThatFails(t *testing.T) {
	zone := simZone{servers: 1, vms: 2, perSecond: 20}
	for seed := range uint64(5) {
		s := newSimulation(seed, []simZone{zone, zone, zone})
		for _, server := range s.servers {
			server.failing = 0.04
		}
		s.servers["0-0"].failing = 0.5
		s.run()
		all := float64(s.onTime + s.late + s.declined + s.failed)
		failed, onTime := float64(s.failed)/all, float64(s.onTime)/all
		t.Logf("seed %d: failed %.3f, on time %.3f, left the zone %.3f", seed, failed, onTime, float64(s.remote)/all)
		const baseline = (0.5 + 0.04 + 0.04) / 3
		assert.Assert(t, failed <= baseline/2, "failed %.3f", failed)
		assert.Assert(t, onTime >= 1-baseline/2, "on time %.3f", onTime)
	}
}

// One of three endpoints declines most requests although it has free slots.
func TestRequestsAvoidAnEndpointThatDeclines(t *testing.T) {
	zone := simZone{servers: 1, vms: 2, perSecond: 20}
	for seed := range uint64(5) {
		s := newSimulation(seed, []simZone{zone, zone, zone})
		s.servers["0-0"].shedding = 0.8
		s.run()
		all := float64(s.onTime + s.late + s.declined + s.failed)
		declined := float64(s.declined) / all
		t.Logf("seed %d: declined %.3f, left the zone %.3f", seed, declined, float64(s.remote)/all)
		const baseline = 0.8 / 3
		assert.Assert(t, declined <= baseline/2, "declined %.3f", declined)
	}
}

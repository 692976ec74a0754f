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

// These tests play the load of a plain service: every VM picks endpoints with a
// registry of its own and learns their load from their answers only.

const (
	simSlots     = 6
	simQueue     = 24
	simWork      = 60 * time.Millisecond
	simObjective = 300 * time.Millisecond
	simFarDelay  = 3500 * time.Microsecond
	simSpan      = 40 * time.Second
)

// simServer is an endpoint that runs some requests, queues some and declines others.
type simServer struct {
	endpoint *configuration.Endpoint
	running  int
	waiting  []*simRequest
}

type simRequest struct {
	arrived time.Time
	vm      *Registry
	done    func()
	near    bool
}

// simEvent happens at a time; events of one time happen in the order of their making.
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

// simulation plays a service over several zones.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	events  simEvents
	number  int
	servers map[string]*simServer
	all     []*configuration.Endpoint
	// onTime, late and declined count requests, far those that left their zone.
	onTime, late, declined, far int
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
			s.arriveAfterPause(vm, fmt.Sprint(z), zone.perSecond/float64(zone.vms))
		}
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.number++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.number, do})
}

func (s *simulation) run() {
	end := s.now.Add(simSpan)
	for len(s.events) > 0 && s.now.Before(end) {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
}

// arriveAfterPause lets requests arrive at a VM at random times.
func (s *simulation) arriveAfterPause(vm *Registry, zone string, perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.send(vm, zone)
		s.arriveAfterPause(vm, zone, perSecond)
	})
}

func (s *simulation) send(vm *Registry, zone string) {
	to := s.servers[vm.PickLeastLoaded(s.all, zone, nil).Name]
	r := &simRequest{arrived: s.now, vm: vm, done: vm.Begin(to.endpoint.Name), near: to.endpoint.Zone == zone}
	if !r.near {
		s.far++
	}
	s.after(s.wayOf(r), func() { s.arrive(to, r) })
}

func (s *simulation) wayOf(r *simRequest) time.Duration {
	if r.near {
		return 0
	}
	return simFarDelay
}

func (s *simulation) arrive(to *simServer, r *simRequest) {
	switch {
	case to.running < simSlots:
		s.work(to, r)
	case len(to.waiting) < simQueue:
		to.waiting = append(to.waiting, r)
	default:
		s.declined++
		s.answer(to, r)
	}
}

func (s *simulation) work(on *simServer, r *simRequest) {
	on.running++
	work := float64(simWork) * math.Exp(0.5*s.random.NormFloat64()-0.125)
	s.after(time.Duration(work), func() {
		on.running--
		if s.now.Sub(r.arrived)+s.wayOf(r) <= simObjective {
			s.onTime++
		} else {
			s.late++
		}
		s.answer(on, r)
		if len(on.waiting) > 0 {
			next := on.waiting[0]
			on.waiting = on.waiting[1:]
			s.work(on, next)
		}
	})
}

func (s *simulation) answer(from *simServer, r *simRequest) {
	load := from.running + len(from.waiting)
	s.after(s.wayOf(r), func() {
		r.done()
		r.vm.ObserveLoad(from.endpoint.Name, load)
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
		// farMost bounds the part of requests that leave their zone.
		farMost float64
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
				onTime, declined, far := float64(s.onTime)/all, float64(s.declined)/all, float64(s.far)/all
				t.Logf("seed %d: on time %.3f, declined %.4f, left the zone %.3f", seed, onTime, declined, far)
				assert.Assert(t, onTime >= 0.95, "on time %.3f", onTime)
				assert.Assert(t, declined <= 0.005, "declined %.4f", declined)
				assert.Assert(t, far <= test.farMost, "left the zone %.3f", far)
			}
		})
	}
}

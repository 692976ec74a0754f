package hedge

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	simVMs, simEndpoints, simSlots = 6, 10, 4
	// simWork is the median service time at a usual endpoint, simSlow that of the slow one of ten.
	simWork, simSlow = 40 * time.Millisecond, 120 * time.Millisecond
	simTime          = 45 * time.Second
	simWarmUp        = 15 * time.Second
)

// event is a step of a simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simEndpoint runs requests in order of arrival in its slots.
type simEndpoint struct {
	median  time.Duration
	running int
	queue   []*simCall
}

// simCall is a request at an endpoint. A cancelled one leaves the queue, but runs on if it has begun.
type simCall struct {
	endpoint  int
	factor    float64
	answered  bool
	cancelled bool
	done      func()
}

// failing is the rate of overtaken calls as package endpoint keeps it.
type failing struct {
	rate float64
	at   time.Duration
}

func (f *failing) observe(now time.Duration, outcome float64) {
	f.rate = f.rateAt(now)
	f.rate += 0.2 * (outcome - f.rate)
	f.at = now
}

func (f *failing) rateAt(now time.Duration) float64 {
	return f.rate * math.Exp(-float64(now-f.at)/float64(5*time.Second))
}

// simulation drives the decisions of this package over VMs that receive the load of endpoints with answers only.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	pending   events
	seq       int
	endpoints [simEndpoints]simEndpoint
	vms       [simVMs]simVM
	latencies []time.Duration
	hedges    int
}

type simVM struct {
	hedger   *Hedger
	reported [simEndpoints]float64
	at       [simEndpoints]time.Duration
	failing  [simEndpoints]failing
	inFlight [simEndpoints]float64
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.pending, event{s.now + d, s.seq, run})
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

var simNames = []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}

func (s *simulation) candidates(vm *simVM) []Candidate {
	all := make([]Candidate, simEndpoints)
	for i, name := range simNames {
		reported := vm.reported[i] * math.Exp(-float64(s.now-vm.at[i])/float64(3*time.Second))
		all[i] = Candidate{Name: name, Host: name, Zone: string(rune('a' + i%2)), Slots: simSlots, Requests: max(reported, vm.inFlight[i])}
	}
	return all
}

// call sends a request to an endpoint.
func (s *simulation) call(vm *simVM, endpoint int, factor float64, done func()) *simCall {
	c := &simCall{endpoint: endpoint, factor: factor, done: done}
	vm.inFlight[endpoint]++
	e := &s.endpoints[endpoint]
	e.queue = append(e.queue, c)
	s.begin(vm, e)
	return c
}

func (s *simulation) begin(vm *simVM, e *simEndpoint) {
	for len(e.queue) > 0 && e.running < simSlots {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if c.cancelled {
			continue
		}
		e.running++
		s.after(time.Duration(float64(e.median)*c.factor), func() {
			e.running--
			s.begin(vm, e)
			if !c.cancelled {
				c.answered = true
				vm.inFlight[c.endpoint]--
				vm.reported[c.endpoint], vm.at[c.endpoint] = float64(e.running+len(e.queue)), s.now
				c.done()
			}
		})
	}
}

func (s *simulation) cancel(vm *simVM, c *simCall) {
	if c != nil && !c.answered && !c.cancelled {
		c.cancelled = true
		vm.inFlight[c.endpoint]--
	}
}

// draw is what is random in a request. It is the same with and without hedges.
type draw struct {
	vm      int
	picks   [2]int
	factors [2]float64
}

// arrive serves one request at a VM.
func (s *simulation) arrive(d *draw, hedging bool) {
	arrived, vm := s.now, &s.vms[d.vm]
	all := s.candidates(vm)
	cost := func(i int) float64 { return (all[i].Requests+1)/simSlots + 4*vm.failing[i].rateAt(s.now) }
	first := d.picks[0]
	if other := d.picks[1]; cost(other) < cost(first) {
		first = other
	}
	var calls [2]*simCall
	begun := [2]time.Duration{s.now}
	answered := func(i int) {
		s.cancel(vm, calls[1-i])
		if arrived >= simWarmUp {
			s.latencies = append(s.latencies, s.now-arrived)
		}
		vm.hedger.Observe(s.clock(), "r", all[calls[i].endpoint].Name, s.now-begun[i])
		vm.failing[calls[i].endpoint].observe(s.now, 0)
		if i == 1 {
			vm.failing[first].observe(s.now, 1)
			vm.hedger.ObserveAtLeast(s.clock(), "r", all[first].Name, s.now-arrived)
		}
	}
	calls[0] = s.call(vm, first, d.factors[0], func() { answered(0) })
	vm.hedger.Earn("s")
	delay, _, known := vm.hedger.Delay(s.clock(), "r", all[first].Name)
	if !known || !hedging || arrived < simWarmUp {
		return
	}
	s.after(delay, func() {
		if calls[0].answered {
			return
		}
		now := s.candidates(vm)
		if vm.hedger.Loaded(s.clock(), "s", now) {
			return
		}
		for i := range now {
			now[i].Speed = vm.hedger.Speed(s.clock(), now[i].Name)
		}
		s.random.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
		chosen := Choose(&all[first], now)
		if chosen < 0 || !vm.hedger.Take("s") {
			return
		}
		s.hedges++
		begun[1] = s.now
		calls[1] = s.call(vm, slices.IndexFunc(all, func(c Candidate) bool { return c.Name == now[chosen].Name }), d.factors[1], func() { answered(1) })
	})
}

// simulate returns the sorted latencies and the extra calls per request.
func simulate(seed uint64, load float64, hedging bool) ([]time.Duration, float64) {
	s := &simulation{random: rand.New(rand.NewPCG(seed, seed))}
	names := []string{"0", "1", "2", "3", "4", "5"}
	for i := range s.vms {
		s.vms[i].hedger = New(names[i], Settings{Share: 0.1, Burst: 60}, nil)
		s.vms[i].hedger.SetVMs(names)
	}
	capacity := 0.0
	for i := range s.endpoints {
		s.endpoints[i].median = simWork
		if i == 0 {
			s.endpoints[i].median = simSlow
		}
		capacity += simSlots / (s.endpoints[i].median.Seconds() * math.Exp(0.125)) // The mean of the distribution.
	}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	for at := time.Duration(0); at < simTime; at += time.Duration(arrivals.ExpFloat64() / (load * capacity) * float64(time.Second)) {
		factor := func() float64 { return math.Exp(0.5 * arrivals.NormFloat64()) }
		d := &draw{arrivals.IntN(simVMs), [2]int{arrivals.IntN(simEndpoints), arrivals.IntN(simEndpoints)}, [2]float64{factor(), factor()}}
		s.after(at, func() { s.arrive(d, hedging) })
	}
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
	return s.latencies, float64(s.hedges) / float64(len(s.latencies))
}

func quantileOf(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Microsecond)
}

// Hedges must cut the tail while endpoints have room, and must not cost others anything when they have none.
func TestHedgesCutTheTailAndNeverAddToALoadedService(t *testing.T) {
	var p99Without, p99With time.Duration
	for seed := uint64(1); seed <= 2; seed++ {
		for _, load := range []float64{0.3, 0.6, 0.9} {
			without, _ := simulate(seed, load, false)
			with, extra := simulate(seed, load, true)
			for _, q := range []float64{0.5, 0.99, 0.999} {
				t.Logf("seed %d, load %.1f, p%v: %v without, %v with; %.3f extra calls", seed, load, 100*q, quantileOf(without, q), quantileOf(with, q), extra)
			}
			assert.Assert(t, extra <= 0.1+60/float64(len(with)), "extra calls %v", extra)
			switch load {
			case 0.3:
				assert.Assert(t, quantileOf(with, 0.99) < quantileOf(without, 0.99)*4/5)
			case 0.6:
				// The queue of the slow endpoint differs much between runs.
				p99Without += quantileOf(without, 0.99)
				p99With += quantileOf(with, 0.99)
			case 0.9:
				assert.Assert(t, quantileOf(with, 0.5) <= quantileOf(without, 0.5))
				assert.Assert(t, quantileOf(with, 0.99) <= quantileOf(without, 0.99))
			}
		}
	}
	assert.Assert(t, p99With < p99Without, "mean p99 at 0.6: %v without, %v with", p99Without/2, p99With/2)
}

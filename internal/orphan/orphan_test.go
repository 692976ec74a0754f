package orphan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var dead = membership.Member{VM: "vm-a9", Zone: "zone-a", Incarnation: 7, State: membership.Gone}

// call is a cancel that an engine received.
type call struct {
	at     time.Duration
	by     string
	engine string
	process
}

// world holds what all survivors share: the members, the engines and the calls.
type world struct {
	mu      sync.Mutex
	start   time.Time
	members []membership.Member
	engines []*configuration.Endpoint
	calls   []call
	// failing says which engines answer no call, held what they report.
	failing map[string]bool
	held    map[string]int
	gone    []process
}

func newWorld(engines int, members ...membership.Member) *world {
	w := &world{start: time.Now(), members: members, failing: make(map[string]bool), held: make(map[string]int)}
	for i := range engines {
		w.engines = append(w.engines, &configuration.Endpoint{
			Name: fmt.Sprintf("engine-a%d", i), Zone: "zone-a", Kind: configuration.KindEngine,
		})
	}
	return w
}

func alive(vm, zone string) membership.Member {
	return membership.Member{VM: vm, Zone: zone, Incarnation: 1, State: membership.Alive}
}

// survivor is the world as one VM sees it.
type survivor struct {
	*world
	vm string
}

// Self implements membership.View.
func (s survivor) Self() membership.Member { return alive(s.vm, "") }

// Members implements membership.View.
func (s survivor) Members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Engine implements Clients.
func (s survivor) Engine(name string) (engine.Client, bool) {
	for _, e := range s.engineList() {
		if e.Name == name {
			return &client{survivor: s, name: name}, true
		}
	}
	return nil, false
}

// HolderGone implements Holders.
func (s survivor) HolderGone(vm string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = append(s.gone, process{vm, incarnation})
}

func (w *world) engineList() []*configuration.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines
}

// change changes the world.
func (w *world) change(apply func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	apply()
}

// callsOf returns the cancels that an engine received, or all engines if the
// name is empty.
func (w *world) callsOf(engine string) []call {
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []call
	for _, c := range w.calls {
		if engine == "" || c.engine == engine {
			calls = append(calls, c)
		}
	}
	return calls
}

// client is a survivor's client of one engine.
type client struct {
	engine.Client
	survivor
	name string
}

// CancelIncarnation implements engine.Client.
func (c *client) CancelIncarnation(_ context.Context, vm string, incarnation uint64) (engine.CancelResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call{time.Since(c.start), c.vm, c.name, process{vm, incarnation}})
	if c.failing[c.name] {
		return engine.CancelResult{}, engine.Unreachable.New("%s", c.name)
	}
	return engine.CancelResult{HeldPieces: c.held[c.name]}, nil
}

// Load implements engine.Client.
func (c *client) Load(context.Context) (engine.LoadReport, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing[c.name] {
		return engine.LoadReport{}, engine.Unreachable.New("%s", c.name)
	}
	return engine.LoadReport{}, nil
}

// run starts the services of survivors for the rest of the test.
func run(t *testing.T, w *world, vms ...string) []*Service {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var services []*Service
	for _, vm := range vms {
		s := survivor{w, vm}
		service := New(Params{View: s, Clients: s, Events: timeline.Discard, Holders: s})
		service.engines = w.engineList
		services = append(services, service)
		running.Go(func() { service.Run(ctx) })
	}
	return services
}

func tell(services []*Service, m membership.Member) {
	for _, s := range services {
		s.MemberGone(m)
	}
}

func TestTwoSurvivorsCancelOnEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(8, alive("vm-a1", "zone-a"), alive("vm-a2", "zone-a"), alive("vm-a3", "zone-a"), alive("vm-b1", "zone-b"))
		services := run(t, w, "vm-a1", "vm-a2", "vm-a3", "vm-b1")
		tell(services, dead)
		time.Sleep(time.Minute)
		firsts := make(map[string]bool)
		for _, e := range w.engines {
			calls := w.callsOf(e.Name)
			assert.Equal(t, len(calls), 2, "%v", calls)
			assert.Equal(t, calls[0].process, process{"vm-a9", 7})
			assert.Equal(t, calls[0].at, time.Duration(0))
			assert.Equal(t, calls[1].at, backupDelay)
			assert.Assert(t, calls[0].by != calls[1].by && calls[0].by != "vm-b1" && calls[1].by != "vm-b1")
			firsts[calls[0].by] = true
		}
		assert.Assert(t, len(firsts) > 1, "one VM acts on all engines")
		assert.Equal(t, len(w.gone), len(services))
	})
}

func TestACancelIsRepeatedUntilTheMemoryIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, alive("vm-a1", "zone-a"))
		w.failing["engine-a0"] = true
		services := run(t, w, "vm-a1")
		tell(services, dead)
		time.Sleep(time.Minute)
		tried := len(w.callsOf("engine-a0"))
		assert.Assert(t, tried > 5 && tried < 15, "%d calls", tried)
		w.change(func() { w.failing["engine-a0"], w.held["engine-a0"] = false, 3 })
		time.Sleep(maxDelay)
		assert.Equal(t, services[0].counters.Confirmed.Load(), int64(0))
		w.change(func() { w.held["engine-a0"] = 0 })
		time.Sleep(maxDelay)
		assert.Equal(t, services[0].counters.Confirmed.Load(), int64(1))
		assert.Equal(t, services[0].counters.Pending.Load(), int64(0))
	})
}

func TestRepeatsEndWithTheEngineTheLimitOrTheMember(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(w *world)
		counter func(c *counters) int64
	}{
		{"engine", func(w *world) { w.engines = nil }, func(c *counters) int64 { return c.EngineGone.Load() }},
		{"limit", func(*world) {}, func(c *counters) int64 { return c.Abandoned.Load() }},
		{"member", func(w *world) {
			back := dead
			back.State = membership.Alive
			w.members = append(w.members, back)
		}, func(c *counters) int64 { return c.Refuted.Load() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, alive("vm-a1", "zone-a"))
				w.failing["engine-a0"] = true
				services := run(t, w, "vm-a1")
				tell(services, dead)
				time.Sleep(20 * time.Second)
				w.change(func() { test.change(w) })
				time.Sleep(giveUpAfter)
				assert.Equal(t, test.counter(&services[0].counters), int64(1))
				assert.Equal(t, services[0].counters.Pending.Load(), int64(0))
				before := len(w.callsOf("engine-a0"))
				time.Sleep(time.Minute)
				assert.Equal(t, len(w.callsOf("engine-a0")), before)
			})
		})
	}
}

// TestASurvivorThatDiesIsReplaced has only the VM live that acts on nothing.
func TestASurvivorThatDiesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []membership.Member{alive("vm-a1", "zone-a"), alive("vm-a2", "zone-a"), alive("vm-a3", "zone-a")}
		w := newWorld(1, all...)
		acting := first([]string{"vm-a1", "vm-a2", "vm-a3"}, process{"vm-a9", 7}, "engine-a0")
		var left membership.Member
		for _, m := range all {
			if m.VM != acting[0] && m.VM != acting[1] {
				left = m
			}
		}
		services := run(t, w, left.VM)
		tell(services, dead)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(w.callsOf("engine-a0")), 0)
		w.change(func() { w.members = []membership.Member{left} })
		tell(services, alive(acting[0], "zone-a"))
		time.Sleep(10 * time.Second)
		var cancelled []string
		for _, c := range w.callsOf("engine-a0") {
			cancelled = append(cancelled, c.vm)
		}
		assert.Equal(t, len(cancelled), 2, "%v", cancelled)
	})
}

func TestTheDeathOfManyVMsMakesNoBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deaths, engines = 40, 10
		w := newWorld(engines, alive("vm-a1", "zone-a"))
		services := run(t, w, "vm-a1")
		for i := range deaths {
			tell(services, membership.Member{VM: fmt.Sprintf("vm-%d", i), Zone: "zone-a", Incarnation: 1})
		}
		time.Sleep(time.Minute)
		calls := w.callsOf("")
		assert.Equal(t, len(calls), deaths*engines)
		perSecond := make(map[time.Duration]int)
		for _, c := range calls {
			perSecond[c.at.Truncate(time.Second)]++
		}
		for second, calls := range perSecond {
			assert.Assert(t, calls <= callsPerSecond+callBurst, "%d calls at %s", calls, second)
		}
	})
}

// TestAZoneThatMayBeCutOffIsWaitedFor has a zone whose VMs and engines cannot be
// reached, and heals it with the VMs alive or dead.
func TestAZoneThatMayBeCutOffIsWaitedFor(t *testing.T) {
	for _, dies := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, alive("vm-b1", "zone-b"))
			w.failing["engine-a0"] = true
			services := run(t, w, "vm-b1")
			tell(services, dead)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(w.callsOf("engine-a0")), 0)
			w.change(func() { w.failing["engine-a0"] = false })
			if !dies {
				time.Sleep(settleTime - time.Second)
				back := dead
				back.State = membership.Alive
				w.change(func() { w.members = append(w.members, back) })
			}
			time.Sleep(time.Minute)
			want := 0
			if dies {
				want = 1
			}
			assert.Equal(t, len(w.callsOf("engine-a0")), want)
			assert.Equal(t, services[0].counters.Pending.Load(), int64(0))
		})
	}
}

func TestCountersAreDocumented(t *testing.T) {
	registry := metrics.NewRegistry()
	registry.Mount("orphan", New(Params{}).Vars())
	assert.Equal(t, len(registry.Undocumented())+len(registry.Unpublished()), 0)
}

func TestOnlyLivingMembersAct(t *testing.T) {
	suspect, draining := alive("vm-a3", "zone-a"), alive("vm-a4", "zone-a")
	suspect.State, draining.Draining = membership.Suspect, true
	former := alive(dead.VM, "zone-a")
	former.Incarnation = dead.Incarnation
	unfit := []membership.Member{suspect, draining, former}
	for _, test := range []struct {
		members []membership.Member
		want    string
	}{
		{[]membership.Member{alive("vm-a1", "zone-a"), alive("vm-b1", "zone-b")}, "[vm-a1] false"},
		{[]membership.Member{alive("vm-b1", "zone-b"), alive("vm-c1", "zone-c")}, "[vm-b1 vm-c1] true"},
		{[]membership.Member{alive(dead.VM, "zone-a")}, "[vm-a9] false"},
		{nil, "[] true"},
	} {
		names, remote := candidatesFor(process{dead.VM, dead.Incarnation}, "zone-a", append(unfit, test.members...))
		assert.Equal(t, fmt.Sprint(names, " ", remote), test.want)
	}
}

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

var goneMember = membership.Member{VM: "vm-a9", Zone: "zone-a", Incarnation: 7, State: membership.Gone}

// cancelCall is a cancel that an engine received.
type cancelCall struct {
	at     time.Duration
	by     string
	engine string
	processID
}

// fakeFleet holds what all survivors share: the members, the engines and the
// received cancels.
type fakeFleet struct {
	mu      sync.Mutex
	start   time.Time
	members []membership.Member
	engines []*configuration.Endpoint
	calls   []cancelCall
	// failing marks engines whose calls fail. held is the number of pieces that
	// each engine reports as still held.
	failing  map[string]bool
	held     map[string]int
	released []processID
}

func newFakeFleet(engines int, members ...membership.Member) *fakeFleet {
	fleet := &fakeFleet{start: time.Now(), members: members, failing: make(map[string]bool), held: make(map[string]int)}
	for i := range engines {
		fleet.engines = append(fleet.engines, &configuration.Endpoint{
			Name: fmt.Sprintf("engine-a%d", i), Zone: "zone-a", Kind: configuration.KindEngine,
		})
	}
	return fleet
}

func aliveMember(vm, zone string) membership.Member {
	return membership.Member{VM: vm, Zone: zone, Incarnation: 1, State: membership.Alive}
}

// survivor is the fleet as one surviving VM sees it.
type survivor struct {
	*fakeFleet
	vm string
}

// Self implements membership.View.
func (s survivor) Self() membership.Member { return aliveMember(s.vm, "") }

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
	s.released = append(s.released, processID{vm, incarnation})
}

func (fleet *fakeFleet) engineList() []*configuration.Endpoint {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.engines
}

// update changes the fleet under its lock.
func (fleet *fakeFleet) update(apply func()) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	apply()
}

// cancelsOn returns the cancels that an engine received, or those of all
// engines if the name is empty.
func (fleet *fakeFleet) cancelsOn(engine string) []cancelCall {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var calls []cancelCall
	for _, c := range fleet.calls {
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
	c.calls = append(c.calls, cancelCall{time.Since(c.start), c.vm, c.name, processID{vm, incarnation}})
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

// startServices runs the services of survivors until the test ends.
func startServices(t *testing.T, fleet *fakeFleet, vms ...string) []*Service {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var services []*Service
	for _, vm := range vms {
		s := survivor{fleet, vm}
		service := New(Params{View: s, Clients: s, Events: timeline.Discard, Holders: s})
		service.engines = fleet.engineList
		services = append(services, service)
		running.Go(func() { service.Run(ctx) })
	}
	return services
}

func reportGone(services []*Service, m membership.Member) {
	for _, s := range services {
		s.MemberGone(m)
	}
}

func TestTwoSurvivorsCancelOnEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(8, aliveMember("vm-a1", "zone-a"), aliveMember("vm-a2", "zone-a"), aliveMember("vm-a3", "zone-a"), aliveMember("vm-b1", "zone-b"))
		services := startServices(t, fleet, "vm-a1", "vm-a2", "vm-a3", "vm-b1")
		reportGone(services, goneMember)
		time.Sleep(time.Minute)
		firsts := make(map[string]bool)
		for _, e := range fleet.engines {
			calls := fleet.cancelsOn(e.Name)
			assert.Equal(t, len(calls), 2, "%v", calls)
			assert.Equal(t, calls[0].processID, processID{"vm-a9", 7})
			assert.Equal(t, calls[0].at, time.Duration(0))
			assert.Equal(t, calls[1].at, backupDelay)
			assert.Assert(t, calls[0].by != calls[1].by && calls[0].by != "vm-b1" && calls[1].by != "vm-b1")
			firsts[calls[0].by] = true
		}
		assert.Assert(t, len(firsts) > 1, "one VM sends the first cancel to all engines")
		assert.Equal(t, len(fleet.released), len(services))
	})
}

func TestCancelIsRetriedUntilTheEngineHoldsNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(1, aliveMember("vm-a1", "zone-a"))
		fleet.failing["engine-a0"] = true
		services := startServices(t, fleet, "vm-a1")
		reportGone(services, goneMember)
		time.Sleep(time.Minute)
		tried := len(fleet.cancelsOn("engine-a0"))
		assert.Assert(t, tried > 5 && tried < 15, "%d calls", tried)
		fleet.update(func() { fleet.failing["engine-a0"], fleet.held["engine-a0"] = false, 3 })
		time.Sleep(maxDelay)
		assert.Equal(t, services[0].counters.Confirmed.Load(), int64(0))
		fleet.update(func() { fleet.held["engine-a0"] = 0 })
		time.Sleep(maxDelay)
		assert.Equal(t, services[0].counters.Confirmed.Load(), int64(1))
		assert.Equal(t, services[0].counters.Pending.Load(), int64(0))
	})
}

func TestRetriesEndWhenTheEngineIsRemovedTheLimitPassesOrTheMemberIsAlive(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(fleet *fakeFleet)
		counter func(c *counters) int64
	}{
		{"engine removed", func(fleet *fakeFleet) { fleet.engines = nil }, func(c *counters) int64 { return c.EngineGone.Load() }},
		{"time limit", func(*fakeFleet) {}, func(c *counters) int64 { return c.Abandoned.Load() }},
		{"member alive", func(fleet *fakeFleet) {
			returned := goneMember
			returned.State = membership.Alive
			fleet.members = append(fleet.members, returned)
		}, func(c *counters) int64 { return c.Refuted.Load() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFakeFleet(1, aliveMember("vm-a1", "zone-a"))
				fleet.failing["engine-a0"] = true
				services := startServices(t, fleet, "vm-a1")
				reportGone(services, goneMember)
				time.Sleep(20 * time.Second)
				fleet.update(func() { test.change(fleet) })
				time.Sleep(maxRetryDuration)
				assert.Equal(t, test.counter(&services[0].counters), int64(1))
				assert.Equal(t, services[0].counters.Pending.Load(), int64(0))
				before := len(fleet.cancelsOn("engine-a0"))
				time.Sleep(time.Minute)
				assert.Equal(t, len(fleet.cancelsOn("engine-a0")), before)
			})
		})
	}
}

// TestLossOfTheAssignedVMsReassignsTheirCancels runs only the VM to which no
// cancel was assigned, and removes the assigned VMs from the membership.
func TestLossOfTheAssignedVMsReassignsTheirCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []membership.Member{aliveMember("vm-a1", "zone-a"), aliveMember("vm-a2", "zone-a"), aliveMember("vm-a3", "zone-a")}
		fleet := newFakeFleet(1, all...)
		assigned := topRanked([]string{"vm-a1", "vm-a2", "vm-a3"}, processID{"vm-a9", 7}, "engine-a0")
		var remaining membership.Member
		for _, m := range all {
			if m.VM != assigned[0] && m.VM != assigned[1] {
				remaining = m
			}
		}
		services := startServices(t, fleet, remaining.VM)
		reportGone(services, goneMember)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(fleet.cancelsOn("engine-a0")), 0)
		fleet.update(func() { fleet.members = []membership.Member{remaining} })
		reportGone(services, aliveMember(assigned[0], "zone-a"))
		time.Sleep(10 * time.Second)
		var cancelled []string
		for _, c := range fleet.cancelsOn("engine-a0") {
			cancelled = append(cancelled, c.vm)
		}
		assert.Equal(t, len(cancelled), 2, "%v", cancelled)
	})
}

func TestCancelsAfterTheLossOfManyVMsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, engines = 40, 10
		fleet := newFakeFleet(engines, aliveMember("vm-a1", "zone-a"))
		services := startServices(t, fleet, "vm-a1")
		for i := range vms {
			reportGone(services, membership.Member{VM: fmt.Sprintf("vm-%d", i), Zone: "zone-a", Incarnation: 1})
		}
		time.Sleep(time.Minute)
		calls := fleet.cancelsOn("")
		assert.Equal(t, len(calls), vms*engines)
		perSecond := make(map[time.Duration]int)
		for _, c := range calls {
			perSecond[c.at.Truncate(time.Second)]++
		}
		for second, calls := range perSecond {
			assert.Assert(t, calls <= callsPerSecond+callBurst, "%d calls at %s", calls, second)
		}
	})
}

// TestCancelsInAPossiblyPartitionedZoneAreDelayed makes the VMs and engines of
// a zone unreachable and then heals the partition, with the VMs either alive or
// gone.
func TestCancelsInAPossiblyPartitionedZoneAreDelayed(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet(1, aliveMember("vm-b1", "zone-b"))
			fleet.failing["engine-a0"] = true
			services := startServices(t, fleet, "vm-b1")
			reportGone(services, goneMember)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(fleet.cancelsOn("engine-a0")), 0)
			fleet.update(func() { fleet.failing["engine-a0"] = false })
			if !gone {
				time.Sleep(partitionGracePeriod - time.Second)
				returned := goneMember
				returned.State = membership.Alive
				fleet.update(func() { fleet.members = append(fleet.members, returned) })
			}
			time.Sleep(time.Minute)
			want := 0
			if gone {
				want = 1
			}
			assert.Equal(t, len(fleet.cancelsOn("engine-a0")), want)
			assert.Equal(t, services[0].counters.Pending.Load(), int64(0))
		})
	}
}

func TestCountersAreDocumented(t *testing.T) {
	registry := metrics.NewRegistry()
	registry.Mount("orphan", New(Params{}).Vars())
	assert.Equal(t, len(registry.Undocumented())+len(registry.Unpublished()), 0)
}

func TestOnlyAliveMembersAreCandidates(t *testing.T) {
	suspect, draining := aliveMember("vm-a3", "zone-a"), aliveMember("vm-a4", "zone-a")
	suspect.State, draining.Draining = membership.Suspect, true
	previous := aliveMember(goneMember.VM, "zone-a")
	previous.Incarnation = goneMember.Incarnation
	ineligible := []membership.Member{suspect, draining, previous}
	for _, test := range []struct {
		members []membership.Member
		want    string
	}{
		{[]membership.Member{aliveMember("vm-a1", "zone-a"), aliveMember("vm-b1", "zone-b")}, "[vm-a1] false"},
		{[]membership.Member{aliveMember("vm-b1", "zone-b"), aliveMember("vm-c1", "zone-c")}, "[vm-b1 vm-c1] true"},
		{[]membership.Member{aliveMember(goneMember.VM, "zone-a")}, "[vm-a9] false"},
		{nil, "[] true"},
	} {
		names, remote := candidatesFor(processID{goneMember.VM, goneMember.Incarnation}, "zone-a", append(ineligible, test.members...))
		assert.Equal(t, fmt.Sprint(names, " ", remote), test.want)
	}
}

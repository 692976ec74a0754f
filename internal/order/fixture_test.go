package order

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// orderDuration is how long the stand-in engines take to carry out an order.
const orderDuration = 10 * time.Second

// hook runs between the check of the lease and the arrival of an order. The
// call continues with the context that it returns.
type hook func(ctx context.Context, order engine.Order) context.Context

// engineUnderTest is the client through which one VM reaches a stand-in engine.
type engineUnderTest struct {
	standin *standin.Engine
	hook    *atomic.Pointer[hook]
	// active is the number of active requests in the load report.
	active *atomic.Int64
	// dropResponses makes orders take effect but fail with an error.
	dropResponses *atomic.Bool
}

func (e engineUnderTest) State(context.Context) (engine.State, error) {
	s := e.standin.State()
	return engine.State{
		Desired: engine.Desired(s.Desired), Fencing: s.Fencing, Busy: s.Busy, Leaving: s.Leaving, ChecksFencing: s.ChecksFencing,
	}, nil
}

func (e engineUnderTest) Load(context.Context) (engine.LoadReport, error) {
	return engine.LoadReport{Active: int(e.active.Load())}, nil
}

func (e engineUnderTest) Order(ctx context.Context, order engine.Order) (engine.OrderResult, error) {
	if h := e.hook.Load(); h != nil {
		ctx = (*h)(ctx, order)
	}
	if ctx.Err() != nil {
		return "", engine.Unavailable.Wrap(ctx.Err(), "order")
	}
	state, _ := e.standin.Order(standin.Order{Fencing: order.Fencing, OrderID: order.ID, Desired: standin.Desired(order.Desired)})
	switch {
	case state == standin.OrderStaleFencing:
		return "", engine.StaleFencing.New("order")
	case e.dropResponses.Load():
		return "", engine.Unavailable.New("response lost")
	}
	return engine.OrderResult(state), nil
}

// site is a zone with two entry VMs.
type site struct {
	t       *testing.T
	log     *logtest.Log
	engines map[string]*standin.Engine
	active  map[string]*atomic.Int64
	bundle  configuration.Bundle
	current atomic.Pointer[configuration.Snapshot]
	vms     []*entryVM

	dropResponses atomic.Bool
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

type entryVM struct {
	log        *logtest.Link
	leases     *lease.Manager
	reconciler *Reconciler
	hook       atomic.Pointer[hook]
	ring       *timeline.Ring
}

// Snapshot implements Configuration.
func (s *site) Snapshot() *configuration.Snapshot { return s.current.Load() }

// runSite runs a test on a zone of two prefill and four decode engines.
func runSite(t *testing.T, checksFencing bool, test func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, checksFencing)
		test(s)
		s.cancel()
		s.running.Wait()
		for _, e := range s.engines {
			e.Close()
		}
	})
}

func newSite(t *testing.T, checksFencing bool) *site {
	s := &site{
		t: t, log: logtest.New(logtest.Options{Latency: time.Millisecond}), bundle: testBundle(),
		engines: make(map[string]*standin.Engine), active: make(map[string]*atomic.Int64),
	}
	for _, e := range s.bundle.Fleet.Endpoints {
		s.active[e.Name] = new(atomic.Int64)
		s.engines[e.Name] = standin.New(standin.Options{
			Name: e.Name, Model: e.Model, Version: e.Version, Role: e.Role, Slots: e.Slots,
			ChecksFencing: checksFencing, OrderDuration: configuration.Duration(orderDuration),
		})
	}
	s.publish(func(*configuration.Fleet) {})
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	for i := range s.bundle.Fleet.VMs {
		s.startVM(ctx, i)
	}
	return s
}

func (s *site) startVM(ctx context.Context, number int) {
	var members []membership.Member
	for _, vm := range s.bundle.Fleet.VMs {
		members = append(members, membership.Member{VM: vm.Name, Zone: vm.Zone, Incarnation: 1, State: membership.Alive})
	}
	v := &entryVM{log: logtest.NewLink(s.log), ring: timeline.NewRing(members[number].VM, 1, 1024)}
	appender, err := logservice.NewAppender(v.log, logservice.AppenderOptions{})
	assert.NilError(s.t, err)
	view := membership.Static{This: members[number], All: members}
	v.leases = lease.NewManager(lease.Dependencies{Log: v.log, Appender: appender, View: view, Events: v.ring}, lease.DefaultTerms())
	v.reconciler = New(Options{
		Zone: "zone-a", Leases: v.leases, Configuration: s, Events: v.ring,
		Engines: func(name string) (Engine, bool) {
			e, found := s.engines[name]
			return engineUnderTest{e, &v.hook, s.active[name], &s.dropResponses}, found
		},
	})
	s.vms = append(s.vms, v)
	s.running.Go(func() { _ = v.reconciler.Run(ctx) })
	s.running.Go(func() {
		_ = v.leases.Run(ctx)
		appender.Close()
	})
}

// publish changes the configuration and puts it in force.
func (s *site) publish(change func(fleet *configuration.Fleet)) {
	endpoints := append([]configuration.Endpoint{}, s.bundle.Fleet.Endpoints...)
	s.bundle.Fleet.Endpoints = endpoints
	change(&s.bundle.Fleet)
	snapshot, err := configuration.NewSnapshot(s.bundle)
	assert.NilError(s.t, err)
	s.current.Store(snapshot)
}

// publishVersion sets the desired version of all engines.
func (s *site) publishVersion(version string) {
	s.publish(func(fleet *configuration.Fleet) {
		for i := range fleet.Endpoints {
			fleet.Endpoints[i].Version = version
		}
	})
}

// holder returns the VM that holds the lease, and the other one.
func (s *site) holder() (holder, other *entryVM) {
	for i, v := range s.vms {
		if _, held := v.leases.Held("zone-a/drafter"); held {
			return v, s.vms[1-i]
		}
	}
	return nil, nil
}

// await waits until a condition holds and returns the time that took.
func (s *site) await(limit time.Duration, what string, condition func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			s.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// awaitHolder waits until a VM holds the lease.
func (s *site) awaitHolder() (holder, other *entryVM) {
	s.t.Helper()
	s.await(time.Minute, "a holder", func() bool { holder, other = s.holder(); return holder != nil })
	return holder, other
}

// converged reports whether all engines are in their desired state.
func (s *site) converged() bool {
	for _, e := range s.bundle.Fleet.Endpoints {
		state := s.engines[e.Name].State()
		if state.Busy || state.Version != e.Version || state.Role != e.Role || state.Model != e.Model {
			return false
		}
	}
	return true
}

// busy returns the number of engines of a role that are carrying out an order.
func (s *site) busy(role configuration.Role) int {
	count := 0
	for _, e := range s.engines {
		if state := e.State(); state.Role == role && state.Busy {
			count++
		}
	}
	return count
}

// ordersAccepted returns the number of orders that changed an engine.
func (s *site) ordersAccepted() int {
	count := 0
	for _, e := range s.engines {
		count += len(e.Counts().OrdersAccepted)
	}
	return count
}

func testBundle() configuration.Bundle {
	seconds := func(n float64) configuration.Duration { return configuration.Duration(n * float64(time.Second)) }
	endpoint := func(name, address string, role configuration.Role) configuration.Endpoint {
		return configuration.Endpoint{
			Name: name, Zone: "zone-a", Address: address, Kind: configuration.KindEngine,
			Model: "drafter", Version: "1", Role: role, Slots: 20, ReportsLoad: true,
		}
	}
	return configuration.Bundle{
		Format: configuration.Format,
		Fleet: configuration.Fleet{
			Zones: []configuration.Zone{{Name: "zone-a"}},
			VMs: []configuration.VM{
				{Name: "vm-1", Zone: "zone-a", Address: "10.0.0.1:9000"},
				{Name: "vm-2", Zone: "zone-a", Address: "10.0.0.2:9000"},
			},
			Endpoints: []configuration.Endpoint{
				endpoint("prefill-1", "10.0.1.1:9100", configuration.RolePrefill),
				endpoint("prefill-2", "10.0.1.2:9100", configuration.RolePrefill),
				endpoint("decode-1", "10.0.2.1:9100", configuration.RoleDecode),
				endpoint("decode-2", "10.0.2.2:9100", configuration.RoleDecode),
				endpoint("decode-3", "10.0.2.3:9100", configuration.RoleDecode),
				endpoint("decode-4", "10.0.2.4:9100", configuration.RoleDecode),
			},
			Models: []configuration.Model{{Name: "drafter", PrefillTokensPerSecond: 5000, TokenInterval: seconds(0.02)}},
			Times: configuration.Times{
				BalancerLag: seconds(5), DrainLimit: seconds(60), LogRetention: seconds(3600),
				KeyWindow: seconds(1800), ClockSkew: seconds(1),
			},
		},
		Teams: []configuration.Team{},
	}
}

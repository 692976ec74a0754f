package reservation

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// zoneFleet has a number of VMs in each zone.
type zoneFleet struct {
	smallFleet
	vms int
}

func (f zoneFleet) EntryVMs(zone string) []string {
	var names []string
	for n := range f.vms {
		names = append(names, fmt.Sprintf("%s-%d", zone, n+1))
	}
	return names
}

// modelOwner returns the VM that owns the model in zone a.
func (n *network) modelOwner() string {
	owner, _ := n.services[n.members[0].VM].router.ownerOf(routeKey{"a", "m"})
	return owner.VM
}

// pressEngines lets each VM of zone a request engines in each interval until the returned
// function is called. Both engines of the zone name their limits in their answers.
func pressEngines(n *network, prefill, decode *limitedPlain, interval time.Duration) (stop func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	for i, m := range n.members {
		running.Go(func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(len(n.members)))
			for request := uint64(1); ; request++ {
				n.mu.Lock()
				s := n.services[m.VM]
				n.mu.Unlock()
				if s != nil {
					running.Go(func() { serveOnEngines(s, m.VM, request, prefill, decode) })
				}
				select {
				case <-ended:
					return
				case <-time.After(interval):
				}
			}
		})
	}
	return func() {
		close(ended)
		running.Wait()
	}
}

// serveOnEngines serves one request on the engines that it is granted.
func serveOnEngines(s *Service, vm string, request uint64, prefill, decode *limitedPlain) {
	d := demand(vm, request)
	d.ID = engine.AttemptID{VM: vm, Incarnation: s.self().Incarnation, Request: request, Attempt: 1}
	d.QueueLimit = 0
	d.Targets.FirstToken = configuration.Duration(600 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	grant, err := s.Reserve(ctx, d)
	if err != nil {
		return
	}
	for _, e := range []*limitedPlain{prefill, decode} {
		sent := time.Now()
		limit := e.answer(vm)
		changed := s.params.Limits.ObserveLimit(e.endpoint.Name, limit, sent)
		if limit.Named || changed || grant.Limited {
			s.Progress(scheduling.Progress{
				ID: grant.ID, Kind: scheduling.EngineLimit, Prefill: e.endpoint.Name, Elapsed: time.Since(sent),
				Limited: limit.Named, Limit: limit.PerSecond,
			})
		}
		if e == prefill {
			s.Progress(scheduling.Progress{ID: grant.ID, Kind: scheduling.PrefillDone, Tokens: 1000})
		}
	}
	s.Progress(scheduling.Progress{ID: grant.ID, Kind: scheduling.FirstTokenSeen})
	s.Progress(scheduling.Progress{ID: grant.ID, Kind: scheduling.Released, Tokens: 10})
}

// Whatever happens to the VMs of a zone and to the limits, prefills and decodes of all VMs must
// stay within what each engine takes.
func TestGrantsOfAllVMsStayWithinTheLimitsOfEngines(t *testing.T) {
	// With several processors the race detector's runtime fails in bubbles of this size.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	named := func(rate float64) endpoint.Limit { return endpoint.Limit{Named: true, PerSecond: rate} }
	cases := map[string]struct {
		vms             int
		prefill, decode endpoint.Limit
		during          func(n *network, prefill, decode *limitedPlain)
		// used is the least share of the lower limit that must be used.
		used float64
	}{
		"decode engine":  {4, endpoint.Limit{}, named(4.3), nil, 0.8},
		"prefill engine": {4, named(4.3), endpoint.Limit{}, nil, 0.8},
		"both engines":   {4, named(6), named(4), nil, 0.7},
		"twenty VMs":     {20, endpoint.Limit{}, named(4), nil, 0.8},
		"takes nothing":  {4, endpoint.Limit{}, named(0), nil, 0},
		"changing limit": {4, endpoint.Limit{}, named(8), func(_ *network, _, decode *limitedPlain) {
			for _, rate := range []float64{2, 7, 1} {
				time.Sleep(6 * time.Second)
				decode.setLimit(named(rate))
			}
		}, 0.6},
		"owner is killed": {4, endpoint.Limit{}, named(4), func(n *network, _, _ *limitedPlain) {
			time.Sleep(5 * time.Second)
			owner := n.modelOwner()
			n.remove(owner)
			time.Sleep(8 * time.Second)
		}, 0.4},
		"owner is cut off": {4, endpoint.Limit{}, named(4), func(n *network, _, _ *limitedPlain) {
			time.Sleep(5 * time.Second)
			owner := n.modelOwner()
			n.cutOff(owner, true)
			time.Sleep(6 * time.Second)
			n.cutOff(owner, false)
			time.Sleep(6 * time.Second)
		}, 0.3},
		"all VMs are cut off": {20, endpoint.Limit{}, named(4), func(n *network, _, _ *limitedPlain) {
			time.Sleep(5 * time.Second)
			for _, m := range n.members {
				n.cutOff(m.VM, true)
			}
			time.Sleep(20 * time.Second)
			for _, m := range n.members {
				n.cutOff(m.VM, false)
			}
			time.Sleep(5 * time.Second)
		}, 0.2},
		"VMs start anew": {4, endpoint.Limit{}, named(4), func(n *network, _, _ *limitedPlain) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for _, vm := range []string{"a-1", "a-2", "a-3", "a-4"} {
				time.Sleep(2 * time.Second)
				n.restart(ctx, vm, func() Fleet { return zoneFleet{smallFleet{50}, 4} })
			}
			time.Sleep(4 * time.Second)
		}, 0.3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startNetwork(t, zoneFleet{smallFleet{50}, c.vms}, map[string]int{"a": c.vms})
				defer n.cancel()
				prefill, decode := newLimitedPlain("a-prefill"), newLimitedPlain("a-decode")
				stop := pressEngines(n, prefill, decode, 5*pressInterval(c.vms))
				time.Sleep(time.Second)
				prefill.setLimit(c.prefill)
				decode.setLimit(c.decode)
				if c.during != nil {
					c.during(n, prefill, decode)
				}
				time.Sleep(10 * time.Second)
				until := time.Now()
				stop()
				used := max(prefill.check(t, until), decode.check(t, until))
				assert.Assert(t, used >= c.used, "only %.2f of the limit was used", used)
				t.Logf("%.2f of the limit was used", used)
			})
		})
	}
}

// A limit that ends must end for the owner soon, whichever holder gets the answer that tells it.
func TestEndOfAnEnginesLimitIsKnownToTheOwner(t *testing.T) {
	// With several processors the race detector's runtime fails in bubbles of this size.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runFleet(t, 50, map[string]int{"a": 12}, func(t *testing.T, n *network) {
		prefill, decode := newLimitedPlain("a-prefill"), newLimitedPlain("a-decode")
		stop := pressEngines(n, prefill, decode, 100*time.Millisecond)
		decode.setLimit(endpoint.Limit{Named: true, PerSecond: 1})
		time.Sleep(6 * time.Second)
		decode.setLimit(endpoint.Limit{})
		time.Sleep(2 * time.Second)
		stop()
		owner := n.modelOwner()
		limit, _ := n.services[owner].params.Limits.Limit("a-decode")
		assert.Assert(t, !limit.Named)
	})
}

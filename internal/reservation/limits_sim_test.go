package reservation

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
)

const (
	// limitWindow is the time over which an endpoint's limit is judged.
	limitWindow = 4 * time.Second
	// limitTold is the time after which a VM that got an answer with a limit counts.
	limitTold = 500 * time.Millisecond
	// limitCallTime is the time of a call to an endpoint.
	limitCallTime = 8 * time.Millisecond
)

// limitedPlain is a plain endpoint that names a limit.
type limitedPlain struct {
	endpoint configuration.Endpoint
	mu       sync.Mutex
	limit    endpoint.Limit
	// rated are the limits over time.
	rated []ratedSince
	// told are the times at which VMs first got an answer with a limit.
	told     map[string]time.Time
	arrivals []plainArrival
}

type ratedSince struct {
	at    time.Time
	limit endpoint.Limit
}

type plainArrival struct {
	vm string
	at time.Time
	// counts is set if the VM had been told of the limit.
	counts bool
}

func newLimitedPlain(name string) *limitedPlain {
	return &limitedPlain{
		endpoint: configuration.Endpoint{Name: name, Zone: "a", Service: "desk"},
		told:     make(map[string]time.Time),
	}
}

func (p *limitedPlain) setLimit(limit endpoint.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.rated = append(p.rated, ratedSince{time.Now(), limit})
}

// call sends a request of a VM, which learns the limit from the answer.
func (p *limitedPlain) call(vm string, s *Service) {
	sent := time.Now()
	limit := p.answer(vm)
	if s.params.Limits.ObserveLimit(p.endpoint.Name, limit, sent) {
		s.ReportLimit(&p.endpoint)
	}
}

// answer answers a request of a VM with the limit.
func (p *limitedPlain) answer(vm string) endpoint.Limit {
	time.Sleep(limitCallTime / 2)
	p.mu.Lock()
	limit, now := p.limit, time.Now()
	told, known := p.told[vm]
	p.arrivals = append(p.arrivals, plainArrival{vm: vm, at: now, counts: known && now.Sub(told) >= limitTold})
	if limit.Named && !known {
		p.told[vm] = now
	}
	p.mu.Unlock()
	time.Sleep(limitCallTime / 2)
	return limit
}

// check checks all windows during which the limit did not change and returns the share of the
// limits that was used.
func (p *limitedPlain) check(t *testing.T, until time.Time) float64 {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	got, took := 0, 0.0
	for n, rated := range p.rated {
		end := until
		if n+1 < len(p.rated) {
			end = p.rated[n+1].at
		}
		if !rated.limit.Named {
			continue
		}
		allowed := 1.5*rated.limit.PerSecond*limitWindow.Seconds() + 5
		took += rated.limit.PerSecond * end.Sub(rated.at).Seconds()
		for i, first := range p.arrivals {
			if first.at.Before(rated.at.Add(limitTold)) || !first.at.Before(end) {
				continue
			}
			got++
			counted := 0
			for _, later := range p.arrivals[i:] {
				if later.counts && later.at.Before(end) && later.at.Sub(first.at) < limitWindow {
					counted++
				}
			}
			if float64(counted) > allowed {
				t.Fatalf("%d requests in 4 s from %v, allowed %.0f", counted, first.at.Sub(p.rated[0].at), allowed)
			}
		}
	}
	return float64(got) / max(took, 1)
}

// press lets each VM try a call in each interval until the returned function is called.
func (p *limitedPlain) press(n *network, interval time.Duration) (stop func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	for i, m := range n.members {
		running.Go(func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(len(n.members)))
			for {
				n.mu.Lock()
				s := n.services[m.VM]
				n.mu.Unlock()
				if s != nil {
					if _, admitted := s.Admit(context.Background(), &p.endpoint); admitted {
						p.call(m.VM, s)
					}
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

// Whatever happens to VMs and to the limit, the calls of all VMs together must stay within what
// the endpoint takes, and use most of it.
func TestCallsOfAllVMsStayWithinTheLimitOfAnEndpoint(t *testing.T) {
	// With several processors the race detector's runtime fails in bubbles of this size.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	named := func(rate float64) endpoint.Limit { return endpoint.Limit{Named: true, PerSecond: rate} }
	cases := map[string]struct {
		sizes map[string]int
		limit float64
		// during happens while all VMs press the endpoint.
		during func(n *network, p *limitedPlain)
		// used is the least share of the limit that must be used.
		used float64
	}{
		"six VMs":       {map[string]int{"a": 2, "b": 2, "c": 2}, 4.3, nil, 0.8},
		"one VM":        {map[string]int{"a": 1}, 4.3, nil, 0.8},
		"sixty VMs":     {map[string]int{"a": 20, "b": 20, "c": 20}, 4.3, nil, 0.8},
		"other zone":    {map[string]int{"b": 3, "c": 3}, 4.3, nil, 0.8},
		"high limit":    {map[string]int{"a": 3, "b": 3}, 60, nil, 0.6},
		"takes nothing": {map[string]int{"a": 3, "b": 3}, 0, nil, 0},
		"less than one": {map[string]int{"a": 3, "b": 3}, 0.4, nil, 0.5},
		"changing limit": {map[string]int{"a": 3, "b": 3}, 8, func(_ *network, p *limitedPlain) {
			for _, rate := range []float64{2, 9, 0.5, 6} {
				time.Sleep(6 * time.Second)
				p.setLimit(named(rate))
			}
		}, 0.6},
		"VMs start anew": {map[string]int{"a": 3, "b": 3}, 4, func(n *network, _ *limitedPlain) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for range 3 {
				for _, vm := range []string{"a-1", "a-2", "a-3", "b-1"} {
					time.Sleep(1500 * time.Millisecond)
					n.restart(ctx, vm, func() Fleet { return smallFleet{slots: 1} })
				}
			}
		}, 0.5},
		"no VM reaches another": {map[string]int{"a": 20, "b": 20}, 4, func(n *network, _ *limitedPlain) {
			time.Sleep(2 * time.Second)
			for _, m := range n.members {
				n.cutOff(m.VM, true)
			}
			time.Sleep(40 * time.Second)
		}, 0.3},
		"VM that admits is killed": {map[string]int{"a": 3, "b": 3}, 4, func(n *network, p *limitedPlain) {
			time.Sleep(5 * time.Second)
			admitter, _ := n.services["b-1"].admitter(&p.endpoint)
			n.remove(admitter.VM)
			time.Sleep(6 * time.Second)
		}, 0.6},
		"VM that admits is cut off": {map[string]int{"a": 3, "b": 3}, 4, func(n *network, p *limitedPlain) {
			time.Sleep(5 * time.Second)
			admitter, _ := n.services["b-1"].admitter(&p.endpoint)
			n.cutOff(admitter.VM, true)
			time.Sleep(6 * time.Second)
			n.cutOff(admitter.VM, false)
			time.Sleep(6 * time.Second)
		}, 0.4},
		"half of the VMs are cut off": {map[string]int{"a": 4, "b": 4}, 4, func(n *network, _ *limitedPlain) {
			time.Sleep(3 * time.Second)
			for _, vm := range []string{"b-1", "b-2", "b-3", "b-4"} {
				n.cutOff(vm, true)
			}
			time.Sleep(10 * time.Second)
			for _, vm := range []string{"b-1", "b-2", "b-3", "b-4"} {
				n.cutOff(vm, false)
			}
			time.Sleep(5 * time.Second)
		}, 0.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, c.sizes, func(t *testing.T, n *network) {
				p := newLimitedPlain("d1")
				stop := p.press(n, pressInterval(len(n.members)))
				time.Sleep(time.Second)
				p.setLimit(named(c.limit))
				if c.during != nil {
					c.during(n, p)
				}
				time.Sleep(10 * time.Second)
				until := time.Now()
				stop()
				used := p.check(t, until)
				assert.Assert(t, used >= c.used, "only %.2f of the limit was used", used)
				t.Logf("%.2f of the limit was used", used)
			})
		})
	}
}

// A limit that ends must end at all VMs, also at those that get no answer of the endpoint
// meanwhile, and an endpoint that starts anew has none.
func TestEndOfALimitIsKnownToAllVMs(t *testing.T) {
	// With several processors the race detector's runtime fails in bubbles of this size.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runFleet(t, 1, map[string]int{"a": 20, "b": 20}, func(t *testing.T, n *network) {
		p := newLimitedPlain("d1")
		stop := p.press(n, pressInterval(len(n.members)))
		p.setLimit(endpoint.Limit{Named: true, PerSecond: 1})
		time.Sleep(8 * time.Second)
		p.setLimit(endpoint.Limit{})
		time.Sleep(2500 * time.Millisecond)
		stop()
		for vm, s := range n.services {
			limit, _ := s.params.Limits.Limit("d1")
			assert.Assert(t, !limit.Named, vm)
			_, admitted := s.Admit(context.Background(), &configuration.Endpoint{Name: "d1/2", Zone: "a", Service: "desk"})
			assert.Assert(t, admitted, fmt.Sprintf("%s: another start", vm))
		}
	})
}

// cutOff partitions a VM from the others, or ends that.
func (n *network) cutOff(vm string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[vm] = cut
}

// pressInterval returns the time between two tries of a VM. Large fleets try less often: the race
// detector's runtime bears a limited number of synchronizations in a bubble.
func pressInterval(vms int) time.Duration {
	if vms > 10 {
		return 200 * time.Millisecond
	}
	return 20 * time.Millisecond
}

package swim

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// fakeNetwork is a peer.Dialer that passes requests to handlers in the same process.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

// HTTPClient implements peer.Dialer.
func (w *fakeNetwork) HTTPClient() connect.HTTPClient { return w }

// BaseURL implements peer.Dialer.
func (w *fakeNetwork) BaseURL(address string) string { return "http://" + address }

// set sets the handler of an address; nil makes the address unreachable.
func (w *fakeNetwork) set(address string, h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handlers[address] = h
}

// Do implements connect.HTTPClient.
func (w *fakeNetwork) Do(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	h := w.handlers[r.URL.Host]
	w.mu.Unlock()
	if h == nil {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

func newFakeNetwork() *fakeNetwork { return &fakeNetwork{handlers: make(map[string]http.Handler)} }

// newService returns a service that is reachable on the network.
func (w *fakeNetwork) newService(vm, address string, incarnation uint64, ring *timeline.Ring) *Service {
	s := New(Params{
		VM: vm, Zone: "zone-a", Address: address, Incarnation: incarnation, Seeds: []string{"10.0.0.1:1"},
		Dialer: w, Events: ring, Random: rand.New(rand.NewPCG(1, incarnation)),
	})
	w.set(address, s.Peer().Handler)
	return s
}

// runService runs a service until the end of the test or until stop is called.
func runService(t *testing.T, s *Service) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	stop = func() { cancel(); running.Wait() }
	t.Cleanup(stop)
	return stop
}

func TestServicePublishesItsViewAndReportsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeNetwork()
		ring := timeline.NewRing("vm-a1", 1, 64)
		first := w.newService("vm-a1", "10.0.0.1:1", 1, ring)
		second := w.newService("vm-a2", "10.0.0.2:1", 2, timeline.NewRing("vm-a2", 2, 64))
		third := w.newService("vm-a3", "10.0.0.3:1", 3, timeline.NewRing("vm-a3", 3, 64))
		var gone []membership.Member
		first.OnGone(func(m membership.Member) { gone = append(gone, m) })
		runService(t, first)
		stop := runService(t, second)
		time.Sleep(2 * time.Second)
		runService(t, third)
		time.Sleep(2 * time.Second)
		assert.Equal(t, first.Self(), membership.Member{
			VM: "vm-a1", Zone: "zone-a", Address: "10.0.0.1:1", Incarnation: 1, State: membership.Alive,
		})
		assert.Equal(t, len(first.Members()), 3)
		assert.Equal(t, first.Members()[2], third.Self())

		snapshot := first.Members()
		w.set("10.0.0.2:1", nil)
		stop()
		time.Sleep(goneTime(3))
		synctest.Wait()
		assert.Equal(t, len(first.Members()), 2)
		assert.Equal(t, len(snapshot), 3, "a published view does not change")
		assert.Equal(t, len(gone), 1)
		assert.Equal(t, gone[0].VM, "vm-a2")
		third.SetDraining()
		time.Sleep(time.Second)
		third.Leave(t.Context())
		time.Sleep(time.Second)
		assert.Equal(t, len(first.Members()), 1)
		var recorded []string
		for _, e := range ring.Since(timeline.Query{}).Events {
			recorded = append(recorded, string(e.Kind)+" "+e.Detail)
		}
		assert.Equal(t, strings.Join(recorded, "\n"), strings.Join([]string{
			"member.alive vm-a2.2", "member.alive vm-a3.3",
			"member.suspect vm-a2.2", "member.gone vm-a2.2", "member.gone vm-a3.3",
		}, "\n"))
	})
}

func TestCountersAreDocumented(t *testing.T) {
	registry := metrics.NewRegistry()
	registry.Mount("membership", newFakeNetwork().newService("vm-a1", "10.0.0.1:1", 1, nil).Vars())
	assert.Equal(t, len(registry.Undocumented())+len(registry.Unpublished()), 0)
}

// twoVMs returns a configuration with two entry VMs of one availability zone.
func twoVMs(t *testing.T) *configuration.Snapshot {
	bundle := configuration.Bundle{Format: configuration.Format}
	bundle.Fleet.Zones = []configuration.Zone{{Name: "zone-a"}}
	bundle.Fleet.Times = configuration.Times{
		DrainLimit:   configuration.Duration(time.Minute),
		LogRetention: configuration.Duration(time.Hour),
		KeyWindow:    configuration.Duration(time.Minute),
	}
	bundle.Fleet.VMs = []configuration.VM{
		{Name: "vm-1", Zone: "zone-a", Address: "10.0.0.1:1"},
		{Name: "vm-2", Zone: "zone-a", Address: "10.0.0.2:1"},
	}
	snapshot, err := configuration.NewSnapshot(bundle)
	assert.NilError(t, err)
	return snapshot
}

// TestVMHasJoinedOnceOthersKnowIt guards against a VM that accepts requests while it
// is in no other view: if it failed, no other VM would cancel its engine work.
func TestVMHasJoinedOnceOthersKnowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeNetwork()
		ring := timeline.NewRing("vm", 1, 100)
		first := w.newService("vm-1", "10.0.0.1:1", 1, ring)
		second := w.newService("vm-2", "10.0.0.2:1", 2, ring)
		// The first VM listens late: the second one's first call to its seed fails, and
		// the next is due only after joinPeriod.
		w.set("10.0.0.1:1", nil)
		defer runService(t, second)()
		time.Sleep(tickPeriod)
		w.set("10.0.0.1:1", first.Peer().Handler)
		defer runService(t, first)()
		for _, s := range []*Service{first, second} {
			assert.Assert(t, !s.Joined(), "joined without a configuration")
			s.ApplyConfiguration(twoVMs(t))
		}
		for !first.Joined() || !second.Joined() {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, len(first.Members()), 2)
		assert.Equal(t, len(second.Members()), 2)
	})
}

func TestIsolatedVMHasJoinedAfterJoinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeNetwork()
		isolated := w.newService("vm-1", "10.0.0.1:1", 1, timeline.NewRing("vm", 1, 100))
		defer runService(t, isolated)()
		isolated.ApplyConfiguration(twoVMs(t))
		time.Sleep(joinLimit + 2*tickPeriod)
		assert.Assert(t, isolated.Joined())
	})
}

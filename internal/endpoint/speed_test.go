package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func registryAt(now *time.Time) *Registry {
	r := NewRegistry(timeline.Discard)
	r.now = func() time.Time { return *now }
	r.random = func() float64 { return 0 }
	return r
}

// answer records an answer with a latency and a load.
func answer(r *Registry, name string, latency time.Duration, load Load) {
	r.ObserveLoad(name, load)
	r.Observe(name, []string{name}, true, latency)
}

// Guards against a choice by counts alone: an idle endpoint that works four times slower finishes
// later than a usual one whose slots are full. Once the statement is old, the slow one is tried again.
func TestSlowEndpointGetsNoRequestsUntilItsStatementIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registryAt(&now)
	slow := &configuration.Endpoint{Name: "slow", Slots: 6}
	usual := &configuration.Endpoint{Name: "usual", Slots: 6}
	observe := func() {
		answer(r, "slow", 240*time.Millisecond, Load{Slots: 6, Slowdown: 4})
		answer(r, "usual", 60*time.Millisecond, Load{Running: 6, Slots: 6, Slowdown: 1})
	}
	observe()
	assert.Equal(t, r.Stats("slow").ServiceTime, r.Stats("usual").ServiceTime)
	for _, candidates := range [][]*configuration.Endpoint{{slow, usual}, {usual, slow}} {
		assert.Equal(t, r.PickLeastLoaded(candidates, "", nil), usual)
	}
	now = now.Add(20 * time.Second)
	r.ObserveLoad("usual", Load{Running: 6, Slots: 6, Slowdown: 1})
	for _, candidates := range [][]*configuration.Endpoint{{slow, usual}, {usual, slow}} {
		assert.Equal(t, r.PickLeastLoaded(candidates, "", nil), slow)
	}
}

// Guards against a change of decisions in deployments without the fourth figure.
func TestEndpointsWithoutSlowdownAreComparedByUtilization(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registryAt(&now)
	slow := &configuration.Endpoint{Name: "slow", Slots: 6}
	busy := &configuration.Endpoint{Name: "busy", Slots: 6}
	answer(r, "slow", 240*time.Millisecond, Load{Slots: 6})
	answer(r, "busy", 60*time.Millisecond, Load{Running: 6, Slots: 6})
	assert.Equal(t, r.PickLeastLoaded([]*configuration.Endpoint{slow, busy}, "", nil), slow)
	assert.Equal(t, r.PickLeastLoaded([]*configuration.Endpoint{busy, slow}, "", nil), slow)
}

// Guards against facts that replace newer ones, or that look newer for having been passed on.
func TestOlderFactsOfOthersChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registryAt(&now)
	r.ObserveLoad("e", Load{Running: 2})
	now = now.Add(100 * time.Millisecond)
	r.LearnFacts("b", []Fact{{Endpoint: "e", Load: Load{Running: 9}, Age: 150 * time.Millisecond}}, now)
	assert.Equal(t, r.get("e").newest.Running, 2)
	r.LearnFacts("b", []Fact{{Endpoint: "e", Load: Load{Running: 5}, Age: 50 * time.Millisecond}}, now)
	assert.Equal(t, r.get("e").newest.Running, 5)
	own, _ := r.OwnFacts()
	assert.Equal(t, len(own), 0, "the fact of another VM is not passed on as an own one")
	foreign, _ := r.ForeignFacts("c")
	assert.DeepEqual(t, foreign, []Fact{{Endpoint: "e", Load: Load{Running: 5}, Age: 50 * time.Millisecond}})
	foreign, _ = r.ForeignFacts("b")
	assert.Equal(t, len(foreign), 0, "a VM does not get its own facts back")
}

// Guards against requests that are held back although the endpoint declined for another reason than
// its queue, or names a limit.
func TestOnlyFullEndpointsAreNotOffered(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &configuration.Endpoint{Name: "e", Slots: 6}
	full := Load{Running: 6, Waiting: 12, Slots: 6}
	for _, test := range []struct {
		name    string
		decline Load
		limited bool
		offered bool
	}{
		{name: "full", decline: full},
		{name: "free slots", decline: Load{Running: 1, Slots: 6}, offered: true},
		{name: "names a limit", decline: full, limited: true, offered: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := registryAt(&now)
			r.random = func() float64 { return 0.99 }
			r.ObserveLimit("e", Limit{Named: test.limited}, now)
			for range 2 * minSum {
				r.Offer(e)
			}
			r.ObserveDecline("e", &test.decline)
			r.ObserveLoad("e", full)
			wait, offered := r.Offer(e)
			assert.Equal(t, offered, test.offered)
			assert.Equal(t, wait > 0, !test.offered)
		})
	}
}

// Guards against requests that stay with a slow endpoint of their zone because few of them run there,
// and against moving them to a zone that has no room.
func TestRequestsLeaveTheZoneOfASlowEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	local := &configuration.Endpoint{Name: "local", Zone: "a", Slots: 6}
	remote := &configuration.Endpoint{Name: "remote", Zone: "b", Slots: 6}
	candidates := []*configuration.Endpoint{local, remote}
	for _, test := range []struct {
		name          string
		slowdown      float64
		remoteRunning int
		want          *configuration.Endpoint
	}{
		{"usual", 1, 0, local},
		{"slow", 4, 0, remote},
		{"slow, no room elsewhere", 4, 9, local},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := registryAt(&now)
			answer(r, "local", time.Duration(60*test.slowdown)*time.Millisecond, Load{Slots: 6, Slowdown: test.slowdown})
			answer(r, "remote", 60*time.Millisecond, Load{Running: test.remoteRunning, Slots: 6, Slowdown: 1})
			assert.Equal(t, r.PickLeastLoaded(candidates, "a", nil), test.want)
		})
	}
}

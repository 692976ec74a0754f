package endpoint

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

var group = []string{"a", "b", "c"}

func live(names ...string) vmlist.List {
	var list vmlist.List
	for _, name := range names {
		list.VMs = append(list.VMs, vmlist.VM{Name: name, State: vmlist.Live})
	}
	return list
}

func TestLeavingAnnouncementOutlastsAStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(timeline.Discard)
		r.ApplyList(live(group...))
		r.MarkLeaving("a")
		time.Sleep(leavingHold - time.Second)
		r.ApplyList(live(group...))
		assert.Assert(t, r.Leaving("a"))
		time.Sleep(2 * time.Second)
		r.ApplyList(live(group...))
		assert.Assert(t, !r.Leaving("a"))
	})
}

func TestListedLeavingAndGoneGetNoWork(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	r.ApplyList(live(group...))
	list := live("a")
	list.VMs = append(list.VMs, vmlist.VM{Name: "b", State: vmlist.Leaving})
	r.ApplyList(list)
	assert.Assert(t, r.Usable("a"))
	assert.Assert(t, !r.Usable("b"))
	assert.Assert(t, !r.Usable("c"))
	r.ApplyList(live(group...))
	assert.Assert(t, r.Usable("b") && r.Usable("c"))
}

func TestFailingEndpointsAreEjectedUpToTheCapAndRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(timeline.Discard)
		for range ejectAfterFailures {
			r.Observe("a", group, false, 0)
			r.Observe("b", group, false, 0)
		}
		assert.Assert(t, !r.Usable("a"))
		assert.Assert(t, r.Usable("b"), "more than a third of the group was ejected")
		time.Sleep(baseEjection)
		assert.Assert(t, r.Usable("a"))
		assert.Assert(t, r.share("a") < 0.5, "a restored endpoint got its full share at once")
		time.Sleep(rampUp)
		assert.Equal(t, r.share("a"), 1.0)
	})
}

func TestSlowEndpointIsEjected(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	for range slowSamples {
		r.Observe("a", group, true, 10*slowFloor)
		r.Observe("b", group, true, slowFloor)
		r.Observe("c", group, true, slowFloor)
	}
	assert.Assert(t, !r.Usable("a"))
	assert.Assert(t, r.Usable("b") && r.Usable("c"))
}

func TestRemoteShareFollowsTheDifference(t *testing.T) {
	for _, test := range []struct {
		name                string
		local, remote, want float64
	}{
		{"equal utilization", 0.6, 0.6, 0},
		{"within the margin", 1, 0.5, 0},
		{"fuller", 1.2, 0.5, 0.2},
		{"overloaded", 3, 0.5, 1},
		{"the remote endpoint is nearly full", 3, 1, 0.5},
		{"all are overloaded", 3, 1.25, 0},
	} {
		assert.Assert(t, math.Abs(remoteShare(test.local-test.remote, test.remote)-test.want) < 1e-9, "%s: %f", test.name, remoteShare(test.local-test.remote, test.remote))
	}
}

func TestLoadReportsDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(timeline.Discard)
	r.now = func() time.Time { return now }
	e := &configuration.Endpoint{Name: "e", Slots: 6}
	r.ObserveLoad("e", Load{Running: 11})
	assert.Equal(t, r.cost(e), 2.0)
	now = now.Add(10 * loadDecay)
	assert.Assert(t, r.cost(e) < 0.2, "%f", r.cost(e))
}

func TestPickPrefersOwnZoneAndLeastInFlight(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	local1 := &configuration.Endpoint{Name: "n1", Zone: "z1"}
	local2 := &configuration.Endpoint{Name: "n2", Zone: "z1"}
	remote := &configuration.Endpoint{Name: "f", Zone: "z2"}
	candidates := []*configuration.Endpoint{local1, local2, remote}
	defer r.Begin("n1")()
	assert.Equal(t, r.PickLeastLoaded(candidates, "z1", nil), local2)
	assert.Equal(t, r.PickLeastLoaded(candidates, "z1", []string{"n1", "n2"}), remote)
}

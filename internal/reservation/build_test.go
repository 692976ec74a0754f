package reservation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// buildFleet has a prefill engine in each zone and the given decode engines.
type buildFleet struct {
	spillFleet
	decodes []configuration.Endpoint
}

func (f buildFleet) Engines(_ string, role configuration.Role, zone string) []*configuration.Endpoint {
	if role == configuration.RolePrefill {
		return []*configuration.Endpoint{{Name: zone + "-prefill", Zone: zone, Role: role}}
	}
	var engines []*configuration.Endpoint
	for i := range f.decodes {
		if f.decodes[i].Zone == zone {
			engines = append(engines, &f.decodes[i])
		}
	}
	return engines
}

func decodeEngine(zone, build string, slots int) configuration.Endpoint {
	return configuration.Endpoint{Name: zone + "-" + build, Zone: zone, Build: build, Role: configuration.RoleDecode, Slots: slots}
}

// pinned returns a demand that continues an answer of a build.
func pinned(vm string, n uint64, build string) scheduling.Demand {
	d := demand(vm, n)
	d.Build, d.Resumed = build, true
	return d
}

func assertNoEngine(t *testing.T, err error) {
	t.Helper()
	refusal := asRefusal(err)
	assert.Assert(t, refusal != nil, "%v", err)
	assert.Equal(t, refusal.Reason, scheduling.RefusedNoEngine)
}

// runBuilds runs a test on three zones with one VM each.
func runBuilds(t *testing.T, decodes []configuration.Endpoint, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork(t, buildFleet{decodes: decodes}, map[string]int{"a": 1, "b": 1, "c": 1})
		defer n.cancel()
		test(t, n)
	})
}

// The few engines of a build may all be in the last zone that a demand would try,
// or in one that has just refused others.
func TestDemandForABuildFindsItInAnyZone(t *testing.T) {
	decodes := []configuration.Endpoint{decodeEngine("a", "v1", 50), decodeEngine("b", "v1", 50), decodeEngine("c", "v2", 50)}
	runBuilds(t, decodes, func(t *testing.T, n *network) {
		s := n.services["a-1"]
		for i := range uint64(20) {
			s.spills.recordRefusal(routeKey{"c", "m"})
			refused := s.counters.SpillsRefused.Load()
			g, err := s.Reserve(t.Context(), pinned("a-1", i, "v2"))
			assert.NilError(t, err)
			assert.Equal(t, g.Decode, "c-v2")
			assert.Assert(t, s.counters.SpillsRefused.Load() <= refused+1, "a zone was tried twice")
			assert.Assert(t, s.spills.mayTry(routeKey{"b", "m"}), "a zone without the build has room for others")
			finishPrefill(s, g.ID)
		}
		started := time.Now()
		_, err := s.Reserve(t.Context(), pinned("a-1", 100, "v3"))
		assertNoEngine(t, err)
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

// Other demands need a share of the zone's slots to be free, so that two full zones
// do not pass their load back and forth.
func TestResumedDemandTakesTheLastSlotOfItsBuildInAnotherZone(t *testing.T) {
	decodes := []configuration.Endpoint{decodeEngine("a", "v1", 1), decodeEngine("b", "v1", 50), decodeEngine("b", "v2", 1)}
	runBuilds(t, decodes, func(t *testing.T, n *network) {
		s, other := n.services["a-1"], n.services["b-1"]
		for i := range uint64(50) {
			d := pinned("b-1", i, "v1")
			g, err := other.Reserve(t.Context(), d)
			assert.NilError(t, err)
			finishPrefill(other, g.ID)
		}
		_, err := other.Reserve(t.Context(), pinned("b-1", 50, "v9"))
		assertNoEngine(t, err)
		g, err := s.Reserve(t.Context(), pinned("a-1", 1, "v2"))
		assert.NilError(t, err)
		assert.Equal(t, g.Decode, "b-v2")
	})
}

// Engines of the build may be full in the only zone that has any, and be free again
// within the time of a call.
func TestResumedDemandWaitsForItsBuildInAnotherZone(t *testing.T) {
	decodes := []configuration.Endpoint{decodeEngine("a", "v1", 1), decodeEngine("b", "v1", 1), decodeEngine("c", "v2", 1)}
	runBuilds(t, decodes, func(t *testing.T, n *network) {
		s := n.services["a-1"]
		first, err := s.Reserve(t.Context(), pinned("a-1", 1, "v2"))
		assert.NilError(t, err)
		finishPrefill(s, first.ID)
		_, err = s.Reserve(t.Context(), pinned("a-1", 2, "v2"))
		assertNoEngine(t, err)
		assert.Assert(t, s.spills.mayTry(routeKey{"c", "m"}), "waiting for a build is no sign of a full zone")
		go func() {
			time.Sleep(spillTimeout / 2)
			s.Progress(releaseProgress(first.ID))
		}()
		second, err := s.Reserve(t.Context(), pinned("a-1", 3, "v2"))
		assert.NilError(t, err)
		assert.Equal(t, second.Decode, "c-v2")
	})
}

// A VM that falls back to its static share may have no slot of the only engine of a
// build.
func TestResumedDemandDoesNotWaitForAnEngineWithoutAShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := buildFleet{decodes: []configuration.Endpoint{decodeEngine("a", "v1", 2), decodeEngine("a", "v2", 1)}}
		n := startNetwork(t, fleet, map[string]int{"a": 2})
		defer n.cancel()
		refused := 0
		for _, vm := range []string{"a-1", "a-2"} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			_, err := n.services[vm].reserveFromShare(ctx, routeKey{"a", "m"}, pinned(vm, 1, "v2"))
			cancel()
			if err != nil {
				assertNoEngine(t, err)
				refused++
			}
		}
		assert.Equal(t, refused, 1, "one of two VMs has the only slot")
	})
}

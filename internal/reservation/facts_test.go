package reservation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

func registryOf(s *Service) *endpoint.Registry { return s.params.Facts.(*endpoint.Registry) }

// Guards against facts that do not reach the other VMs of the zone, or that look newer there than
// they are.
func TestFactsReachTheZoneWithTheRenewals(t *testing.T) {
	runFleet(t, 5, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		registryOf(n.services["a-1"]).ObserveLoad("e", endpoint.Load{Running: 6, Waiting: 3, Slots: 6, Slowdown: 2})
		time.Sleep(3 * heartbeatPeriod)
		synctest.Wait()
		for _, vm := range []string{"a-1", "a-2", "a-3"} {
			stats := registryOf(n.services[vm]).Stats("e")
			assert.Equal(t, stats.ReportAge, 3*heartbeatPeriod, vm)
			assert.Assert(t, stats.ReportedLoad > 5, vm)
			assert.Assert(t, stats.Slowdown > 1.5, vm)
		}
	})
}

// Guards against sums that lose the requests of a VM: all VMs of a zone then hold back the same
// share of what each of them offers.
func TestVMsLearnWhatTheZoneOffers(t *testing.T) {
	runFleet(t, 5, map[string]int{"a": 3}, func(t *testing.T, n *network) {
		e := &configuration.Endpoint{Name: "e", Slots: 1}
		full := endpoint.Load{Running: 1, Waiting: 2, Slots: 1}
		for range 40 {
			for _, vm := range []string{"a-1", "a-2"} {
				r := registryOf(n.services[vm])
				r.Offer(e)
				r.ObserveLoad("e", full)
				r.ObserveDecline("e", &full)
			}
			time.Sleep(50 * time.Millisecond)
		}
		held := 0
		for range 100 {
			// a-3 has offered nothing before.
			if _, ok := registryOf(n.services["a-3"]).Offer(e); !ok {
				held++
			}
		}
		assert.Assert(t, held > 50, "held back %d of 100", held)
	})
}

func TestProgressKeepsAllFieldsOnTheWire(t *testing.T) {
	p := scheduling.Progress{Kind: scheduling.PrefillDone, Prefill: "p", Decode: "d", Tokens: 1, Cached: 2, Elapsed: 3, Limited: true, Limit: 4, Slowdown: 1.5}
	assert.DeepEqual(t, progressFromProto(progressToProto("m", p)), p)
}

// Reports the bytes of facts in a renewal and in its answer, for the calculation in
// docs/CAPACITY.md, and bounds them.
func TestFactsAreSmallAndKeepAllFields(t *testing.T) {
	fact := endpoint.Fact{
		Endpoint: "frontdesk-a-12#173", Load: endpoint.Load{Running: 6, Waiting: 12, Slots: 6, Slowdown: 1.37},
		ServiceTime: 61 * time.Millisecond, QueueKnown: true, QueueLength: 24, Age: 123 * time.Millisecond,
	}
	demand := endpoint.Demand{Endpoint: fact.Endpoint, Offered: 1234, Accepted: 1200.5}
	sent := factsToProto([]endpoint.Fact{fact}, []endpoint.Demand{demand})
	facts, demands := factsFromProto(sent)
	assert.DeepEqual(t, facts, []endpoint.Fact{fact})
	assert.DeepEqual(t, demands, []endpoint.Demand{demand})
	size := func(endpoints int) int {
		return proto.Size(&reservationv1.HeartbeatRequest{SharesFacts: true, Facts: slices.Repeat(sent, endpoints)})
	}
	t.Logf("renewal %d bytes, answer %d bytes, with six endpoints of which three were observed", size(3), size(6))
	assert.Assert(t, size(6) <= 300)
}

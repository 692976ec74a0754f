package orphan

import (
	"fmt"
	"testing"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// BenchmarkPlan measures choosing the engines on which one VM cancels the work
// of another, and reports their number.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ vms, engines int }{{8, 20}, {400, 1300}} {
		b.Run(fmt.Sprintf("vms=%d/engines=%d", size.vms, size.engines), func(b *testing.B) {
			members, engines := benchmarkFleet(size.vms, size.engines)
			gone := processID{vm: members[0].VM, incarnation: members[0].Incarnation}
			var assigned []assignment
			for b.Loop() {
				assigned = plan(gone, members[7].VM, members, engines)
			}
			b.ReportMetric(float64(len(assigned)), "engines")
		})
	}
}

// benchmarkFleet distributes VMs and engines over seven zones.
func benchmarkFleet(vms, engines int) ([]membership.Member, []*configuration.Endpoint) {
	const zones = 7
	zone := func(n int) string { return fmt.Sprint("zone-", n%zones) }
	members := make([]membership.Member, vms)
	for i := range members {
		members[i] = membership.Member{VM: fmt.Sprint("entry-", i), Zone: zone(i), Incarnation: 1, State: membership.Alive}
	}
	endpoints := make([]*configuration.Endpoint, engines)
	for i := range endpoints {
		endpoints[i] = &configuration.Endpoint{Name: fmt.Sprint("engine-", i), Zone: zone(i), Kind: configuration.KindEngine}
	}
	return members, endpoints
}

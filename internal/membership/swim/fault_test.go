package swim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// goneTime returns the time within which the failure of one of n VMs of a zone
// reaches all views of the fleet: a failed direct and indirect probe, the suspicion
// timeout, and the dissemination of the result.
func goneTime(n int) time.Duration {
	probed := 2*probePeriod + pingTimeout + indirectTimeout
	dissemination := time.Duration(doublings(n)) * probePeriod
	return probed + suspicionTimeout(n) + dissemination + 2*linkPeriod
}

// convergedFleet returns a fleet whose VMs all have the right view.
func convergedFleet(t *testing.T, vms, zones int) *sim {
	t.Helper()
	s := newFleet(1, vms, zones)
	s.populateViews()
	s.run(5 * time.Second)
	assert.Equal(t, s.wrongView(), "")
	return s
}

// goneCount returns how many processes were reported as gone to a VM.
func goneCount(s *sim, vm string) int { return len(s.nodes[vm].gone) }

func TestFleetsJoinThroughASeed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		vms, zones int
		limit      time.Duration
	}{
		{2, 1, time.Second}, {8, 4, 2 * time.Second}, {40, 4, 8 * time.Second},
	} {
		took, wrong := newFleet(1, test.vms, test.zones).converge(test.limit)
		assert.Equal(t, wrong, "", "%d VMs after %s", test.vms, took)
	}
}

func TestFailureIsDetectedWithinGoneTime(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ vms, zones int }{{3, 1}, {8, 4}, {8, 3}, {40, 4}} {
		for victim := 1; victim < 4 && victim < test.vms; victim++ {
			s := convergedFleet(t, test.vms, test.zones)
			s.nodes[fmt.Sprintf("vm-%03d", victim)].down = true
			_, wrong := s.converge(goneTime((test.vms + test.zones - 1) / test.zones))
			assert.Equal(t, wrong, "", "%+v", test)
		}
	}
}

func TestIsolatedVMUsesALongerSuspicionTimeout(t *testing.T) {
	s := convergedFleet(t, 2, 1)
	s.nodes["vm-001"].down = true
	s.run(2*probePeriod + pingTimeout + indirectTimeout + suspicionTimeout(2))
	assert.Assert(t, s.wrongView() != "")
	_, wrong := s.converge(suspicionTimeout(2))
	assert.Equal(t, wrong, "")
}

// TestOneWayLossDoesNotChangeViews loses all messages of one direction between two
// VMs. Indirect probes through other VMs still succeed, also if the two are the only
// VMs of their zone.
func TestOneWayLossDoesNotChangeViews(t *testing.T) {
	t.Parallel()
	for _, zones := range []int{1, 2} {
		s := convergedFleet(t, 4, zones)
		s.lost = func(from, to *simNode) bool { return from.VM == "vm-000" && to.VM == "vm-002" }
		for range 300 {
			s.run(100 * time.Millisecond)
			assert.Equal(t, s.wrongView(), "", "%d zones", zones)
		}
	}
}

func TestPausedVMIsGoneThenRejoinsAndDeclaresNobodyGone(t *testing.T) {
	s := convergedFleet(t, 6, 2)
	paused := s.nodes["vm-002"]
	s.pause(paused, 10*time.Second)
	s.run(10*time.Second - time.Millisecond)
	state, _ := s.state(s.nodes["vm-001"], paused.VM)
	assert.Equal(t, state, membership.Gone)
	took, wrong := s.converge(3 * time.Second)
	assert.Equal(t, wrong, "", "%s", took)
	assert.Equal(t, goneCount(s, paused.VM), 0)
	assert.Equal(t, paused.counters.DeclaredGone.Load(), int64(1))
	assert.Equal(t, paused.machine.self.Incarnation, paused.Incarnation)
	assert.Assert(t, paused.machine.self.Refutation > 0)
}

func TestShortPauseDeclaresNobodyGone(t *testing.T) {
	s := convergedFleet(t, 6, 2)
	s.pause(s.nodes["vm-002"], 3*time.Second)
	for range 80 {
		s.run(100 * time.Millisecond)
		for vm := range s.nodes {
			assert.Equal(t, goneCount(s, vm), 0)
		}
	}
	assert.Equal(t, s.wrongView(), "")
}

// TestPartitionedZonesKeepTheirOwnMembers partitions one zone. Each side considers
// the other gone and keeps its own members. Once the partition heals, the views
// converge without a refutation.
func TestPartitionedZonesKeepTheirOwnMembers(t *testing.T) {
	s := convergedFleet(t, 9, 3)
	s.lost = func(a, b *simNode) bool { return (a.Zone == "zone-b") != (b.Zone == "zone-b") }
	s.run(zoneGoneAfter(3) + 5*time.Second)
	for _, viewer := range s.nodes {
		for vm, n := range s.nodes {
			want := membership.Alive
			if (viewer.Zone == "zone-b") != (n.Zone == "zone-b") {
				want = membership.Gone
			}
			state, _ := s.state(viewer, vm)
			assert.Equal(t, state, want, "%s of %s", viewer.VM, vm)
		}
	}
	s.lost = func(_, _ *simNode) bool { return false }
	_, wrong := s.converge(5 * time.Second)
	assert.Equal(t, wrong, "")
	for _, n := range s.nodes {
		assert.Equal(t, n.counters.Refutations.Load(), int64(0), n.VM)
	}
}

func TestZoneWhoseVMsAllFailIsGone(t *testing.T) {
	s := convergedFleet(t, 6, 3)
	for _, n := range s.nodes {
		n.down = n.Zone == "zone-b"
	}
	_, wrong := s.converge(zoneGoneAfter(2) + time.Second)
	assert.Equal(t, wrong, "")
	assert.Equal(t, goneCount(s, "vm-000"), 2)
}

func TestRestartedVMSupersedesItsPreviousIncarnation(t *testing.T) {
	s := convergedFleet(t, 4, 2)
	previous := s.nodes["vm-003"].machine.self.member()
	s.start("vm-003", previous.Zone, "10.9.9.9:7400")
	_, wrong := s.converge(5 * time.Second)
	assert.Equal(t, wrong, "")
	for _, vm := range []string{"vm-000", "vm-001", "vm-002"} {
		_, recorded := s.nodes[vm].gone[detailOf(&previous)]
		assert.Assert(t, recorded && goneCount(s, vm) == 1, "%s: %v", vm, s.nodes[vm].gone)
	}
}

func TestVMIsGoneOnceItsAddressIsTakenOver(t *testing.T) {
	s := convergedFleet(t, 4, 2)
	previous := s.nodes["vm-003"]
	s.start("vm-new", previous.Zone, previous.Address)
	took, wrong := s.converge(4 * time.Second)
	assert.Equal(t, wrong, "", "%s", took)
	assert.Assert(t, took < minSuspicion, "by the address, not by a timeout")
}

// TestCostPerVMDoesNotGrowWithTheFleet applies the same bounds to the busiest VM of a
// small and a large fleet with equal numbers of zones.
func TestCostPerVMDoesNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	const (
		seconds       = 10
		messagesBound = 20
		bytesBound    = 3000
	)
	for _, vms := range []int{8, 80} {
		s := newFleet(1, vms, 4)
		s.populateViews()
		s.run(time.Second)
		for _, n := range s.nodes {
			n.bytes, n.messages = 0, 0
		}
		s.run(seconds * time.Second)
		for _, n := range s.nodes {
			assert.Assert(t, n.messages <= messagesBound*seconds, "%d VMs: %d messages", vms, n.messages)
			assert.Assert(t, n.bytes <= bytesBound*seconds, "%d VMs: %d bytes", vms, n.bytes)
		}
	}
}

// TestHealedPartitionCausesNoTrafficBurst partitions a few VMs of all zones from the
// others, so that each side considers the other gone and the views differ in every
// member. The traffic of each VM stays bounded when the partition heals.
func TestHealedPartitionCausesNoTrafficBurst(t *testing.T) {
	t.Parallel()
	const bytesBound = 100_000
	s := convergedFleet(t, 40, 4)
	minority := func(n *simNode) bool { return n.VM < "vm-005" }
	s.lost = func(a, b *simNode) bool { return minority(a) != minority(b) }
	s.run(time.Minute)
	state, _ := s.state(s.nodes["vm-000"], "vm-004")
	assert.Equal(t, state, membership.Alive)
	state, _ = s.state(s.nodes["vm-000"], "vm-008")
	assert.Equal(t, state, membership.Gone)
	s.lost = func(_, _ *simNode) bool { return false }
	for range 5 {
		for _, n := range s.nodes {
			n.bytes = 0
		}
		s.run(time.Second)
		for vm, n := range s.nodes {
			assert.Assert(t, n.bytes <= bytesBound, "%s: %d bytes in a second", vm, n.bytes)
		}
	}
	assert.Equal(t, s.wrongView(), "")
}

// After all processes were killed, hundreds of VMs start at once and know nobody. They
// all called the same address in turn, which answers a few calls a second; 300 of them
// took 10 s to know each other, 100 took 3 s, and until then each zone had several owners of a ledger.
func TestAllVMsThatStartAtOnceSoonKnowTheirZone(t *testing.T) {
	const vms, zones = 120, 5
	for name, limit := range map[string]time.Duration{
		// The store keeps the addresses of VMs that have run before.
		"addresses are known": 2 * time.Second,
		"a seed is known":     joinLimit,
	} {
		t.Run(name, func(t *testing.T) {
			s := newFleet(1, vms, zones)
			if name == "addresses are known" {
				s.announceAll()
			}
			s.run(limit)
			for _, viewer := range s.nodes {
				for _, vm := range s.nodes {
					state, _ := s.state(viewer, vm.VM)
					assert.Assert(t, vm.Zone != viewer.Zone || state == membership.Alive, "%s does not know %s", viewer.VM, vm.VM)
				}
			}
		})
	}
}

// announceAll gives every VM the addresses of all others.
func (s *sim) announceAll() {
	addresses := make(map[string]string)
	for _, n := range s.nodes {
		addresses[n.Address] = n.VM
	}
	for _, n := range s.nodes {
		n.machine.candidates.configured = addresses
	}
}

// The exchanges of VMs that started together must not come all at the same time later.
func TestExchangesAreSpreadAfterTheStart(t *testing.T) {
	s := newFleet(1, 100, 1)
	s.run(youngPhase + tickPeriod)
	next := make(map[time.Duration]int)
	for _, n := range s.nodes {
		next[n.machine.nextSync.Sub(s.now)/(syncPeriod/5)]++
	}
	for part, vms := range next {
		assert.Assert(t, vms < 50, "%d of 100 VMs exchange within part %d of the period", vms, part)
	}
}

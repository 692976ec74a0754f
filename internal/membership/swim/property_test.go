package swim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// convergenceTime is the time after the end of all faults within which the views of
// a small fleet become right: gone members are called in round-robin order, one per
// joinPeriod, and failed VMs are detected within goneTime.
const convergenceTime = 30 * time.Second

// fault is a fault that a test injects.
type fault struct {
	name  string
	apply func(s *sim, t *rapid.T)
}

var faults = []fault{
	{"loss", func(s *sim, t *rapid.T) {
		share := rapid.Float64Range(0, 0.9).Draw(t, "share")
		s.lost = func(_, _ *simNode) bool { return s.random.Float64() < share }
	}},
	{"one-way loss", func(s *sim, t *rapid.T) {
		from, to := drawNode(s, t, "from"), drawNode(s, t, "to")
		s.lost = func(a, b *simNode) bool { return a.VM == from.VM && b.VM == to.VM }
	}},
	{"inbound loss of a VM", func(s *sim, t *rapid.T) {
		receiver := drawNode(s, t, "vm")
		s.lost = func(_, b *simNode) bool { return b.VM == receiver.VM }
	}},
	{"zone partitioned", func(s *sim, t *rapid.T) {
		zone := drawNode(s, t, "vm").Zone
		s.lost = func(a, b *simNode) bool { return (a.Zone == zone) != (b.Zone == zone) }
	}},
	{"pause", func(s *sim, t *rapid.T) {
		s.pause(drawNode(s, t, "vm"), time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second)
	}},
	{"restart", func(s *sim, t *rapid.T) {
		n := drawNode(s, t, "vm")
		s.start(n.VM, n.Zone, n.Address)
	}},
	{"restart at a new address", func(s *sim, t *rapid.T) {
		if n := drawNode(s, t, "vm"); n.Address != simAddress(0) {
			s.start(n.VM, n.Zone, fmt.Sprintf("10.1.0.1:%d", 1+len(s.bound)))
		}
	}},
	{"address taken by a new VM", func(s *sim, t *rapid.T) {
		n := drawNode(s, t, "vm")
		s.start(fmt.Sprintf("vm-n%d", len(s.nodes)), n.Zone, n.Address)
	}},
	{"crash", func(s *sim, t *rapid.T) {
		if n := drawNode(s, t, "vm"); n.Address != simAddress(0) {
			n.down = true
		}
	}},
}

// drawNode draws a process that is up. There always is one, since the faults keep
// the first VM's address, which is the seed, in use.
func drawNode(s *sim, t *rapid.T, label string) *simNode {
	var up []*simNode
	for _, vm := range sortedKeys(s.nodes) {
		if n := s.nodes[vm]; !n.down {
			up = append(up, n)
		}
	}
	return rapid.SampledFrom(up).Draw(t, label)
}

// TestViewsConvergeAfterFaults injects random, overlapping faults and checks that all
// views are right within convergenceTime after the end of the last one, and stay so.
func TestViewsConvergeAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "vms"), rapid.IntRange(1, 3).Draw(t, "zones"))
		s.run(5 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			f := rapid.SampledFrom(faults).Draw(t, "fault")
			f.apply(s, t)
			s.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		s.lost = func(_, _ *simNode) bool { return false }
		s.run(15 * time.Second)
		for _, n := range s.nodes {
			n.paused = false
		}
		if _, wrong := s.converge(convergenceTime); wrong != "" {
			t.Fatalf("%s after %s: %s", s.now, convergenceTime, wrong)
		}
		s.run(10 * time.Second)
		if wrong := s.wrongView(); wrong != "" {
			t.Fatalf("no longer right: %s", wrong)
		}
	})
}

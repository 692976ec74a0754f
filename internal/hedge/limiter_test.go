package hedge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// vms returns limiters of VMs that are in each other's lists.
func vms(count int, settings Settings) []*Limiter {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("vm%d", i)
	}
	all := make([]*Limiter, count)
	for i, name := range names {
		all[i] = NewLimiter(name, settings)
		all[i].SetVMs(names)
	}
	return all
}

// demand serves requests at each VM, all of which want a hedge, and returns the number of hedges.
func demand(all []*Limiter, requests int) int {
	hedges := 0
	for _, l := range all {
		for range requests {
			l.Earn("desk")
			if l.Take("desk") {
				hedges++
			}
		}
	}
	return hedges
}

// A limit that each VM applies alone would allow 60 times the burst. No exchange between VMs is
// involved, so a partition changes nothing.
func TestLimitHoldsOverAllVMsInAnyPeriod(t *testing.T) {
	for _, settings := range []Settings{{0.05, 10}, {0.05, 60}, {0.02, 100}, {0.5, 7}, {1, 200}} {
		all := vms(60, settings)
		within := func(hedges, requests int, what string) {
			most := settings.Share*float64(requests) + float64(settings.Burst)
			assert.Assert(t, float64(hedges) <= most, "%s: %d hedges of %d requests, %+v", what, hedges, requests, settings)
		}
		within(demand(all, 200), 60*200, "from the start")
		// A quiet time fills all reserves.
		for _, l := range all {
			for range 10_000 {
				l.Earn("desk")
			}
		}
		within(demand(all, 1), 60, "one request after a quiet time")
		for _, l := range all {
			l.Refund("desk")
			l.Refund("desk")
		}
		within(demand(all, 20), 60*20, "after refunds")
	}
}

// The share must be usable: parts that were rounded down everywhere would allow nothing.
func TestPartsAddUpToTheBurst(t *testing.T) {
	for _, burst := range []int{1, 10, 60, 100} {
		sum := 0.0
		for _, l := range vms(60, Settings{0.05, burst}) {
			sum += l.part("desk")
		}
		assert.Equal(t, sum, float64(burst))
	}
	hedges := demand(vms(60, Settings{0.05, 60}), 200)
	assert.Equal(t, hedges, 60*10)
}

// A process that has no part, or was removed from the list, must not add to the sum.
func TestUnlistedVMHedgesNothing(t *testing.T) {
	l := NewLimiter("a", Settings{1, 10})
	assert.Equal(t, demand([]*Limiter{l}, 10), 0)
	l.SetVMs([]string{"a"})
	assert.Equal(t, demand([]*Limiter{l}, 10), 10)
	l.SetVMs([]string{"b"})
	assert.Equal(t, demand([]*Limiter{l}, 10), 0)
}

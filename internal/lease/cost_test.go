package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
)

// observationTime is the time over which appends are counted.
const observationTime = 20 * time.Minute

// countAppends returns the appends per second of one VM that holds the given number
// of leases.
func countAppends(t *testing.T, leases int) float64 {
	appends := 0
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{Latency: time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		v := startVM(ctx, t, &running, log, "vm-a", terms)
		var names []string
		for i := range leases {
			names = append(names, Name("zone-a", fmt.Sprint("model-", i)))
		}
		v.manager.Want(names)
		time.Sleep(observationTime)
		for _, name := range names {
			_, held := v.manager.Held(name)
			assert.Assert(t, held, name)
		}
		assert.Equal(t, v.manager.Counters.Lost.Load(), int64(0))
		appends = log.Appends()
		cancel()
		running.Wait()
	})
	return float64(appends) / observationTime.Seconds()
}

func TestAppendsOfALeaseAreBounded(t *testing.T) {
	for _, leases := range []int{1, 5} {
		rate := countAppends(t, leases)
		t.Logf("%d leases of one VM: %.3f appends/s", leases, rate)
		bound := float64(leases) / terms.Renewal.Seconds() * 1.01
		assert.Assert(t, rate > 0 && rate <= bound, "%d leases: %.3f appends/s", leases, rate)
	}
}

func BenchmarkApplyRenewal(b *testing.B) {
	w := newWriter()
	w.acquire(vmA)
	w.renew(vmA, 0)
	renewal := w.logged[1]
	b.ReportAllocs()
	for b.Loop() {
		w.fold.Apply(renewal)
	}
}

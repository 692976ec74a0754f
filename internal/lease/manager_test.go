package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
)

// awaitHeld waits until a VM holds the lease and returns how long that took.
func awaitHeld(t *testing.T, v *vm, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		if _, held := v.manager.Held(leaseName); held {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Fatalf("%s holds no lease within %s", v.name, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func TestShutdownReleasesTheLeaseAndItsExclusions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{Latency: time.Millisecond})
		firstCtx, stopFirst := context.WithCancel(t.Context())
		secondCtx, stopSecond := context.WithCancel(t.Context())
		var first, second sync.WaitGroup
		a := startVM(firstCtx, t, &first, log, "vm-a", terms)
		awaitHeld(t, a, time.Minute)
		b := startVM(secondCtx, t, &second, log, "vm-b", terms)
		a.manager.Exclude(leaseName, []string{"decode-1"})
		time.Sleep(time.Second)
		assert.Assert(t, b.manager.Excluded("decode-1"))
		stopFirst()
		first.Wait()
		took := awaitHeld(t, b, time.Minute)
		assert.Assert(t, took >= terms.HandoverDelay-time.Second && took < terms.Duration, "took %s", took)
		assert.Assert(t, !b.manager.Excluded("decode-1"))
		stopSecond()
		second.Wait()
	})
}

func TestExclusionEndsWithALeaseThatIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{Latency: time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		a := startVM(ctx, t, &running, log, "vm-a", terms)
		awaitHeld(t, a, time.Minute)
		a.manager.Exclude(leaseName, []string{"decode-1"})
		time.Sleep(time.Second)
		assert.Assert(t, a.manager.Excluded("decode-1"))
		log.SetAway(true)
		time.Sleep(terms.Duration)
		assert.Assert(t, !a.manager.Excluded("decode-1"))
		cancel()
		running.Wait()
	})
}

func TestLateReaderAcquiresNothingBeforeItIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{Latency: time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		a := startVM(ctx, t, &running, log, "vm-a", terms)
		awaitHeld(t, a, time.Minute)
		time.Sleep(time.Minute)
		log.Trim(Stream, 5)
		b := startVM(ctx, t, &running, log, "vm-b", terms)
		time.Sleep(time.Minute)
		a.log.SetPartitioned(true)
		took := awaitHeld(t, b, time.Hour)
		assert.Assert(t, took > terms.settlePeriod()-2*time.Minute, "took %s", took)
		assert.Equal(t, b.manager.Counters.Refused.Load(), int64(0))
		cancel()
		running.Wait()
	})
}

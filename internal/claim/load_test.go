package claim

import (
	"context"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// Parameters of the load measurement.
const (
	loadSpan          = 20 * time.Second
	loadAppendLatency = 5 * time.Millisecond
	loadExecution     = 50 * time.Millisecond
)

// loadResult is the result of one measurement.
type loadResult struct {
	appends, bytes float64
	latency        *hdrhistogram.Histogram
}

// TestAppendsStayWithinTheShare runs keyed calls at rising rates. The appends
// must stay within the share of the log's limit and no call may be refused.
// With LOAD_TABLE set it measures all sizes of docs/CAPACITY.md.
func TestAppendsStayWithinTheShare(t *testing.T) {
	vms, rates := []int{2}, []int{50, 500}
	if os.Getenv("LOAD_TABLE") != "" {
		vms, rates = []int{1, 2, 4, 8}, []int{10, 50, 100, 200, 500, 1000, 2000}
	}
	for _, count := range vms {
		for _, rate := range rates {
			got := measureLoad(t, count, rate)
			t.Logf("| %d | %d | %.0f | %.1f | %.1f | %.1f | %.1f |", count, rate, got.appends, got.bytes/1000,
				float64(got.latency.ValueAtQuantile(50))/1000, float64(got.latency.ValueAtQuantile(99))/1000, float64(got.latency.Max())/1000)
			burst := appendBurst * Shards / loadSpan.Seconds()
			assert.Assert(t, got.appends <= defaultAppendsPerSecond+burst)
		}
	}
}

// measureLoad runs calls at a rate per second over a number of VMs.
func measureLoad(t *testing.T, vms, rate int) loadResult {
	t.Helper()
	result := loadResult{latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		c.log.latency = loadAppendLatency
		for n := range vms {
			c.start(t, "vm-"+strconv.Itoa(n), string(rune('a'+n%3)))
		}
		var mu sync.Mutex
		var work sync.WaitGroup
		interval := time.Second / time.Duration(rate)
		for n := range int(loadSpan / interval) {
			key := Key{Team: "blechklang", Key: newKey(n).Key + "-0123456789abcdef"}
			work.Go(func() {
				began := time.Now()
				decision, err := c.vms[n%vms].claims.Claim(context.Background(), key)
				if err != nil || decision.Kind != Run {
					t.Errorf("claim %d: %v %v", n, decision.Kind, err)
					return
				}
				mu.Lock()
				_ = result.latency.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
				time.Sleep(loadExecution)
				decision.Ticket.Finish(Outcome{Execution: Ran, Delivered: true})
			})
			time.Sleep(interval)
		}
		c.log.mu.Lock()
		result.appends = float64(c.log.appends) / loadSpan.Seconds()
		result.bytes = float64(c.log.bytes) / loadSpan.Seconds()
		c.log.mu.Unlock()
		work.Wait()
		for _, v := range c.vms {
			flush(t, v)
		}
		c.stop()
	})
	return result
}

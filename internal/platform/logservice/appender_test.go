package logservice_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
)

const stream = "s"

func entry(i int) logservice.Entry {
	return logservice.Entry{ID: fmt.Sprintf("vm-1.1.%d", i), Data: []byte{byte(i)}}
}

func newAppender(t *testing.T, log logservice.Service, options logservice.AppenderOptions) *logservice.Appender {
	t.Helper()
	appender, err := logservice.NewAppender(log, options)
	assert.NilError(t, err)
	return appender
}

// firstOffsets returns the lowest offset of each id in the stream.
func firstOffsets(log *logtest.Log) map[string]uint64 {
	page, _ := log.Read(context.Background(), stream, 0, 1<<20, 0)
	offsets := make(map[string]uint64)
	for _, record := range page.Records {
		if _, ok := offsets[record.ID]; !ok {
			offsets[record.ID] = record.Offset
		}
	}
	return offsets
}

func TestBatchingStaysBelowTheAppendLimitAtHighRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{Latency: 5 * time.Millisecond})
		appender := newAppender(t, log, logservice.AppenderOptions{AppendsPerSecond: 50})
		const entries, interval = 4000, time.Millisecond
		var callers sync.WaitGroup
		var slowest time.Duration
		var mu sync.Mutex
		for i := range entries {
			callers.Go(func() {
				start := time.Now()
				_, err := appender.Append(t.Context(), stream, logservice.PurposeClaim, entry(i))
				assert.Check(t, err)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, time.Since(start))
			})
			time.Sleep(interval)
		}
		callers.Wait()
		appender.Close()
		assert.Equal(t, len(firstOffsets(log)), entries)
		assert.Assert(t, log.Appends() <= 4*50+10, "%d appends in 4 s", log.Appends())
		assert.Assert(t, slowest < 150*time.Millisecond, "slowest %s", slowest)
	})
}

func TestSingleEntryIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{Latency: 5 * time.Millisecond})
		appender := newAppender(t, log, logservice.AppenderOptions{})
		defer appender.Close()
		_, err := appender.Append(t.Context(), stream, logservice.PurposeClaim, entry(0))
		assert.NilError(t, err)
		start := time.Now()
		_, err = appender.Append(t.Context(), stream, logservice.PurposeClaim, entry(1))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 5*time.Millisecond)
	})
}

func TestOnePurposeCannotUseTheReservedShareOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{})
		appender := newAppender(t, log, logservice.AppenderOptions{
			AppendsPerSecond: 10, MaxEntries: 1,
			Shares: map[logservice.Purpose]float64{logservice.PurposeClaim: 0.4, logservice.PurposeLease: 0.4},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var flood sync.WaitGroup
		for i := range 200 {
			flood.Go(func() { _, _ = appender.Append(ctx, stream, logservice.PurposeClaim, entry(i)) })
		}
		time.Sleep(time.Second)
		start := time.Now()
		_, err := appender.Append(t.Context(), "lease", logservice.PurposeLease, entry(1000))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) <= 250*time.Millisecond)
		cancel()
		flood.Wait()
		appender.Close()
	})
}

func TestAppendInDoubtIsRecovered(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  logtest.Fault
		copies int
	}{
		{"response lost", logtest.Fault{LoseAnswer: true}, 1},
		{"late effect", logtest.Fault{LoseAnswer: true, Delay: 300 * time.Millisecond}, 1},
		{"effect after resend", logtest.Fault{LoseAnswer: true, Delay: 2 * time.Second}, 2},
		{"request lost", logtest.Fault{LoseRequest: true}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := []logtest.Fault{{}, test.fault}
				log := logtest.New(logtest.Options{Faults: func(string, []logservice.Entry) (f logtest.Fault) {
					if len(faults) > 0 {
						f, faults = faults[0], faults[1:]
					}
					return f
				}})
				appender := newAppender(t, log, logservice.AppenderOptions{})
				for i := range 2 {
					offset, err := appender.Append(t.Context(), stream, logservice.PurposeClaim, entry(i))
					assert.NilError(t, err)
					assert.Equal(t, offset, uint64(i))
				}
				time.Sleep(5 * time.Second)
				appender.Close()
				page, err := log.Read(t.Context(), stream, 0, 10, 0)
				assert.NilError(t, err)
				assert.Equal(t, len(page.Records), 1+test.copies)
			})
		})
	}
}

// TestOutcomesMatchTheLog checks under random faults that a returned offset is the
// lowest one of its record, and that an entry is absent from the log after a
// NotAppended error.
func TestOutcomesMatchTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 30, 30).Draw(rt, "faults")
		var failure error
		timeout := rapid.IntRange(0, 3000).Draw(rt, "timeout_ms")
		synctest.Test(t, func(t *testing.T) {
			appender, log := newFaultyAppender(t, faults)
			results := appendAll(appender, time.Duration(timeout)*time.Millisecond)
			time.Sleep(10 * time.Second)
			failure = checkResults(results, firstOffsets(log))
		})
		assert.NilError(rt, failure)
	})
}

func drawFault(t *rapid.T) logtest.Fault {
	// Some delays end shortly before the append is sent again after 500 ms.
	delay := time.Duration(rapid.SampledFrom([]int{0, 100, 505, 510, 515, 2000}).Draw(t, "delay_ms")) * time.Millisecond
	return rapid.SampledFrom([]logtest.Fault{
		{}, {Outage: true}, {LoseRequest: true}, {LoseAnswer: true}, {LoseAnswer: true, Delay: delay},
	}).Draw(t, "fault")
}

type result struct {
	offset uint64
	err    error
}

// newFaultyAppender returns an Appender on a log with faults in its first appends.
func newFaultyAppender(t *testing.T, faults []logtest.Fault) (*logservice.Appender, *logtest.Log) {
	var mu sync.Mutex
	log := logtest.New(logtest.Options{Latency: 10 * time.Millisecond, Faults: func(string, []logservice.Entry) (f logtest.Fault) {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) > 0 {
			f, faults = faults[0], faults[1:]
		}
		return f
	}})
	return newAppender(t, log, logservice.AppenderOptions{}), log
}

func appendAll(appender *logservice.Appender, timeout time.Duration) []result {
	results := make([]result, 40)
	var callers sync.WaitGroup
	for i := range results {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			results[i].offset, results[i].err = appender.Append(ctx, stream, logservice.PurposeClaim, entry(i))
		})
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	appender.Close()
	return results
}

// checkResults returns an error if a result contradicts the log.
func checkResults(results []result, first map[string]uint64) error {
	for i, r := range results {
		offset, found := first[entry(i).ID]
		if r.err == nil && (!found || offset != r.offset) {
			return fmt.Errorf("entry %d is at %d, not at %d", i, offset, r.offset)
		}
		if errorx.HasTrait(r.err, logservice.NotAppended) && found {
			return fmt.Errorf("entry %d is in the log after %w", i, r.err)
		}
	}
	return nil
}

func TestThrottledAppendIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{AppendsPerSecond: 2})
		appender := newAppender(t, log, logservice.AppenderOptions{MaxEntries: 1})
		var callers sync.WaitGroup
		for i := range 6 {
			callers.Go(func() {
				_, err := appender.Append(t.Context(), stream, logservice.PurposeClaim, entry(i))
				assert.Check(t, err)
			})
		}
		callers.Wait()
		appender.Close()
		assert.Equal(t, len(firstOffsets(log)), 6)
	})
}

package metrics

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest recorded duration; longer ones are recorded as this.
	maxLatency = time.Minute
	// latencySignificantDigits is the precision of recorded durations.
	latencySignificantDigits = 2
)

// latencyBoundsMillis are the upper bounds of the published buckets in milliseconds.
var latencyBoundsMillis = []int64{5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000}

// latencyQuantiles are the published quantiles in percent.
var latencyQuantiles = []float64{50, 90, 99}

// Latency is a histogram of durations. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(1, maxLatency.Milliseconds(), latencySignificantDigits)}
}

// Observe records a duration. Durations above one minute count as one minute.
func (l *Latency) Observe(d time.Duration) {
	ms := min(max(d, time.Millisecond), maxLatency).Milliseconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values outside of the histogram's range.
	_ = l.histogram.RecordValue(ms)
}

// Vars publishes the number of durations, the number up to each bound, and quantiles.
// Bounds and quantiles are in milliseconds.
func (l *Latency) Vars() *expvar.Map {
	values := new(expvar.Map)
	values.Set("count", expvar.Func(func() any { return l.count() }))
	for _, bound := range latencyBoundsMillis {
		values.Set("le_"+strconv.FormatInt(bound, 10)+"_ms", expvar.Func(func() any { return l.countUpTo(bound) }))
	}
	for _, quantile := range latencyQuantiles {
		name := "p" + strconv.FormatFloat(quantile, 'f', -1, 64) + "_ms"
		values.Set(name, expvar.Func(func() any { return l.quantile(quantile) }))
	}
	return values
}

func (l *Latency) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// countUpTo returns the number of durations of at most ms milliseconds.
func (l *Latency) countUpTo(ms int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := int64(0)
	for _, bar := range l.histogram.Distribution() {
		if bar.To <= ms {
			total += bar.Count
		}
	}
	return total
}

func (l *Latency) quantile(percent float64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.ValueAtQuantile(percent)
}

package hedge

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the length of one of the two windows of a histogram, so that 15 to 30 s are recent.
	// A VM gets 4 to 5 requests a second; this gives the quantile of a route at least 30 of them.
	window  = 15 * time.Second
	windows = 2
	// minRouteSamples is the number of latencies below which a route has no quantile. 30 show
	// a quantile of 95 % from the longest value.
	minRouteSamples = 30
	// minSpeedSamples is the number of latencies below which an endpoint counts as usual.
	minSpeedSamples = 5
	// refreshPeriod is how long quantiles are reused, to save the scan of a histogram per request.
	refreshPeriod = 250 * time.Millisecond
	// unit is the resolution of latencies, longest the longest that is recorded.
	unit    = 100 * time.Microsecond
	longest = time.Minute
	// ratioUnit is the resolution of speeds, maxRatio the largest that is recorded.
	ratioUnit, maxRatio = 0.01, 100
	// minQuantile and maxQuantile bound the quantile in percent. Below 80, hedges would mostly go
	// to requests whose answer is due; above 99, the samples do not show it.
	minQuantile, maxQuantile = 80.0, 99.0
	median                   = 50.0
	percent                  = 100
)

// Speeds returns the speed of endpoints.
type Speeds interface {
	// Speed returns the usual time of work at an endpoint, divided by that at the usual endpoint; 0 if it is
	// not known.
	Speed(endpoint string) float64
}

// recent is a histogram of recent values.
type recent struct {
	histogram *hdrhistogram.WindowedHistogram
	rotated   time.Time
	read      time.Time
	merged    *hdrhistogram.Histogram
}

func newRecent(now time.Time, highest int64, digits int) *recent {
	return &recent{histogram: hdrhistogram.NewWindowed(windows, 1, highest, digits), rotated: now}
}

// record adds a value.
func (r *recent) record(now time.Time, value int64) {
	r.rotate(now)
	_ = r.histogram.Current.RecordValue(value) // Callers limit values to the histogram's range.
}

// rotate starts new windows.
func (r *recent) rotate(now time.Time) {
	for n := 0; now.Sub(r.rotated) >= window; n++ {
		if n == windows {
			r.rotated = now
			break
		}
		r.histogram.Rotate()
		r.rotated = r.rotated.Add(window)
		r.merged = nil
	}
}

// all returns the values of all windows as of refreshPeriod ago at most.
func (r *recent) all(now time.Time) *hdrhistogram.Histogram {
	r.rotate(now)
	if r.merged == nil || now.Sub(r.read) >= refreshPeriod {
		r.merged, r.read = r.histogram.Merge(), now
	}
	return r.merged
}

// latencies are the recent latencies of a route.
type latencies struct {
	// raw are those observed, usual those divided by the speed of their endpoints.
	raw, usual *recent
}

// Tracker keeps the recent latencies of routes and the speeds of endpoints, as this VM sees them. It is
// safe for concurrent use.
type Tracker struct {
	quantile float64
	speeds   Speeds

	mu        sync.Mutex
	routes    map[string]*latencies
	endpoints map[string]*recent
	pruned    time.Time
}

// NewTracker returns a tracker for a limit. Requests are hedged after the quantile that half of the share that
// the limit allows exceed at usual endpoints; the other half is left for slow endpoints, most of whose requests
// exceed it. Speeds may be nil; the tracker then estimates them.
func NewTracker(settings Settings, speeds Speeds) *Tracker {
	return &Tracker{
		quantile:  min(maxQuantile, max(minQuantile, percent*(1-settings.Share/2))),
		speeds:    speeds,
		routes:    make(map[string]*latencies),
		endpoints: make(map[string]*recent),
	}
}

// Observe records the latency of an answer of an endpoint.
func (t *Tracker) Observe(now time.Time, route, endpoint string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.routes[route]
	if l == nil {
		l = &latencies{raw: newRecent(now, int64(longest/unit), 2), usual: newRecent(now, int64(longest/unit), 2)}
		t.routes[route] = l
	}
	t.prune(now)
	if raw := l.raw.all(now); raw.TotalCount() >= minRouteSamples {
		e := t.endpoints[endpoint]
		if e == nil {
			e = newRecent(now, maxRatio/ratioUnit, 1)
			t.endpoints[endpoint] = e
		}
		ratio := float64(inUnits(latency)) / float64(max(1, raw.ValueAtQuantile(median)))
		e.record(now, int64(min(maxRatio, max(ratioUnit, ratio))/ratioUnit))
	}
	l.raw.record(now, inUnits(latency))
	l.usual.record(now, inUnits(time.Duration(float64(latency)/t.speed(now, endpoint))))
}

// ObserveAtLeast records that an endpoint had not answered after a time. It counts as an answer at that
// time if it is longer than the route's median: without it, an endpoint whose slow answers are all
// cancelled would seem as fast as others. A shorter one carries no information.
func (t *Tracker) ObserveAtLeast(now time.Time, route, endpoint string, waited time.Duration) {
	t.mu.Lock()
	l := t.routes[route]
	slow := l != nil && l.raw.all(now).TotalCount() >= minRouteSamples && inUnits(waited) > l.raw.all(now).ValueAtQuantile(median)
	t.mu.Unlock()
	if slow {
		t.Observe(now, route, endpoint, waited)
	}
}

// Delay returns the time after which a request at an endpoint may be hedged, and the quantile in percent
// that it stands for; false if too little is known. An endpoint that is slower than usual does not get
// more time: another one answers sooner.
func (t *Tracker) Delay(now time.Time, route, endpoint string) (after time.Duration, quantile float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.routes[route]
	if l == nil || l.usual.all(now).TotalCount() < minRouteSamples {
		return 0, 0, false
	}
	usual := time.Duration(l.usual.all(now).ValueAtQuantile(t.quantile)) * unit
	return time.Duration(float64(usual) * min(1, t.speed(now, endpoint))), t.quantile, true
}

// Remaining estimates how much longer a request of a route that has waited for a time would have taken:
// the median of the recent latencies above that.
func (t *Tracker) Remaining(now time.Time, route string, waited time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.routes[route]
	if l == nil {
		return 0
	}
	all := l.raw.all(now)
	below := int64(0)
	for _, bar := range all.Distribution() {
		if bar.To <= inUnits(waited) {
			below += bar.Count
		}
	}
	if below >= all.TotalCount() {
		return 0
	}
	rank := percent * (float64(below) + float64(all.TotalCount()-below)/2) / float64(all.TotalCount())
	return max(0, time.Duration(all.ValueAtQuantile(rank))*unit-waited)
}

// Speed returns the usual time of an endpoint, divided by that at the usual endpoint; 1 if not known.
func (t *Tracker) Speed(now time.Time, endpoint string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.speed(now, endpoint)
}

func (t *Tracker) speed(now time.Time, endpoint string) float64 {
	if t.speeds != nil {
		if s := t.speeds.Speed(endpoint); s > 0 {
			return s
		}
	}
	e := t.endpoints[endpoint]
	if e == nil || e.all(now).TotalCount() < minSpeedSamples {
		return 1
	}
	return max(ratioUnit, float64(e.all(now).ValueAtQuantile(median))*ratioUnit)
}

// prune drops endpoints and routes without recent answers, such as former ones.
func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.pruned) < window {
		return
	}
	t.pruned = now
	for name, e := range t.endpoints {
		if e.all(now).TotalCount() == 0 {
			delete(t.endpoints, name)
		}
	}
}

func inUnits(d time.Duration) int64 {
	return int64(math.Round(float64(min(longest, max(unit, d))) / float64(unit)))
}

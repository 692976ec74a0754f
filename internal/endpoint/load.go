package endpoint

import (
	"math"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/absence"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// loadAveraging is the time constant over which load reports are averaged. Requests
	// to plain services take some tens of milliseconds, so that it spans several.
	loadAveraging = 300 * time.Millisecond
	// loadDecay is the time constant with which a report loses its weight. An endpoint
	// that was overloaded is tried again without a report of its own.
	loadDecay = 3 * time.Second
	// remoteMargin is by how much an endpoint of the own zone must be fuller than one of
	// another before requests leave the zone: the way there takes time and costs bytes.
	remoteMargin = 0.5
	// remoteRoomy and farFull are how full an endpoint of another zone may be to take all
	// that it is given, and from which on it takes nothing. Where all zones are
	// overloaded, sharing the load would only make everyone late.
	remoteRoomy = 0.75
	remoteFull  = 1.25
)

const (
	// failureWeight is the weight of a new outcome in the failure rate, and
	// failureDecay the time constant with which the rate fades, so that an endpoint
	// that is passed over is tried again.
	failureWeight = 0.2
	failureDecay  = 5 * time.Second
	// failureCost is how full an endpoint that fails all requests counts beside its
	// load. Some failures are the requests' own and occur everywhere.
	failureCost = 4
)

// failures is the part of recent calls to an endpoint that failed or were declined.
type failures struct {
	rate float64
	at   time.Time
}

// observe takes the outcome of a call.
func (f *failures) observe(now time.Time, ok bool) {
	outcome := 1.0
	if ok {
		outcome = 0
	}
	f.rate = f.rateAt(now)
	f.rate += failureWeight * (outcome - f.rate)
	f.at = now
}

// rateAt returns the failure rate.
func (f *failures) rateAt(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate * math.Exp(-float64(now.Sub(f.at))/float64(failureDecay))
}

// reportedLoad is the load that an endpoint told of itself, averaged over its reports.
type reportedLoad struct {
	requests float64
	at       time.Time
}

// observe takes a report.
func (l *reportedLoad) observe(now time.Time, requests int) {
	weight := 1.0
	if !l.at.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(l.at))/float64(loadAveraging))
	}
	l.requests += weight * (float64(requests) - l.requests)
	l.at = now
}

// estimate returns the number of requests that the endpoint has now.
func (l *reportedLoad) estimate(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return l.requests * math.Exp(-float64(now.Sub(l.at))/float64(loadDecay))
}

// ObserveLoad takes the number of requests, running and waiting, that an endpoint
// says it has.
func (r *Registry) ObserveLoad(name string, requests int) {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.observe(r.now(), requests)
}

// ObserveDecline records that an endpoint did not run a request. That is no reason
// to eject it, but one to prefer others.
func (r *Registry) ObserveDecline(name string) {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures.observe(r.now(), false)
	s.unreachable = absence.Absence{}
}

// Stats is what decides on an endpoint in a choice.
type Stats struct {
	// InFlight is the number of this VM's calls on it.
	InFlight int
	// ReportedLoad is the load that it told of itself, faded by Age; 0 if it told none.
	ReportedLoad float64
	// ReportAge is the time since its last report.
	ReportAge time.Duration
	// FailureRate is the part of recent calls that failed or were declined.
	FailureRate float64
}

// Standing returns what is known of an endpoint now.
func (r *Registry) Stats(name string) Stats {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		InFlight:     int(s.inFlight.Load()),
		ReportedLoad: s.load.estimate(now),
		FailureRate:  s.failures.rateAt(now),
	}
	if !s.load.at.IsZero() {
		stats.ReportAge = now.Sub(s.load.at)
	}
	return stats
}

// cost compares endpoints: their fullness, and what a failure costs.
func (r *Registry) cost(e *configuration.Endpoint) float64 {
	stats := r.Stats(e.Name)
	return r.utilization(e, stats) + failureCost*stats.FailureRate
}

// utilization returns an endpoint's requests, as known here and including one more, as
// a part of its slots, over its share of the load. Without slots it counts requests.
func (r *Registry) utilization(e *configuration.Endpoint, stats Stats) float64 {
	requests := max(stats.ReportedLoad, float64(stats.InFlight)) + 1
	return requests / float64(max(1, e.Slots)) / max(minShare, r.share(e.Name))
}

// remoteShare returns the part of requests that go to another zone, given the cost of
// the endpoints that are picked in each. It grows with the difference, so that VMs
// with reports of the same age do not all move at once.
func remoteShare(local, remote float64) float64 {
	return clamp01(local-remote-remoteMargin) * clamp01((remoteFull-remote)/(remoteFull-remoteRoomy))
}

// clamp01 bounds a number to what a clamp01 of a whole can be.
func clamp01(x float64) float64 { return min(1, max(0, x)) }

package endpoint

import (
	"math"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// loadAveraging is the time constant of the moving average over load reports.
	// Requests to plain services take some tens of milliseconds, so that the average
	// spans several of them.
	loadAveraging = 300 * time.Millisecond
	// loadDecay is the time constant with which a reported load decays, so that an
	// endpoint that was overloaded is tried again without a new report.
	loadDecay = 3 * time.Second
	// remoteMargin is by how much the cost of a local endpoint must exceed that of one
	// in another zone before requests leave the zone, since traffic between zones adds
	// latency and uses bandwidth between them.
	remoteMargin = 0.5
	// remoteRoomy is the cost up to which an endpoint in another zone accepts all
	// requests that would leave their zone, and remoteFull the cost from which it
	// accepts none. If all zones are overloaded, moving requests would only make
	// more of them late.
	remoteRoomy = 0.75
	remoteFull  = 1.25
)

const (
	// failureWeight is the weight of a new outcome in the failure rate, and
	// failureDecay the time constant with which the rate decays, so that an endpoint
	// that is not picked for a while is tried again.
	failureWeight = 0.2
	failureDecay  = 5 * time.Second
	// failureCost is added to the utilization of an endpoint that fails all requests.
	// Some failures are caused by the requests themselves and occur on all endpoints.
	failureCost = 4
)

// failures tracks the share of recent calls to an endpoint that failed or were declined.
type failures struct {
	rate float64
	at   time.Time
}

// observe records the outcome of a call.
func (f *failures) observe(now time.Time, ok bool) {
	outcome := 1.0
	if ok {
		outcome = 0
	}
	f.rate = f.rateAt(now)
	f.rate += failureWeight * (outcome - f.rate)
	f.at = now
}

// rateAt returns the failure rate at a time.
func (f *failures) rateAt(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate * math.Exp(-float64(now.Sub(f.at))/float64(failureDecay))
}

// reportedLoad is the load that an endpoint reports, averaged over its reports.
type reportedLoad struct {
	requests float64
	at       time.Time
	// last is the last report.
	last int
}

// observe records a report.
func (l *reportedLoad) observe(now time.Time, requests int) {
	weight := 1.0
	if !l.at.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(l.at))/float64(loadAveraging))
	}
	l.requests += weight * (float64(requests) - l.requests)
	l.at = now
	l.last = requests
}

// estimate returns the estimated number of requests that the endpoint has now.
func (l *reportedLoad) estimate(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return l.requests * math.Exp(-float64(now.Sub(l.at))/float64(loadDecay))
}

// latest returns the last reported load, decayed.
func (l *reportedLoad) latest(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return float64(l.last) * decay(max(0, now.Sub(l.at)), loadDecay)
}

// Load is the load that an endpoint states.
type Load struct {
	Running, Waiting int
	// Slots is the number of requests that it can run at a time; 0 if not stated.
	Slots int
	// Slowdown is the factor by which work takes longer than usual at this moment; 0 if not
	// stated.
	Slowdown float64
}

// ObserveLoad records the load that an endpoint states in an answer to this VM.
func (r *Registry) ObserveLoad(name string, load Load) {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLoad(r.now(), load, "")
}

// observeLoad records the load that a VM, this one if empty, observed at a time.
func (s *State) observeLoad(at time.Time, load Load, vm string) {
	s.newest = newestLoad{Load: load, at: at, vm: vm}
	s.load.observe(at, load.Running+load.Waiting)
	s.slowdown.Observe(at, load.Slowdown)
	s.queue.observe(load)
}

// ran records the outcome of a request that the endpoint ran.
func (s *State) ran(now time.Time, ok bool, latency time.Duration) {
	s.accepted++
	s.demandAt = now
	s.own.add(now, 0, 1, ownSumDecay)
	if ok && !s.newest.at.IsZero() {
		s.service.observe(latency, s.newest.Load, s.newest.Slots)
	}
}

// ObserveDecline records that an endpoint did not run a request, and the load that it stated with
// that; nil if it stated none. This does not count towards an ejection, but other endpoints are
// preferred.
func (r *Registry) ObserveDecline(name string, load *Load) {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures.observe(r.now(), false)
	s.unreachable = cooldown.Cooldown{}
	if load != nil {
		s.queue.decline(*load)
	}
}

// Stats are the figures by which endpoints are compared when one is picked.
type Stats struct {
	// InFlight is the number of this VM's calls in flight.
	InFlight int
	// ReportedLoad is the load that the endpoint reported, decayed over ReportAge; 0 if
	// it reported none.
	ReportedLoad float64
	// ReportAge is the time since the last report; 0 if there was none.
	ReportAge time.Duration
	// FailureRate is the share of recent calls that failed or were declined.
	FailureRate float64
	// Slowdown is the expected slowdown, 0 if the endpoint states none, and ServiceTime the usual
	// service time, 0 if it is not known.
	Slowdown    float64
	ServiceTime time.Duration
}

// Stats returns the current stats of an endpoint.
func (r *Registry) Stats(name string) Stats {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		InFlight:     int(s.inFlight.Load()),
		ReportedLoad: s.load.estimate(now),
		FailureRate:  s.failures.rateAt(now),
		Slowdown:     s.slowdown.Estimate(now),
		ServiceTime:  s.service.mean,
	}
	if !s.load.at.IsZero() {
		stats.ReportAge = now.Sub(s.load.at)
	}
	return stats
}

// cost returns the figure by which endpoints are compared: the utilization plus a
// penalty for failures.
func (r *Registry) cost(e *configuration.Endpoint) float64 {
	stats := r.Stats(e.Name)
	return r.utilization(e, stats) + failureCost*stats.FailureRate
}

// utilization returns an endpoint's known requests plus one, divided by its slots and
// by its share of the load. For an endpoint without slots it divides by one slot.
func (r *Registry) utilization(e *configuration.Endpoint, stats Stats) float64 {
	requests := max(stats.ReportedLoad, float64(stats.InFlight)) + 1
	return requests / float64(max(1, e.Slots)) / max(minShare, r.share(e.Name))
}

// remoteShare returns the share of requests that go to another zone, given the amount
// by which the cost of the endpoint picked in the local zone exceeds that of the one in the other
// zone, and the latter. It grows with the difference, so that VMs with reports of the same age do
// not all switch at once.
func remoteShare(excess, remote float64) float64 {
	return clamp01(excess-remoteMargin) * clamp01((remoteFull-remote)/(remoteFull-remoteRoomy))
}

// clamp01 limits a number to the range from 0 to 1.
func clamp01(x float64) float64 { return min(1, max(0, x)) }

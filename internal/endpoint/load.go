package endpoint

import (
	"math"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// loadMemory is the time constant over which load reports are averaged. Requests
	// to plain services take some tens of milliseconds, so that it spans several.
	loadMemory = 300 * time.Millisecond
	// loadDecay is the time constant with which a report loses its weight. An endpoint
	// that was overloaded is tried again without a report of its own.
	loadDecay = 3 * time.Second
	// farMargin is by how much an endpoint of the own zone must be fuller than one of
	// another before requests leave the zone: the way there takes time and costs bytes.
	farMargin = 0.5
	// farRoomy and farFull are how full an endpoint of another zone may be to take all
	// that it is given, and from which on it takes nothing. Where all zones are
	// overloaded, sharing the load would only make everyone late.
	farRoomy = 0.75
	farFull  = 1.25
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
	f.rate = f.now(now)
	f.rate += failureWeight * (outcome - f.rate)
	f.at = now
}

// now returns the failure rate.
func (f *failures) now(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate * math.Exp(-float64(now.Sub(f.at))/float64(failureDecay))
}

// reported is the load that an endpoint told of itself, averaged over its reports.
type reported struct {
	requests float64
	at       time.Time
}

// observe takes a report.
func (l *reported) observe(now time.Time, requests int) {
	weight := 1.0
	if !l.at.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(l.at))/float64(loadMemory))
	}
	l.requests += weight * (float64(requests) - l.requests)
	l.at = now
}

// estimate returns the number of requests that the endpoint has now.
func (l *reported) estimate(now time.Time) float64 {
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
	s.unreachable = cooldown.Cooldown{}
}

// Standing is what decides on an endpoint in a choice.
type Standing struct {
	// InFlight is the number of this VM's calls on it.
	InFlight int
	// Reported is the load that it told of itself, faded by Age; 0 if it told none.
	Reported float64
	// Age is the time since its last report.
	Age time.Duration
	// Failing is the part of recent calls that failed or were declined.
	Failing float64
}

// Standing returns what is known of an endpoint now.
func (r *Registry) Standing(name string) Standing {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := Standing{
		InFlight: int(s.inFlight.Load()),
		Reported: s.load.estimate(now),
		Failing:  s.failures.now(now),
	}
	if !s.load.at.IsZero() {
		standing.Age = now.Sub(s.load.at)
	}
	return standing
}

// cost compares endpoints: their fullness, and what a failure costs.
func (r *Registry) cost(e *configuration.Endpoint) float64 {
	standing := r.Standing(e.Name)
	return r.fullness(e, standing) + failureCost*standing.Failing
}

// fullness returns an endpoint's requests, as known here and including one more, as
// a part of its slots, over its share of the load. Without slots it counts requests.
func (r *Registry) fullness(e *configuration.Endpoint, standing Standing) float64 {
	requests := max(standing.Reported, float64(standing.InFlight)) + 1
	return requests / float64(max(1, e.Slots)) / max(minShare, r.share(e.Name))
}

// farShare returns the part of requests that go to another zone, given the cost of
// the endpoints that are picked in each. It grows with the difference, so that VMs
// with reports of the same age do not all move at once.
func farShare(near, far float64) float64 {
	return part(near-far-farMargin) * part((farFull-far)/(farFull-farRoomy))
}

// part bounds a number to what a part of a whole can be.
func part(x float64) float64 { return min(1, max(0, x)) }

package endpoint

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// fillTarget is the part of the requests that an endpoint holds at most, in slots and queue,
	// at which it gets as many requests as it accepts. It gets more below and fewer above.
	fillTarget = 0.7
	// fillGain is by how much the rate is raised or lowered, relative to the distance from
	// fillTarget.
	fillGain = 2.0
	// shortQueueExcess is by how much the rate is raised for an endpoint whose queue is as long as
	// its slots; it falls with the square of the length. Such a queue runs empty between two
	// renewals, and a slot that is idle costs more than a decline.
	shortQueueExcess = 1.4
	// minSending is the least share of requests that is sent, so that answers go on to show
	// whether the endpoint is still full.
	minSending = 0.05
	// zoneSumsAge is the age up to which the sums of the zone are used.
	zoneSumsAge = 1500 * time.Millisecond
	// sumDecay is the time constant of the sums of a zone, ownSumDecay that of the sums of one
	// VM, which sends about one request to an endpoint in a second.
	sumDecay    = 500 * time.Millisecond
	ownSumDecay = 8 * time.Second
	// minSum is the least number of requests in a sum from which a ratio is derived.
	minSum = 8
	// minExpectedWait and maxExpectedWait bound the time after which a request that was not
	// sent is asked to return. Bursts last for seconds.
	minExpectedWait = 50 * time.Millisecond
	maxExpectedWait = time.Second
)

// queueLength is the number of waiting requests at which an endpoint was seen to decline others.
type queueLength struct {
	known  bool
	length int
}

// observe records a load. More waiting requests than before show a longer queue.
func (q *queueLength) observe(load Load) {
	if q.known && load.Waiting > q.length {
		q.length = load.Waiting
	}
}

// decline records the load with which an endpoint declined a request. An endpoint with free slots
// declined for another reason than its queue.
func (q *queueLength) decline(load Load) {
	if load.Slots > 0 && load.Running >= load.Slots {
		q.known, q.length = true, load.Waiting
	}
}

// sums are the numbers of requests that were offered to an endpoint, also if they were not sent,
// and of those that it accepted, decayed over time.
type sums struct {
	offered, accepted float64
	at                time.Time
}

// add decays the sums and adds to them.
func (s *sums) add(now time.Time, offered, accepted float64, constant time.Duration) {
	if !s.at.IsZero() {
		weight := decay(max(0, now.Sub(s.at)), constant)
		s.offered *= weight
		s.accepted *= weight
	}
	s.offered += offered
	s.accepted += accepted
	s.at = now
}

// ratio returns the share of the offered requests that was accepted, 1 if there are too few.
func (s *sums) ratio() float64 {
	if s.offered < minSum {
		return 1
	}
	return min(1, s.accepted/s.offered)
}

// Offer reports whether a request should be sent to an endpoint, or whether it is so probable
// that the endpoint declines it that it should go elsewhere. In the latter case, the time is that
// after which the endpoint is expected to have room.
//
// Without a decline by a full endpoint, all requests are sent. An endpoint that names a limit gets
// its requests by that limit.
func (r *Registry) Offer(e *configuration.Endpoint) (time.Duration, bool) {
	s := r.get(e.Name)
	now := r.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offered++
	s.demandAt = now
	s.own.add(now, 1, 0, ownSumDecay)
	slots := s.slots(e)
	if !s.queue.known || slots <= 0 || s.limit.Named {
		return 0, true
	}
	requests := s.load.latest(now)
	if requests <= float64(slots) {
		return 0, true
	}
	full := float64(slots + s.queue.length)
	shortness := float64(slots) / float64(max(1, s.queue.length))
	correction := 1 + shortQueueExcess*shortness*shortness + fillGain*(fillTarget-requests/full)/fillTarget
	share := s.acceptedRatio(now) * correction
	if r.random() < max(minSending, share) {
		return 0, true
	}
	r.Counters.NotOffered.Add(1)
	wait := time.Duration((requests - float64(slots) + 1) / float64(slots) * float64(s.service.mean))
	return min(max(wait, minExpectedWait), maxExpectedWait), false
}

// slots returns the number of slots of the endpoint; 0 if it is not known.
func (s *State) slots(e *configuration.Endpoint) int {
	if e.Slots > 0 {
		return e.Slots
	}
	return s.newest.Slots
}

// acceptedRatio returns the share of offered requests that the endpoint accepted lately, over
// all VMs of the zone if that is known.
func (s *State) acceptedRatio(now time.Time) float64 {
	if now.Sub(s.zone.at) <= zoneSumsAge && s.zone.offered >= minSum {
		return s.zone.ratio()
	}
	return s.own.ratio()
}

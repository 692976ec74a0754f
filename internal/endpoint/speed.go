package endpoint

import (
	"math"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// serviceWeight is the weight of a new sample in the usual service time. Single requests
	// differ by a factor of two and more.
	serviceWeight = 0.05
	// similarFinish is the relative difference up to which expected finishes count as equal.
	// Estimates of the service times of equal endpoints differ by about a tenth.
	similarFinish = 0.25
	// choiceSpread is twice the difference in cost from which on the cheaper one of two endpoints
	// gets all requests if VMs share facts. VMs with the same facts would otherwise all choose the
	// same endpoint until the next renewal: at 0.7 of the capacity with queues of 6, declines
	// doubled (461 instead of 217).
	choiceSpread = 2.0
)

// decay returns the factor by which a weight shrinks within a time.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}

// serviceTime estimates how long an endpoint usually works on a request.
type serviceTime struct {
	mean time.Duration
	// own is set if the estimate is from answers to this VM.
	own bool
}

// observe records the latency of an answer and the newest load, which may state a slowdown.
func (s *serviceTime) observe(latency time.Duration, load Load, slots int) {
	if latency <= 0 || slots <= 0 {
		return
	}
	ahead := 1 + float64(load.Waiting)/float64(slots)
	sample := time.Duration(float64(latency) / ahead)
	if load.Slowdown > 0 {
		sample = time.Duration(float64(sample) / load.Slowdown)
	}
	if !s.own && s.mean == 0 {
		s.mean = sample
	}
	s.own = true
	s.mean += time.Duration(serviceWeight * float64(sample-s.mean))
}

// adopt takes over the estimate of another VM until this one has its own.
func (s *serviceTime) adopt(mean time.Duration) {
	if !s.own && mean > 0 {
		s.mean = mean
	}
}

// expectedFinish returns the time until an endpoint would finish one more request: the wait for
// a slot and one service time. It returns false if the endpoint states no slowdown or its service
// time or slots are not known.
func expectedFinish(e *configuration.Endpoint, stats Stats) (time.Duration, bool) {
	if e.Slots <= 0 || stats.Slowdown <= 0 || stats.ServiceTime <= 0 {
		return 0, false
	}
	requests := max(stats.ReportedLoad, float64(stats.InFlight))
	queued := (max(0, requests-float64(e.Slots)) + 1) / float64(e.Slots)
	finish := (queued + 1) * float64(stats.ServiceTime) * stats.Slowdown
	// An endpoint that fails part of its requests has to be tried more often.
	return time.Duration(finish * (1 + failureCost*stats.FailureRate)), true
}

// better reports whether the second endpoint should get a request rather than the first.
func (r *Registry) better(first, second *configuration.Endpoint) bool {
	finish1, known1 := expectedFinish(first, r.Stats(first.Name))
	finish2, known2 := expectedFinish(second, r.Stats(second.Name))
	if known1 && known2 && !similar(finish1, finish2) {
		return finish2 < finish1
	}
	excess := r.cost(first) - r.cost(second)
	if r.sharedLoad(first.Name) || r.sharedLoad(second.Name) {
		return r.random() < 0.5+excess/choiceSpread
	}
	return excess > 0
}

// similar reports whether two expected finishes count as equal.
func similar(x, y time.Duration) bool {
	return float64(max(x, y)) <= (1+similarFinish)*float64(min(x, y))
}

// excess returns by how much the cost of a local endpoint exceeds that of a remote one: in
// utilization, or in service times of the faster one if that is more.
func (r *Registry) excess(local, remote *configuration.Endpoint) float64 {
	difference := r.cost(local) - r.cost(remote)
	localStats, remoteStats := r.Stats(local.Name), r.Stats(remote.Name)
	finish1, known1 := expectedFinish(local, localStats)
	finish2, known2 := expectedFinish(remote, remoteStats)
	if !known1 || !known2 {
		return difference
	}
	unit := min(localStats.ServiceTime, remoteStats.ServiceTime)
	return max(difference, float64(finish1-finish2)/float64(unit))
}

package endpoint

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// ejectAfterFailures is the number of consecutive failures that cause an ejection.
	ejectAfterFailures = 5
	// slowFactor ejects an endpoint whose mean latency exceeds the group's
	// median by this factor.
	slowFactor = 4.0
	// slowFloor is the latency below which no endpoint counts as slow.
	slowFloor = 50 * time.Millisecond
	// slowSamples is the number of observations needed before latency is considered.
	slowSamples = 20
	// baseEjection is the first ejection's duration; it doubles each time.
	baseEjection = 5 * time.Second
	// maxEjection limits the duration of an ejection.
	maxEjection = 2 * time.Minute
	// rampUp is the time until a restored endpoint gets its full share of the load.
	rampUp = 10 * time.Second
	// minShare is a restored endpoint's initial share of its normal load.
	minShare = 0.1
	// maxEjectedShare limits the share of a group that may be ejected at a time.
	maxEjectedShare = 1.0 / 3
	// latencyWeight is the weight of a new latency observation in the mean.
	latencyWeight = 0.1
)

// outlier detects by failures and latency whether one endpoint is an outlier. It is
// a pure state machine: time is an argument.
type outlier struct {
	consecutive int
	samples     int
	latency     time.Duration
	ejected     bool
	ejection    cooldown.Cooldown
	restored    time.Time
}

// observe records the outcome of a call.
func (o *outlier) observe(ok bool, latency time.Duration) {
	if !ok {
		o.consecutive++
		return
	}
	o.consecutive = 0
	o.samples++
	if o.samples == 1 {
		o.latency = latency
		return
	}
	o.latency += time.Duration(latencyWeight * float64(latency-o.latency))
}

// failing reports whether there are enough consecutive failures for an ejection.
func (o *outlier) failing() bool { return o.consecutive >= ejectAfterFailures }

// slow reports whether the latency is high enough for an ejection, given the group's
// median.
func (o *outlier) slow(median time.Duration) bool {
	if o.samples < slowSamples || o.latency < slowFloor {
		return false
	}
	return float64(o.latency) > slowFactor*float64(median)
}

// eject ejects the endpoint for a period that doubles with each ejection.
func (o *outlier) eject(now time.Time) {
	o.ejected = true
	o.ejection.Extend(now, cooldown.Bounds{First: baseEjection, Longest: maxEjection})
}

// restore ends an ejection whose period has passed and reports whether it did.
func (o *outlier) restore(now time.Time) bool {
	if !o.ejected || !o.ejection.Over(now) {
		return false
	}
	o.ejected = false
	o.restored = now
	o.consecutive = 0
	o.samples = 0
	return true
}

// share returns the share of its normal load that the endpoint should get.
func (o *outlier) share(now time.Time) float64 {
	if o.ejected {
		return 0
	}
	if o.restored.IsZero() {
		return 1
	}
	passed := float64(now.Sub(o.restored)) / float64(rampUp)
	return min(1, max(minShare, passed))
}

// ejectionAllowed reports whether another endpoint of a group may be ejected.
func ejectionAllowed(ejected, size int) bool {
	allowed := max(1, int(maxEjectedShare*float64(size)))
	return size > 1 && ejected < allowed
}

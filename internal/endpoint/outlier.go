package endpoint

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject.
	ejectAfterFailures = 5
	// slowFactor ejects an endpoint whose mean latency exceeds the group's
	// median by this factor.
	slowFactor = 4.0
	// slowFloor is the latency below which no endpoint counts as slow.
	slowFloor = 50 * time.Millisecond
	// slowSamples is the number of observations needed before latency counts.
	slowSamples = 20
	// baseEjection is the first ejection's duration; it doubles each time.
	baseEjection = 5 * time.Second
	// maxEjection bounds an ejection.
	maxEjection = 2 * time.Minute
	// rampUp is how long a restored endpoint takes to get its full share.
	rampUp = 10 * time.Second
	// minShare is a restored endpoint's first share of its normal load.
	minShare = 0.1
	// maxEjectedShare bounds the ejected part of a group.
	maxEjectedShare = 1.0 / 3
	// latencyWeight is the weight of a new latency observation in the mean.
	latencyWeight = 0.1
)

// outlier judges one endpoint by its failures and its latency. It is a pure
// state machine: time is an argument.
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

// failing reports whether consecutive failures call for an ejection.
func (o *outlier) failing() bool { return o.consecutive >= ejectAfterFailures }

// slow reports whether the latency calls for an ejection, given the group's median.
func (o *outlier) slow(median time.Duration) bool {
	if o.samples < slowSamples || o.latency < slowFloor {
		return false
	}
	return float64(o.latency) > slowFactor*float64(median)
}

// eject takes the endpoint out for a period that doubles with each ejection.
func (o *outlier) eject(now time.Time) {
	o.ejected = true
	o.ejection.Extend(now, cooldown.Bounds{First: baseEjection, Longest: maxEjection})
}

// restore lets the endpoint back once its ejection has passed and reports
// whether it did.
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

// share is the part of its normal load that the endpoint should get.
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

// ejectionAllowed reports whether one more of a group may be ejected.
func ejectionAllowed(ejected, size int) bool {
	allowed := max(1, int(maxEjectedShare*float64(size)))
	return size > 1 && ejected < allowed
}

// Package slowdown tracks how much longer than usual work takes on an endpoint at a moment,
// according to the endpoint itself. Endpoints that share machines with other work state a factor
// that changes many times a second.
package slowdown

import (
	"math"
	"time"
)

const (
	// currentDecay is the time constant with which a statement loses its weight against the
	// recent mean.
	currentDecay = 250 * time.Millisecond
	// averaging is the time constant of the recent mean.
	averaging = 2 * time.Second
	// forgetting is the time constant with which the recent mean decays towards 1, so that an
	// endpoint that was slow and got no requests since is tried again.
	forgetting = 5 * time.Second
	// highest bounds a statement, so that one wrong one does not exclude an endpoint for long.
	highest = 100
)

// Tracker tracks the slowdown of one endpoint. It is a pure state machine: time is an argument.
// Its zero value stands for an endpoint that states none.
type Tracker struct {
	current, mean float64
	at            time.Time
}

// Observe records what an endpoint stated at a time; 0 means that it stated none. Statements older
// than the newest one change nothing.
func (t *Tracker) Observe(at time.Time, factor float64) {
	if !(factor > 0) || at.Before(t.at) {
		return
	}
	factor = min(factor, highest)
	if t.at.IsZero() {
		t.mean = factor
	} else {
		age := at.Sub(t.at)
		t.mean = t.meanAfter(age)
		t.mean += (1 - remaining(age, averaging)) * (factor - t.mean)
	}
	t.current, t.at = factor, at
}

// Estimate returns the slowdown that is expected at a time, and 0 if none was ever stated.
func (t *Tracker) Estimate(now time.Time) float64 {
	if t.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(t.at))
	mean := t.meanAfter(age)
	return mean + (t.current-mean)*remaining(age, currentDecay)
}

// meanAfter returns the recent mean at a time after the newest statement.
func (t *Tracker) meanAfter(age time.Duration) float64 {
	return 1 + (t.mean-1)*remaining(age, forgetting)
}

// remaining returns the part of a weight that is left after a time.
func remaining(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(constant))
}

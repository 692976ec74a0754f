package logservice

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Purpose is the category of an append. A purpose can have a reserved share of the
// append limit, which other purposes cannot use up.
type Purpose string

// The purposes of appends.
const (
	PurposeConfiguration Purpose = "configuration"
	PurposeClaim         Purpose = "claim"
	PurposeOutcome       Purpose = "outcome"
	PurposeLease         Purpose = "lease"
)

// burstPeriod determines the burst of a limiter: after an idle period, the appends
// of this much time may be made at once.
const burstPeriod = 100 * time.Millisecond

// appendLimiter limits the rate of appends. A purpose uses its reserved share
// first and then the shared remainder of the limit.
type appendLimiter struct {
	shares     map[Purpose]float64
	reserved   map[Purpose]*rate.Limiter
	shared     *rate.Limiter
	unreserved float64
}

func newAppendLimiter(appendsPerSecond float64, shares map[Purpose]float64) (*appendLimiter, error) {
	unreserved := 1.0
	for purpose, share := range shares {
		if share <= 0 {
			return nil, BadOptions.New("share of %s is %g, must be above 0", purpose, share)
		}
		unreserved -= share
	}
	if unreserved <= 0 {
		return nil, BadOptions.New("shares must sum to less than 1")
	}
	if appendsPerSecond <= 0 {
		return nil, BadOptions.New("append limit is %g, must be above 0", appendsPerSecond)
	}
	l := &appendLimiter{shares: shares, reserved: make(map[Purpose]*rate.Limiter, len(shares)), unreserved: unreserved}
	l.shared = newLimiter(appendsPerSecond * unreserved)
	for purpose, share := range shares {
		l.reserved[purpose] = newLimiter(appendsPerSecond * share)
	}
	return l, nil
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
}

func burstOf(perSecond float64) int {
	return max(1, int(math.Round(perSecond*burstPeriod.Seconds())))
}

func setLimit(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burstOf(perSecond))
}

// setRate changes the limit over all purposes, in appends per second.
func (l *appendLimiter) setRate(appendsPerSecond float64) {
	setLimit(l.shared, appendsPerSecond*l.unreserved)
	for purpose, limiter := range l.reserved {
		setLimit(limiter, appendsPerSecond*l.shares[purpose])
	}
}

// wait blocks until one append is allowed or ctx is done.
func (l *appendLimiter) wait(ctx context.Context, purpose Purpose) error {
	own, ok := l.reserved[purpose]
	if !ok {
		return l.shared.Wait(ctx)
	}
	if own.Allow() || l.shared.Allow() {
		return nil
	}
	return own.Wait(ctx)
}

// guaranteedRate returns the appends per second that are always available to a
// purpose.
func (l *appendLimiter) guaranteedRate(purpose Purpose) float64 {
	if own, ok := l.reserved[purpose]; ok {
		return float64(own.Limit())
	}
	return float64(l.shared.Limit())
}

// rateWindow is the time constant of the exponential decay in observedRate.
const rateWindow = time.Second

// observedRate estimates events per second with exponential decay.
type observedRate struct {
	value float64
	last  time.Time
}

func (r *observedRate) add(now time.Time, events int) {
	r.value = r.at(now) + float64(events)/rateWindow.Seconds()
	r.last = now
}

func (r *observedRate) at(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	elapsed := now.Sub(r.last).Seconds()
	return r.value * math.Exp(-elapsed/rateWindow.Seconds())
}

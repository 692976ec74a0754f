package logservice

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Purpose names what records are appended for. Every purpose has a share of the
// append limit, so that none can starve another.
type Purpose string

// The purposes of appends.
const (
	PurposeConfiguration Purpose = "configuration"
	PurposeClaim         Purpose = "claim"
	PurposeOutcome       Purpose = "outcome"
	PurposeLease         Purpose = "lease"
)

// burstPeriod is the time whose appends may be made at once after a pause.
const burstPeriod = 100 * time.Millisecond

// budget limits appends: a purpose uses its own share first and then what no
// share is set aside for.
type budget struct {
	shares  map[Purpose]float64
	own     map[Purpose]*rate.Limiter
	common  *rate.Limiter
	unbound float64
}

func newBudget(appendsPerSecond float64, shares map[Purpose]float64) (*budget, error) {
	unbound := 1.0
	for purpose, share := range shares {
		if share <= 0 {
			return nil, BadOptions.New("share of %s is %g, must be above 0", purpose, share)
		}
		unbound -= share
	}
	if unbound <= 0 {
		return nil, BadOptions.New("shares must sum to less than 1")
	}
	if appendsPerSecond <= 0 {
		return nil, BadOptions.New("append limit is %g, must be above 0", appendsPerSecond)
	}
	b := &budget{shares: shares, own: make(map[Purpose]*rate.Limiter, len(shares)), unbound: unbound}
	b.common = newLimiter(appendsPerSecond * unbound)
	for purpose, share := range shares {
		b.own[purpose] = newLimiter(appendsPerSecond * share)
	}
	return b, nil
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

// setRate changes the limit over all purposes, appends per second.
func (b *budget) setRate(appendsPerSecond float64) {
	setLimit(b.common, appendsPerSecond*b.unbound)
	for purpose, limiter := range b.own {
		setLimit(limiter, appendsPerSecond*b.shares[purpose])
	}
}

// wait blocks until one append is allowed.
func (b *budget) wait(ctx context.Context, purpose Purpose) error {
	own, ok := b.own[purpose]
	if !ok {
		return b.common.Wait(ctx)
	}
	if own.Allow() || b.common.Allow() {
		return nil
	}
	return own.Wait(ctx)
}

// guaranteed returns the appends per second that a purpose always gets.
func (b *budget) guaranteed(purpose Purpose) float64 {
	if own, ok := b.own[purpose]; ok {
		return float64(own.Limit())
	}
	return float64(b.common.Limit())
}

// rateWindow is the time constant of observed rates.
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

package reservation

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/pacing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Limits holds what this VM knows of the limits that endpoints name.
type Limits interface {
	// Limit returns the newest known limit of an endpoint and the time from which on the
	// endpoint said so.
	Limit(name string) (endpoint.Limit, time.Time)
	// ObserveLimit records what an endpoint said from a time on.
	ObserveLimit(name string, limit endpoint.Limit, at time.Time) bool
}

const (
	// minLimitRate is the rate at which an endpoint that takes fewer requests, or none, gets
	// them in requests per second: only an answer tells that its limit has ended.
	minLimitRate = 0.1
	// limitShare is the fraction of a limit that the static shares of all VMs add up to.
	// Other VMs may still reach the VM that admits calls, and get the whole limit there.
	limitShare = 0.5
	// maxClosed is the longest time for which a VM does not ask again.
	maxClosed = 500 * time.Millisecond
	// limitMemory is how long an unused pacer is kept.
	limitMemory = time.Minute
)

// admitterRetry bounds the time for which a VM that admits calls is not asked after it did not
// answer.
var admitterRetry = cooldown.Bounds{First: 300 * time.Millisecond, Longest: 2 * time.Second}

// admission is the decision on a call to a limited endpoint.
type admission struct {
	admitted bool
	// wait is the time after which to ask again if the call is not admitted.
	wait time.Duration
}

// limiter admits calls to one endpoint.
type limiter struct {
	pacer pacing.Pacer
	// promised is the time that the last caller that was not admitted was told.
	promised time.Time
	used     time.Time
}

// admit admits a call at a rate, in requests per second.
func (l *limiter) admit(now time.Time, rate float64) admission {
	l.used = now
	l.pacer.SetRate(now, rate)
	if l.pacer.Ready(now) {
		l.pacer.Take(now)
		return admission{admitted: true}
	}
	return admission{wait: l.promise(now)}
}

// promise returns a time after which to ask again. Callers get different ones, one for each
// call that is admitted until then.
func (l *limiter) promise(now time.Time) time.Duration {
	next := l.pacer.Next()
	l.promised = l.promised.Add(time.Duration(float64(time.Second) / l.pacer.Rate()))
	if l.promised.Before(next) || l.promised.Sub(next) > maxClosed {
		l.promised = next
	}
	return l.promised.Sub(now)
}

// endpointLimits are the limiters of endpoints at this VM. It is safe for concurrent use.
type endpointLimits struct {
	mu sync.Mutex
	// owned admit the calls of all VMs, shares those of this VM while no other admits them.
	owned, shares map[string]*limiter
	// closed are the times until which this VM does not ask for calls to an endpoint.
	closed map[string]time.Time
	// silent are the VMs that did not answer.
	silent map[string]cooldown.Cooldown
}

func newEndpointLimits() *endpointLimits {
	return &endpointLimits{
		owned:  make(map[string]*limiter),
		shares: make(map[string]*limiter),
		closed: make(map[string]time.Time),
		silent: make(map[string]cooldown.Cooldown),
	}
}

// admitOwned admits a call of any VM at a rate.
func (e *endpointLimits) admitOwned(now time.Time, name string, rate float64) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.owned[name]
	if !ok {
		l = &limiter{}
		e.owned[name] = l
	}
	return l.admit(now, rate)
}

// admitFromShare admits a call of this VM at its share of a rate. The first calls of different
// VMs are spread.
func (e *endpointLimits) admitFromShare(now time.Time, name string, rate float64, vms int) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := limitShare * rate / float64(max(1, vms))
	l, ok := e.shares[name]
	if !ok {
		l = &limiter{}
		l.pacer.SetRate(now, share)
		l.pacer.Stagger(now, rand.Float64())
		e.shares[name] = l
	}
	return l.admit(now, share)
}

// closedFor returns the time for which this VM does not ask for calls to an endpoint.
func (e *endpointLimits) closedFor(now time.Time, name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed[name].Sub(now)
}

// close makes this VM not ask for calls to an endpoint for a time.
func (e *endpointLimits) close(now time.Time, name string, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed[name] = now.Add(min(wait, maxClosed))
}

// answered records whether a VM answered.
func (e *endpointLimits) answered(now time.Time, vm string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		delete(e.silent, vm)
		return
	}
	last := e.silent[vm]
	last.Fail(now, admitterRetry)
	e.silent[vm] = last
}

// isSilent reports whether a VM is not asked because it did not answer.
func (e *endpointLimits) isSilent(now time.Time, vm string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.silent[vm].Over(now)
}

// forget drops what was not used for limitMemory.
func (e *endpointLimits) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, limiters := range []map[string]*limiter{e.owned, e.shares} {
		for name, l := range limiters {
			if now.Sub(l.used) > limitMemory {
				delete(limiters, name)
			}
		}
	}
	for name, until := range e.closed {
		if now.After(until) {
			delete(e.closed, name)
		}
	}
}

// setLimits sets the limits that engines name.
func (s *Service) setLimits(states []scheduling.EngineState) {
	if s.params.Limits == nil {
		return
	}
	for i := range states {
		if limit, _ := s.params.Limits.Limit(states[i].Name); limit.Named {
			states[i].Limit = rateOf(limit)
		}
	}
}

// observeLimit records the limit that a holder reports, and replaces it by the newest one that
// this VM knows.
func (s *Service) observeLimit(p *scheduling.Progress) {
	if p.Kind != scheduling.EngineLimit || s.params.Limits == nil {
		return
	}
	reported := endpoint.Limit{Named: p.Limited, PerSecond: p.Limit}
	s.params.Limits.ObserveLimit(p.Prefill, reported, time.Now().Add(-p.Elapsed))
	newest, _ := s.params.Limits.Limit(p.Prefill)
	p.Limited, p.Limit = newest.Named, rateOf(newest)
}

// rateOf returns the rate at which an endpoint gets requests, in requests per second.
func rateOf(limit endpoint.Limit) float64 { return max(minLimitRate, limit.PerSecond) }

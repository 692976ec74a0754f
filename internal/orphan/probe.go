package orphan

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	// partitionGracePeriod is how long an engine of a zone that may have been
	// partitioned must have responded to probes before work is cancelled on it.
	// Entry VMs of the zone that are alive are visible again within this time.
	partitionGracePeriod = 5 * time.Second
	// probeInterval is the time between two probes of an engine that responds.
	probeInterval = time.Second
	// maxProbeGap is the longest time between two responses that count as
	// uninterrupted.
	maxProbeGap = 2*probeInterval + callTimeout
)

// probe tracks whether an engine of a remote zone responds. All tasks of the
// engine share it.
type probe struct {
	// respondingSince is the time since which the engine has responded without
	// interruption, zero if it does not respond.
	respondingSince time.Time
	// lastResponse is the time of the last response.
	lastResponse time.Time
	// nextProbe is the time of the next probe.
	nextProbe           time.Time
	consecutiveFailures int
	inFlight            bool
}

// respondedLongEnough reports whether the engine has responded for the grace
// period.
func (p *probe) respondedLongEnough(now time.Time) bool {
	return !p.respondingSince.IsZero() && now.Sub(p.respondingSince) >= partitionGracePeriod && now.Sub(p.lastResponse) <= maxProbeGap
}

// due reports whether the engine is to be probed.
func (p *probe) due(now time.Time) bool { return !p.inFlight && !now.Before(p.nextProbe) }

// record records the outcome of a probe.
func (p *probe) record(now time.Time, responded bool) {
	p.inFlight = false
	if !responded {
		p.respondingSince = time.Time{}
		p.nextProbe = now.Add(delayAfter(p.consecutiveFailures))
		p.consecutiveFailures++
		return
	}
	if p.respondingSince.IsZero() || now.Sub(p.lastResponse) > maxProbeGap {
		p.respondingSince = now
	}
	p.lastResponse = now
	p.consecutiveFailures = 0
	p.nextProbe = now.Add(probeInterval)
}

// probeEngine reports whether an engine responds. A response that rejects the
// request is enough, because it comes from the engine itself.
func (s *Service) probeEngine(ctx context.Context, name string) bool {
	client, found := s.params.Clients.Engine(name)
	if !found {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := client.Load(ctx)
	return err == nil || errorx.IsOfType(err, engine.BadRequest)
}

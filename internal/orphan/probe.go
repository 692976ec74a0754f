package orphan

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	// settleTime is how long an engine of a zone that may have been cut off must
	// have answered before work is cancelled there. Its entry VMs are seen again
	// within this time if they are alive.
	partitionGracePeriod = 5 * time.Second
	// lookPeriod is the time between two looks at an engine that answers.
	probeInterval = time.Second
	// lookGap is the longest time between two looks that count as following on
	// one another.
	maxProbeGap = 2*probeInterval + callTimeout
)

// look is what is known of whether an engine of a remote zone answers. All
// tasks of the engine share it.
type probe struct {
	// since is the time from which on the engine has answered, zero if it does not.
	answeringSince time.Time
	// last is the time of its last answer.
	lastAnswer time.Time
	// next is the time of the next look.
	nextProbe           time.Time
	consecutiveFailures int
	inFlight            bool
}

// settled reports whether the engine has answered for long enough.
func (p *probe) answeredLongEnough(now time.Time) bool {
	return !p.answeringSince.IsZero() && now.Sub(p.answeringSince) >= partitionGracePeriod && now.Sub(p.lastAnswer) <= maxProbeGap
}

// due reports whether the engine is to be asked.
func (p *probe) due(now time.Time) bool { return !p.inFlight && !now.Before(p.nextProbe) }

// finish takes the outcome of a look.
func (p *probe) record(now time.Time, answered bool) {
	p.inFlight = false
	if !answered {
		p.answeringSince = time.Time{}
		p.nextProbe = now.Add(delayAfter(p.consecutiveFailures))
		p.consecutiveFailures++
		return
	}
	if p.answeringSince.IsZero() || now.Sub(p.lastAnswer) > maxProbeGap {
		p.answeringSince = now
	}
	p.lastAnswer = now
	p.consecutiveFailures = 0
	p.nextProbe = now.Add(probeInterval)
}

// lookAt asks an engine whether it answers. Any answer of the engine's own will
// do.
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

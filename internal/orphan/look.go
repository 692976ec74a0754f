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
	settleTime = 5 * time.Second
	// lookPeriod is the time between two looks at an engine that answers.
	lookPeriod = time.Second
	// lookGap is the longest time between two looks that count as following on
	// one another.
	lookGap = 2*lookPeriod + callTimeout
)

// look is what is known of whether an engine of a remote zone answers. All
// tasks of the engine share it.
type look struct {
	// since is the time from which on the engine has answered, zero if it does not.
	since time.Time
	// last is the time of its last answer.
	last time.Time
	// next is the time of the next look.
	next     time.Time
	failures int
	flying   bool
}

// settled reports whether the engine has answered for long enough.
func (l *look) settled(now time.Time) bool {
	return !l.since.IsZero() && now.Sub(l.since) >= settleTime && now.Sub(l.last) <= lookGap
}

// due reports whether the engine is to be asked.
func (l *look) due(now time.Time) bool { return !l.flying && !now.Before(l.next) }

// finish takes the outcome of a look.
func (l *look) finish(now time.Time, answered bool) {
	l.flying = false
	if !answered {
		l.since = time.Time{}
		l.next = now.Add(delayAfter(l.failures))
		l.failures++
		return
	}
	if l.since.IsZero() || now.Sub(l.last) > lookGap {
		l.since = now
	}
	l.last = now
	l.failures = 0
	l.next = now.Add(lookPeriod)
}

// lookAt asks an engine whether it answers. Any answer of the engine's own will
// do.
func (s *Service) lookAt(ctx context.Context, name string) bool {
	client, found := s.params.Clients.Engine(name)
	if !found {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := client.Load(ctx)
	return err == nil || errorx.IsOfType(err, engine.BadRequest)
}

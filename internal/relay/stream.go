package relay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// streamStallTimeout is how long a resumable stream may go without events before it
// is resumed on another engine. Callers give up after two seconds without an event.
const streamStallTimeout = 1300 * time.Millisecond

// stream forwards the events of one engine to the caller.
type stream struct {
	relay      *Relay
	generation *generation
	id         engine.AttemptID
	endpoint   *configuration.Endpoint
	started    time.Time
	// silent is set once the engine sent no event for streamStallTimeout.
	silent atomic.Bool
}

// forward sends events to the caller as they arrive. It returns nil if the stream
// was complete according to its framing.
func (s *stream) forward(ctx context.Context, response *upstream.Response) error {
	g := s.generation
	events := newEventReader(response)
	events.lastID = g.lastEventID
	stallTimer := s.abortOnStall(response)
	defer stallTimer.Stop()
	for first := true; ; first = false {
		complete, err := events.next()
		if err != nil {
			return s.handleEnd(ctx, response, err)
		}
		stallTimer.Reset(streamStallTimeout)
		if !g.headerSent {
			g.headerSent = true
			g.caller.Begin(response.Status, response.Header)
		}
		if err := g.caller.Event(complete); err != nil {
			return context.Canceled
		}
		s.recordEvents(events, first)
	}
}

// abortOnStall returns a timer that aborts the response of a resumable stream if no
// event arrives in time.
func (s *stream) abortOnStall(response *upstream.Response) *time.Timer {
	timer := time.AfterFunc(streamStallTimeout, func() {
		s.silent.Store(true)
		s.relay.Counters.Silences.Add(1)
		response.Abort()
	})
	if !s.generation.route.Resumable {
		timer.Stop()
	}
	return timer
}

// recordEvents records and reports the progress after events were sent to the caller.
func (s *stream) recordEvents(events *eventReader, first bool) {
	g := s.generation
	g.lastEventID = events.lastID
	g.recordEventTime(time.Now())
	if first && g.deliveredBefore == 0 {
		s.relay.FirstEvents.Observe(g.firstEvent.Sub(g.request.Arrived))
	}
	g.delivered += events.takeEventCount() * g.service.Engines.TokensPerEvent
	if first {
		s.relay.options.Reserver.Progress(scheduling.Progress{
			ID: s.id, Kind: scheduling.FirstTokenSeen, Decode: s.endpoint.Name, Elapsed: time.Since(s.started),
		})
	}
	s.relay.options.Reserver.Delivered(s.id, g.delivered-g.deliveredBefore)
}

// recordEventTime records that the caller got events at a time.
func (g *generation) recordEventTime(now time.Time) {
	if g.firstEvent.IsZero() {
		g.firstEvent = now
	} else {
		g.longestPause = max(g.longestPause, now.Sub(g.lastEvent))
	}
	g.lastEvent = now
}

// handleEnd handles the end of an engine's stream. It returns nil if the answer is
// complete, errRetry if another attempt may follow, and otherwise errGiveUp or the
// error of ctx.
func (s *stream) handleEnd(ctx context.Context, response *upstream.Response, err error) error {
	r, g := s.relay, s.generation
	if errors.Is(err, io.EOF) && g.headerSent {
		r.observe(g, s.endpoint, true)
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.observe(g, s.endpoint, false)
	r.decide(g.exchange, "stream cut", logrus.Fields{
		"endpoint": s.endpoint.Name, "tokens": g.delivered, "last_event": g.lastEventID, "error": err.Error(),
		"silent": s.silent.Load(), "resumable": g.route.Resumable,
	})
	response.Close()
	g.exclude = append(g.exclude, s.endpoint.Name)
	if g.route.RunsOnce() {
		g.obstacle = obstacleSingleRun
		return errGiveUp
	}
	r.Counters.Resumed.Add(1)
	return errRetry
}

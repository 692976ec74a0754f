package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// streamStallTimeout is how long a stream that may be resumed can be silent before it
// goes on at another engine. Callers give up after two seconds.
const streamStallTimeout = 1300 * time.Millisecond

// stream passes the events of one engine to the caller.
type stream struct {
	relay      *Relay
	generation *generation
	id         engine.AttemptID
	endpoint   *configuration.Endpoint
	started    time.Time
}

// forward hands events on as they arrive. It returns nil after the last event of a
// stream that ended as its framing says.
func (s *stream) forward(ctx context.Context, response *upstream.Response) error {
	g := s.generation
	events := newEventReader(response)
	events.lastID = g.lastEventID
	stallTimer := s.abortOnStall(response)
	defer stallTimer.Stop()
	for first := true; ; first = false {
		whole, err := events.next()
		if err != nil {
			return s.handleEnd(ctx, response, err)
		}
		stallTimer.Reset(streamStallTimeout)
		if !g.headerSent {
			g.headerSent = true
			g.caller.Begin(response.Status, response.Header)
		}
		if err := g.caller.Event(whole); err != nil {
			return context.Canceled
		}
		s.recordEvents(events, first)
	}
}

// abortOnStall ends the response of a resumable stream that falls silent.
func (s *stream) abortOnStall(response *upstream.Response) *time.Timer {
	timer := time.AfterFunc(streamStallTimeout, response.Abort)
	if !s.generation.route.Resumable {
		timer.Stop()
	}
	return timer
}

// recordEvents notes what the caller has.
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

// recordEventTime records the times of events.
func (g *generation) recordEventTime(now time.Time) {
	if g.firstEvent.IsZero() {
		g.firstEvent = now
	} else {
		g.longestPause = max(g.longestPause, now.Sub(g.lastEvent))
	}
	g.lastEvent = now
}

// handleEnd decides what follows the end of an engine's stream.
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
	})
	response.Close()
	g.exclude = append(g.exclude, s.endpoint.Name)
	if g.route.RunsOnce() {
		return errGiveUp
	}
	r.Counters.Resumed.Add(1)
	return errRetry
}

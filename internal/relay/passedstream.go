package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// passedStream is what the caller has of a plain service's stream.
type passedStream struct {
	// enginePart is what the latest endpoint sent.
	enginePart
	// lastEventID is the ID of the last event that the caller got from any endpoint, empty if that event has none.
	lastEventID string
	// sequence is that of its events so far.
	sequence sequence
	// build is the build of the endpoint that began the stream.
	build string
	// firstEvent is the time from the request's arrival to the first event.
	firstEvent time.Duration
}

// isStream reports whether an answer of a plain service is passed on event by event. Requests of streaming routes are not
// hedged, so that no other attempt runs beside it.
func (x *exchange) isStream(call *Call, response *upstream.Response, verdict *Verdict) bool {
	return x.route.Kind == routing.Streaming && call.Stage != Prefill && response.Status == http.StatusOK &&
		!verdict.NotEvents && !verdict.NotRun
}

// isNoRest reports whether an answer is no events although its caller has the beginning of a stream.
func (x *exchange) isNoRest(call *Call, verdict *Verdict) bool {
	if call.Stage == Prefill || verdict.NotRun {
		return false
	}
	return x.passage != nil || x.request.TakeUp != nil && x.route.Kind == routing.Streaming && verdict.NotEvents
}

// lastEventID returns the ID of the last event that was passed on, empty if there is none. A nil passage has none.
func (p *passage) lastEventID() string {
	if p == nil || p.stream == nil {
		return ""
	}
	return p.stream.lastEventID
}

// passedSequence returns the sequence that the events of an endpoint must continue, and whether the caller has the
// beginning of the stream. No number may be left out where another endpoint goes on if none was before.
func (x *exchange) passedSequence() (s sequence, begun bool) {
	switch takeUp := x.request.TakeUp; {
	case x.passage != nil:
		s = x.passage.stream.sequence
		s.exact = s.dense()
		return s, true
	case takeUp == nil:
		return newSparseSequence(""), false
	case takeUp.Ambiguous:
		return newSparseSequence(""), true
	default:
		return newSparseSequence(takeUp.LastEventID), true
	}
}

// mayGoOn reports whether another endpoint may send the rest of the answer. A nil passage has sent nothing yet. A stream
// can only be checked to go on after an event with a number.
func (p *passage) mayGoOn() bool {
	if p == nil {
		return true
	}
	if p.stream == nil {
		return false
	}
	_, err := strconv.ParseUint(p.lastEventID(), 10, 64)
	return err == nil
}

// successors returns the endpoints that may send the rest of the answer.
func (p *passage) successors(endpoints []*configuration.Endpoint) []*configuration.Endpoint {
	if p == nil || p.stream == nil {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *configuration.Endpoint) bool { return e.Build != p.stream.build })
}

// passEvents passes the events of a plain service's answer on as they arrive, if they continue what the caller has. The
// error is the reason why the answer is not complete. An answer without events is returned whole, unless the caller has the
// beginning of the stream: it is no end of that. The timer ends ctx before the first event, and at the deadline.
func (r *Relay) passEvents(
	ctx context.Context, x *exchange, from *configuration.Endpoint, response *upstream.Response, timer *time.Timer,
) (*answerBuffer, error) {
	events := newEventReader(response)
	var begun bool
	events.sequence, begun = x.passedSequence()
	events.format = blockFormat{fields: r.options.Dialect.EventFields(), optionalID: true}
	events.memory, events.ctx, events.maxBytes = x.request.Memory, ctx, maxAnswerBytes
	defer events.release()
	part := enginePart{framing: response.Framing()}
	for {
		complete, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && part.events > 0:
			x.passage.failure = nil
			return &answerBuffer{}, nil
		case errors.Is(err, io.EOF) && !begun:
			buffer := &answerBuffer{memory: x.request.Memory}
			return buffer, buffer.read(bytes.NewReader(events.held()), waitForMemory(ctx, x.request.Memory))
		case errors.Is(err, io.EOF):
			err = errNoEvents
		}
		if err == nil && part.events == 0 {
			err = r.beginEvents(x, from, response, timer)
		}
		if err != nil {
			r.recordBreak(ctx, x, from, part, err)
			return &answerBuffer{}, err
		}
		part.record(batch{firstID: events.firstID, lastID: events.lastID, count: events.takeEventCount()})
		x.passage.stream.enginePart, x.passage.stream.lastEventID, x.passage.stream.sequence = part, events.lastID, events.sequence
		if !x.passage.send(x.caller, complete) {
			return &answerBuffer{}, nil
		}
	}
}

// beginEvents begins to pass an endpoint's events on. The endpoint then has the time until the deadline.
func (r *Relay) beginEvents(x *exchange, from *configuration.Endpoint, response *upstream.Response, timer *time.Timer) error {
	if !timer.Reset(x.timeLeft()) {
		return context.DeadlineExceeded
	}
	if x.passage != nil {
		return nil
	}
	x.answer.release()
	x.answer = nil
	stream := &passedStream{build: from.Build, firstEvent: time.Since(x.request.Arrived)}
	x.passage = &passage{status: response.Status, stream: stream}
	r.FirstEvents.Observe(stream.firstEvent)
	x.caller.Begin(response.Status, response.Header)
	return nil
}

// recordBreak records that an endpoint's events ended before the end of the stream, unless ctx ended because the caller
// is gone.
func (r *Relay) recordBreak(ctx context.Context, x *exchange, from *configuration.Endpoint, part enginePart, cause error) {
	switch {
	case errors.Is(cause, errOutOfSequence):
		r.Counters.OutOfSequence.Add(1)
	case errors.Is(cause, errNoEvent):
		r.Counters.MalformedStreams.Add(1)
	}
	if x.passage != nil {
		x.passage.failure = cause
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	r.decide(x, "stream cut", part.addTo(logrus.Fields{
		"endpoint": from.Name, "last_event": loggedID(x.passage.lastEventID()), "error": cause.Error(), "resumable": x.route.Resumable,
	}))
}

// concludeEvents ends a request whose answer was passed on event by event.
func (r *Relay) concludeEvents(x *exchange) {
	p := x.passage
	fields := p.stream.addTo(logrus.Fields{
		"status": p.status, "bytes": p.bytes, "first_event_ms": p.stream.firstEvent.Milliseconds(),
		"last_event": loggedID(p.stream.lastEventID),
	})
	if p.failure != nil {
		if x.route.RunsOnce() {
			x.obstacle = obstacleSingleRun
		}
		r.Counters.Broken.Add(1)
		fields["error"], fields["reason"] = p.failure.Error(), x.obstacle
		r.decide(x, "stream broken", fields)
		x.caller.Abort()
		return
	}
	r.Counters.Answered.Add(1)
	r.decide(x, "stream complete", fields)
}

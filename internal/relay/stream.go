package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// silenceShare is the share of the time that callers wait for an event after which
	// other engines are sought that can continue the stream. The rest of that time is for
	// the prefill on one of them.
	silenceShare = 0.5
	// defaultSilenceLimit replaces that time if it is not known how long callers wait.
	defaultSilenceLimit = 2 * time.Second
	// seekInterval is the time after which engines are sought again if there was an
	// obstacle.
	seekInterval = 250 * time.Millisecond
	// pauseShare is the share of the silence limit by which its timer may be late. If it
	// is later, this process was paused, and events may have arrived meanwhile.
	pauseShare = 0.25
	// endCheckDelay is the time from the end of a connection to the check whether its endpoint still
	// listens. The kernel may close the listening socket of a killed process after its connections: 1 of 10
	// killed processes still listened at once.
	endCheckDelay = 50 * time.Millisecond
	// endCheckTimeout bounds the check, which delays the end of the answer. It takes one round trip.
	endCheckTimeout = 250 * time.Millisecond
	// leaveTime is how long an endpoint that has left takes to take its registration away, maxLeaveWait bounds
	// the wait for registrations that are that late, and leavePoll is the time between two checks.
	leaveTime    = 500 * time.Millisecond
	maxLeaveWait = 4 * time.Second
	leavePoll    = 20 * time.Millisecond
)

// enginePart is what one engine sent of a stream.
type enginePart struct {
	// framing is how the end of the engine's answer is marked.
	framing string
	// events counts the events that were forwarded; firstID and lastID are the IDs of the first
	// and the last one.
	events          int
	firstID, lastID string
}

// record records a batch of events that was forwarded.
func (p *enginePart) record(b batch) {
	if p.events == 0 {
		p.firstID = b.firstID
	}
	p.events += b.count
	p.lastID = b.lastID
}

// addTo adds the part to the fields of a log line.
func (p *enginePart) addTo(fields logrus.Fields) logrus.Fields {
	fields["framing"], fields["part_events"], fields["part_first"], fields["part_last"] = p.framing, p.events, p.firstID, p.lastID
	return fields
}

// stream forwards the events of one engine to the caller.
type stream struct {
	relay      *Relay
	generation *generation
	id         engine.AttemptID
	endpoint   *configuration.Endpoint
	// instanceID is the endpoint's own ID, which it keeps if it is started again.
	instanceID string
	attempt    *quarantine.Attempt
	started    time.Time
	// slowdown is the slowdown that the engine stated, 0 if none.
	slowdown float64
	// batches counts the batches that were forwarded.
	batches int
	// silent is set once the engine was silent for the limit.
	silent bool
	// soughtOnce is set once other engines were sought.
	soughtOnce bool
	// sought is the preparation of other engines while this one is silent, nil if
	// there is none.
	sought *continuation
}

// The reasons why an answer is no stream of its engine.
var (
	errNotStreamStatus = errors.New("its status is not that of a stream")
	errUnsigned        = errors.New("it is not signed as the engine's own")
	errNotEvents       = errors.New("its type is not that of events")
)

var (
	// errNoEvents is the cause of a cut if the engine's answer ended before its first event.
	errNoEvents = errors.New("the answer ended without any event")
	// errEngineEnded is the cause of a cut if the answer's end looks like that of its engine's process.
	errEngineEnded = errors.New("the answer without framing ended with its engine")
)

// checkStream returns why an answer that is no error of its engine is no stream either, nil if it is one.
func (v *Verdict) checkStream(status int) error {
	switch {
	case status != http.StatusOK:
		return errNotStreamStatus
	case v.Unsigned:
		return errUnsigned
	case v.NotEvents:
		return errNotEvents
	default:
		return nil
	}
}

// reject handles an answer that is no stream of its engine, like a stream that broke off before its first
// event: nothing of it reaches the caller.
func (s *stream) reject(ctx context.Context, response *upstream.Response, reason error) error {
	s.generation.part = enginePart{framing: response.Framing()}
	s.relay.Counters.RejectedAnswers.Add(1)
	s.relay.decide(s.generation.exchange, "answer rejected", logrus.Fields{
		"endpoint": s.endpoint.Name, "status": response.Status, "type": response.Header.Get("Content-Type"),
		"framing": response.Framing(), "reason": reason.Error(),
	})
	return s.handleEnd(ctx, reason)
}

// forward sends events to the caller as they arrive. It returns nil if the stream was
// complete according to its framing.
//
// An engine that is silent may only be pausing, so its stream stays open until other
// engines are ready to continue it.
func (s *stream) forward(ctx context.Context, response *upstream.Response) error {
	s.generation.part = enginePart{framing: response.Framing()}
	events := newEventReader(response)
	events.sequence = newSequence(s.generation.lastEventID)
	events.format.fields = s.relay.options.Dialect.EventFields()
	reading, stopReading := context.WithCancel(ctx)
	defer stopReading()
	events.memory, events.ctx = s.generation.request.Memory, reading
	defer events.release()
	pump := startEventPump(events)
	defer pump.close(func() {
		stopReading()
		response.Abort()
	})
	defer func() { s.sought.withdraw() }()
	silence := newSilenceTimer(silenceLimit(s.generation.request))
	defer silence.timer.Stop()
	waits := events.waits.Load()
	for {
		select {
		case b := <-pump.batches:
			if b.err != nil {
				// Whatever follows bytes that do not continue the stream is not read.
				pump.ended = !isFault(b.err)
				return s.handleEnd(ctx, s.judgeEnd(ctx, response, b.err))
			}
			if err := s.deliver(ctx, response, b); err != nil {
				return err
			}
			if b.count > 0 {
				silence.reset(silence.limit)
			}
			pump.resume()
		case <-silence.timer.C:
			if silence.paused() || events.waiting.Load() {
				silence.reset(silence.tolerance())
			} else if ended := events.waits.Load(); ended != waits {
				// The engine could not be read for a while. It has the whole time from now on.
				waits = ended
				silence.reset(silence.limit)
			} else if s.handleSilence(ctx); s.sought == nil && s.mayMoveLater() {
				silence.reset(seekInterval)
			}
		case found := <-s.sought.decided():
			if s.takeOver(ctx, found) {
				return errRetry
			}
			silence.reset(seekInterval)
		}
	}
}

// judgeEnd returns the error of an answer's end, or errEngineEnded in place of io.EOF.
func (s *stream) judgeEnd(ctx context.Context, response *upstream.Response, err error) error {
	if !errors.Is(err, io.EOF) || s.generation.part.events == 0 {
		return err
	}
	if s.relay.endedWithEndpoint(ctx, s.endpoint, response, s.generation.longest()) {
		return errEngineEnded
	}
	return err
}

// longest reports whether the stream has as many tokens as were asked for, counted by the ID of its last event.
func (g *generation) longest() bool {
	events, err := strconv.Atoi(g.lastEventID)
	return err == nil && events*g.service.Engines.TokensPerEvent >= g.request.Generation.MaxOutputTokens
}

// endedWithEndpoint reports whether an answer probably ended because its endpoint's process did. An answer without
// framing is complete if its connection is closed in order, but the kernel closes the connections of a killed process
// like that, too. Such a process no longer listens. Neither may an endpoint that leaves while it completes its
// answers; it takes its registration away then, which a killed one cannot. Longest means that nothing can follow.
func (r *Relay) endedWithEndpoint(ctx context.Context, from *configuration.Endpoint, response *upstream.Response, longest bool) bool {
	if response.Framed {
		return false
	}
	ended := time.Now()
	instance := r.options.Fleet.View().Instance(from.Name)
	if instance == nil || !r.refuses(ctx, from) {
		return false
	}
	if r.available(instance) {
		return true
	}
	return !longest && !r.takesLeave(ctx, from, ended)
}

// refuses reports whether nothing listens at an endpoint's address any more.
func (r *Relay) refuses(ctx context.Context, from *configuration.Endpoint) bool {
	background.Pause(ctx, endCheckDelay)
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return r.options.Client.Refuses(ctx, from.Address)
}

// takesLeave reports whether the registration of an endpoint that ended at a time has been taken away. It waits for
// registrations that were read leaveTime after the end.
func (r *Relay) takesLeave(ctx context.Context, from *configuration.Endpoint, ended time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, maxLeaveWait)
	defer cancel()
	for ctx.Err() == nil && r.options.Fleet.View().Instance(from.Name) != nil && time.Since(ended)-r.options.EndpointsAge() < leaveTime {
		background.Pause(ctx, leavePoll)
	}
	return r.options.Fleet.View().Instance(from.Name) == nil
}

// silenceTimer measures the time without events.
type silenceTimer struct {
	limit time.Duration
	timer *time.Timer
	due   time.Time
}

func newSilenceTimer(limit time.Duration) *silenceTimer {
	return &silenceTimer{limit: limit, timer: time.NewTimer(limit), due: time.Now().Add(limit)}
}

func (t *silenceTimer) reset(d time.Duration) {
	t.timer.Reset(d)
	t.due = time.Now().Add(d)
}

// paused reports whether the timer fired so late that this process was paused.
func (t *silenceTimer) paused() bool { return time.Since(t.due) > t.tolerance() }

func (t *silenceTimer) tolerance() time.Duration {
	return time.Duration(pauseShare * float64(t.limit))
}

// silenceLimit returns how long a stream of the request may go without events before
// other engines are sought. An engine that pauses for a shorter time keeps the stream: a
// change costs another prefill and a retry.
func silenceLimit(request *Request) time.Duration {
	if request.EventTimeout <= 0 {
		return defaultSilenceLimit
	}
	return time.Duration(silenceShare * float64(request.EventTimeout))
}

// isFault reports whether bytes arrived that do not continue the stream.
func isFault(err error) bool { return errors.Is(err, errNoEvent) || errors.Is(err, errOutOfSequence) }

// deliver sends a batch to the caller. The error is context.Canceled if the caller does not take it, and
// errGiveUp if the stream must not begin.
// A batch without events is no sign that the engine goes on.
func (s *stream) deliver(ctx context.Context, response *upstream.Response, b batch) error {
	g := s.generation
	if b.count == 0 {
		if g.caller.Event(b.events) != nil {
			return context.Canceled
		}
		return nil
	}
	if s.sought.mayHaveRun() {
		g.sends++
	}
	s.sought.withdraw()
	s.sought = nil
	if !g.headerSent {
		if s.soughtOnce {
			s.relay.reclaimOrigin(g, g.build)
		}
		if !s.relay.beginStream(ctx, g) {
			return errGiveUp
		}
		g.headerSent = true
		g.caller.Begin(response.Status, response.Header)
	}
	if err := g.caller.Event(b.events); err != nil {
		return context.Canceled
	}
	s.record(b)
	s.followRestart()
	return nil
}

// record records and reports the progress after events were sent to the caller.
func (s *stream) record(b batch) {
	g := s.generation
	first := s.batches == 0
	s.batches++
	s.attempt.Event()
	g.lastEventID = b.lastID
	g.part.record(b)
	g.recordEventTime(time.Now())
	if first && g.deliveredBefore == 0 {
		s.relay.FirstEvents.Observe(g.firstEvent.Sub(g.request.Arrived))
	}
	g.delivered += b.count * g.service.Engines.TokensPerEvent
	if first {
		s.relay.options.Reserver.Progress(scheduling.Progress{
			ID: s.id, Kind: scheduling.FirstTokenSeen, Decode: s.endpoint.Name, Elapsed: time.Since(s.started),
			Slowdown: s.slowdown,
		})
	}
	s.relay.options.Reserver.Delivered(s.id, g.delivered-g.deliveredBefore)
}

// handleSilence begins to prepare other engines for the stream of a silent one, if
// another attempt may follow.
func (s *stream) handleSilence(ctx context.Context) {
	if !s.silent {
		s.silent = true
		s.relay.observe(s.generation, s.endpoint, false)
	}
	s.relay.Counters.Silences.Add(1)
	s.sought = s.relay.seekContinuation(ctx, s.generation, s.endpoint.Name)
	s.soughtOnce = s.soughtOnce || s.sought != nil
	fields := logrus.Fields{"endpoint": s.endpoint.Name, "tokens": s.generation.delivered, "last_event": loggedID(s.generation.lastEventID)}
	if s.sought == nil {
		fields["obstacle"] = s.generation.obstacle
	}
	s.relay.decide(s.generation.exchange, "engine silent", fields)
}

// mayMoveLater reports whether the stream can still be continued on another engine,
// although it could not now.
func (s *stream) mayMoveLater() bool {
	g := s.generation
	return !g.route.RunsOnce() && g.sends < g.route.MaxAttempts
}

// takeOver ends the stream of a silent engine in favour of an engine that has taken it. It
// returns false if there is none.
func (s *stream) takeOver(ctx context.Context, found prepared) bool {
	r, g := s.relay, s.generation
	s.sought = nil
	obstacle := found.err
	if obstacle == nil {
		obstacle = ctx.Err()
	}
	if obstacle != nil {
		r.discard(g.service.Name, found)
		g.sends += found.sends
		g.obstacle = obstacle.Error()
		r.decide(g.exchange, "silent engine not replaced", logrus.Fields{"endpoint": s.endpoint.Name, "obstacle": g.obstacle})
		return false
	}
	g.next = &found
	s.recordCut(errSilent)
	r.Counters.Resumed.Add(1)
	return true
}

// recordCut records that the stream broke off.
func (s *stream) recordCut(cause error) {
	g := s.generation
	if !s.silent {
		s.relay.observe(g, s.endpoint, false)
	}
	s.relay.decide(g.exchange, "stream cut", g.part.addTo(logrus.Fields{
		"endpoint": s.endpoint.Name, "tokens": g.delivered, "last_event": loggedID(g.lastEventID), "error": cause.Error(),
		"silent": errors.Is(cause, errSilent), "resumable": g.route.Resumable,
	}))
	g.exclude = append(g.exclude, s.endpoint.Name)
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
// error of ctx. An answer without any event is not complete, whatever other engines sent.
func (s *stream) handleEnd(ctx context.Context, err error) error {
	r, g := s.relay, s.generation
	if errors.Is(err, io.EOF) {
		if g.part.events > 0 {
			r.observe(g, s.endpoint, true)
			s.attempt.Complete()
			return nil
		}
		err = errNoEvents
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.attempt.Broken()
	s.recordCut(err)
	switch {
	case errors.Is(err, errOutOfSequence):
		r.Counters.OutOfSequence.Add(1)
	case errors.Is(err, errNoEvent):
		r.Counters.MalformedStreams.Add(1)
	}
	if g.route.RunsOnce() {
		g.obstacle = obstacleSingleRun
		return errGiveUp
	}
	s.attempt.Settle(ctx)
	r.Counters.Resumed.Add(1)
	return errRetry
}

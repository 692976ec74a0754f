package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// decodeCall is a call to a decode engine whose response has begun or failed.
type decodeCall struct {
	id       engine.AttemptID
	to       *configuration.Endpoint
	call     *Call
	attempt  *quarantine.Attempt
	started  time.Time
	response *upstream.Response
	verdict  Verdict
	err      error
	// confirmed is set once the engine's process has been confirmed.
	confirmed bool
	// end records that the engine has one request less.
	end func()
}

// close ends the call.
func (c *decodeCall) close() {
	if c == nil {
		return
	}
	closeResponse(c.response)
	c.end()
}

// taken reports whether the engine has begun a stream.
func (c *decodeCall) taken() bool {
	return c.err == nil && !c.verdict.OtherInstance && !c.verdict.NotRun && c.verdict.checkStream(c.response.Status) == nil
}

// decode generates the answer on an engine that fetches the KV cache from the source,
// or processes the prompt itself if the source is nil. It reports whether the engine
// may have accepted the call.
func (r *Relay) decode(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint, source *Source) (bool, error) {
	c := r.openDecode(ctx, g, id, to, source)
	defer c.close()
	return r.finishDecode(ctx, g, c)
}

// openDecode sends a request to a decode engine and waits for the beginning of the response. The call must be
// closed.
func (r *Relay) openDecode(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint, source *Source) *decodeCall {
	c := &decodeCall{
		id: id, to: to, call: &Call{Stage: decodeStage(source), Source: source, LastEventID: g.lastEventID},
		end: r.options.Endpoints.Begin(to.Name), started: time.Now(),
	}
	r.recordOrigin(g, to.Build)
	c.attempt = g.suspect.Begin(to.Name, to.Address)
	c.response, c.verdict, c.err = r.open(ctx, g.exchange, to, c.call)
	return c
}

// finishDecode reads the response of a decode engine. Like decode, it reports whether the engine may have accepted
// the call.
func (r *Relay) finishDecode(ctx context.Context, g *generation, c *decodeCall) (bool, error) {
	id, to, response, verdict := c.id, c.to, c.response, c.verdict
	if ctx.Err() != nil {
		return true, ctx.Err()
	}
	if c.err != nil {
		if brokenOff(c.err) {
			c.attempt.Broken()
		}
		if !g.route.RunsOnce() {
			c.attempt.Settle(ctx)
		}
		return r.handleDecodeError(g, id, to, c.err)
	}
	r.reportLeaving(id, to, verdict)
	r.reportLimit(g, id, to, verdict, c.started)
	if verdict.OtherInstance {
		g.sends--
		r.handleReplacedEngine(g, id, to)
		return false, r.retryOrGiveUp(g)
	}
	if verdict.NotRun {
		r.observe(g, to, true)
		g.refusal = "the engine did not take the request"
		r.decide(g.exchange, "engine declined", logrus.Fields{"endpoint": to.Name, "status": response.Status})
		return false, errDeclined
	}
	if response.Status >= http.StatusMultipleChoices {
		return true, r.handleErrorStatus(ctx, g, to, response, &verdict)
	}
	stream := &stream{
		relay: r, generation: g, id: id, endpoint: to, instanceID: c.call.InstanceID, started: c.started, attempt: c.attempt, slowdown: verdict.slowdown(),
	}
	if err := verdict.checkStream(response.Status); err != nil {
		return true, stream.reject(ctx, response, err)
	}
	if !c.confirmed {
		if err := r.confirmProcess(ctx, g, id, to); err != nil {
			return true, err
		}
	}
	return true, stream.forward(ctx, response)
}

// handleReplacedEngine handles an engine whose address now belongs to another engine.
func (r *Relay) handleReplacedEngine(g *generation, id engine.AttemptID, to *configuration.Endpoint) {
	g.refusal = "an engine is gone"
	g.exclude = append(g.exclude, to.Name)
	r.options.Endpoints.MarkLeaving(to.Name)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.EngineLeaving, Prefill: to.Name, Decode: to.Name})
	r.decide(g.exchange, "endpoint replaced", logrus.Fields{"endpoint": to.Name})
}

// reportLeaving tells the owner of the grant that an engine announced that it leaves.
func (r *Relay) reportLeaving(id engine.AttemptID, to *configuration.Endpoint, verdict Verdict) {
	if verdict.Leaving {
		r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.EngineLeaving, Prefill: to.Name, Decode: to.Name})
	}
}

// reportLimit tells the owner of the grant what an engine said of its limit of requests, if it
// names one or the owner may believe that it does.
func (r *Relay) reportLimit(g *generation, id engine.AttemptID, to *configuration.Endpoint, verdict Verdict, sent time.Time) {
	if limit := verdict.Limit; limit != nil && (limit.Named || verdict.LimitChanged || g.limited) {
		r.options.Reserver.Progress(scheduling.Progress{
			ID: id, Kind: scheduling.EngineLimit, Prefill: to.Name, Elapsed: time.Since(sent), Limited: limit.Named, Limit: limit.PerSecond,
		})
	}
}

// isLimited reports whether an endpoint names a limit of requests.
func (r *Relay) isLimited(name string) bool {
	limit, _ := r.options.Endpoints.Limit(name)
	return limit.Named
}

// decodeStage returns the stage for an engine that fetches a KV cache, or that
// processes the prompt itself because there is no source.
func decodeStage(source *Source) Stage {
	if source == nil {
		return Whole
	}
	return Decode
}

// failureKind returns lost if the engine may have received the call, else failed.
func failureKind(err error, failed, lost scheduling.ProgressKind) scheduling.ProgressKind {
	if errorx.IsOfType(err, upstream.InDoubt) {
		return lost
	}
	return failed
}

// handleDecodeError handles a decode call without a response. Like decode, it reports
// whether the engine may have accepted the call.
func (r *Relay) handleDecodeError(g *generation, id engine.AttemptID, to *configuration.Endpoint, err error) (bool, error) {
	if errorx.IsOfType(err, upstream.Withheld) {
		g.sends--
		return false, r.excludeWithheld(g, to, err)
	}
	r.observe(g, to, false)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: failureKind(err, scheduling.DecodeFailed, scheduling.DecodeLost), Decode: to.Name})
	r.decide(g.exchange, "decode failed", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
	g.exclude = append(g.exclude, to.Name)
	if errorx.IsOfType(err, upstream.NotSent) {
		g.sends--
		g.refusal = "the engine is not reachable"
		return false, r.retryOrGiveUp(g)
	}
	return true, g.retryUnlessSingleRun()
}

// excludeWithheld excludes an engine that must get no call now, although it was granted. It has not
// failed. The error is errRetry.
func (r *Relay) excludeWithheld(g *generation, to *configuration.Endpoint, err error) error {
	g.exclude = append(g.exclude, to.Name)
	g.refusal = "the engine takes no requests at present"
	r.decide(g.exchange, "grant not used", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
	return errRetry
}

// handleErrorStatus handles an error response of an engine. It keeps the response for the caller unless the
// caller has the beginning of a stream.
func (r *Relay) handleErrorStatus(ctx context.Context, g *generation, to *configuration.Endpoint, response *upstream.Response, verdict *Verdict) error {
	r.observe(g, to, false)
	r.decide(g.exchange, "engine failed the request", logrus.Fields{"endpoint": to.Name, "status": response.Status})
	if !g.headerSent && r.checkTrust(g.exchange, to, response, verdict) == nil {
		r.keepAnswer(ctx, g, response)
	}
	g.exclude = append(g.exclude, to.Name)
	return g.retryUnlessSingleRun()
}

// keepAnswer reads a response and keeps it as the request's answer if it is complete.
func (r *Relay) keepAnswer(ctx context.Context, g *generation, response *upstream.Response) {
	buffer := &answerBuffer{memory: g.request.Memory}
	if buffer.read(response, waitForMemory(ctx, g.request.Memory)) != nil {
		buffer.release()
		return
	}
	g.answer.release()
	g.answer = &Answer{Status: response.Status, Header: response.Header, Body: buffer.bytes, buffer: buffer}
}

func closeResponse(response *upstream.Response) {
	if response != nil {
		response.Close()
	}
}

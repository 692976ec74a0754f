package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// prefillTimeout limits a prefill. A queued prefill is useful only while the decode
	// slot that is reserved for it is held.
	prefillTimeout = 1500 * time.Millisecond
	// freeTimeout limits the call that frees an unused KV cache.
	freeTimeout = 300 * time.Millisecond
)

// errNoPrefill means that an engine made no KV cache. Another attempt costs a retry.
var errNoPrefill = errors.New("the prompt could not be processed")

// prefill runs the prefill on an engine and returns the location of the KV cache. The
// error is errNoPrefill, errRetry if the engine must get no call now, or that of ctx.
func (r *Relay) prefill(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint) (*Source, error) {
	defer r.options.Endpoints.Begin(to.Name)()
	started := time.Now()
	attempt := g.suspect.BeginPrompt(to.Name, to.Address)
	call := &Call{Stage: Prefill, LastEventID: g.lastEventID}
	answer, verdict, err := r.call(ctx, g.exchange, to, call, min(prefillTimeout, g.timeLeft()))
	if verdict.OtherInstance {
		r.handleReplacedEngine(g, id, to)
		return nil, errNoPrefill
	}
	r.reportLeaving(id, to, verdict)
	r.reportLimit(g, id, to, verdict, started)
	result, err := r.prefillResult(answer, verdict, err)
	answer.release()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if errorx.IsOfType(err, upstream.Withheld) {
		r.returnRetry(g.exchange)
		return nil, r.excludeWithheld(g, to, err)
	}
	r.observe(g, to, err == nil)
	if err != nil {
		if brokenOff(err) {
			attempt.Broken()
			attempt.Settle(ctx)
		}
		g.exclude = append(g.exclude, to.Name)
		g.refusal = "the prompt could not be read"
		r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: failureKind(err, scheduling.PrefillFailed, scheduling.PrefillLost), Prefill: to.Name})
		r.decide(g.exchange, "prefill failed", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
		return nil, errNoPrefill
	}
	r.Counters.Prefills.Add(1)
	r.decide(g.exchange, "prompt read", logrus.Fields{
		"endpoint": to.Name, "tokens": result.Tokens, "ms": time.Since(started).Milliseconds(),
	})
	r.options.Reserver.Progress(scheduling.Progress{
		ID: id, Kind: scheduling.PrefillDone, Prefill: to.Name, Tokens: result.Tokens, Elapsed: time.Since(started),
		Slowdown: verdict.slowdown(),
	})
	return &Source{Endpoint: to.Name, InstanceID: call.InstanceID, Address: to.Address, Handle: result.Handle}, nil
}

// prefillResult returns the outcome of a prefill call.
func (r *Relay) prefillResult(answer *Answer, verdict Verdict, err error) (PrefillResult, error) {
	if err != nil {
		return PrefillResult{}, err
	}
	if verdict.NotRun || answer.Status != http.StatusOK {
		return PrefillResult{}, fmt.Errorf("the engine answered with status %d", answer.Status)
	}
	return r.options.Dialect.DecodePrefill(answer.Body)
}

// free frees a KV cache that no decode engine fetched. An engine that wants no calls drops it by
// itself when its lifetime ends.
func (r *Relay) free(source *Source) {
	if quiet := r.options.Endpoints.QuietFor(source.Endpoint); quiet > 0 {
		r.options.Log.Decide("KV cache not freed", logrus.Fields{"endpoint": source.Endpoint, "quiet_ms": quiet.Milliseconds()})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	response, err := r.options.Client.Do(ctx, source.Address, r.options.Dialect.Free(source))
	if err != nil {
		r.options.Log.Decide("KV cache not freed", logrus.Fields{"endpoint": source.Endpoint, "address": source.Address, "error": err.Error()})
		return
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		r.options.Log.Decide("KV cache not freed", logrus.Fields{"endpoint": source.Endpoint, "status": response.Status})
	}
	r.announced("", source.Endpoint, r.options.Dialect.JudgeFree(source, response))
}

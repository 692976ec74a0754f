package completion

import (
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// stream forwards tokens to the caller, each exactly once and in order.
func (a *attempt) stream(stream engine.Stream, watch *watchdog, started time.Time) error {
	limit := a.tokenLimit()
	watch.reset(limit)
	for {
		token, err := stream.Next()
		a.countForeign(token.Foreign)
		if err != nil {
			return a.streamError(watch, err)
		}
		watch.reset(limit)
		if token.FinishReason != "" {
			return a.deliverLast(stream, token, started)
		}
		if err := a.deliver(token, started); err != nil {
			return err
		}
	}
}

// countForeign counts dropped events of other attempts.
func (a *attempt) countForeign(events int) {
	if events == 0 {
		return
	}
	a.Counters.Crossed.Add(int64(events))
	a.options.Events.Record(timeline.AnswerDropped, a.request.ID, a.grant.Decode)
}

// deliverLast delivers the final token once the terminal event has confirmed it.
func (a *attempt) deliverLast(stream engine.Stream, token engine.Token, started time.Time) error {
	if token.Index != a.next {
		// An answer that ends at a token that the caller already has is another answer.
		return protocolError.New("token %d ends the answer after token %d", token.Index, a.next-1)
	}
	token.Text = append([]byte(nil), token.Text...)
	if _, err := stream.Next(); !errors.Is(err, io.EOF) {
		return engine.CutShort.New("stream of %s ended without its terminal event", a.id)
	}
	a.decodeMayHold = false
	if err := a.deliver(token, started); err != nil {
		return err
	}
	a.result.CompletionTokens = a.next
	return nil
}

// deliver delivers a token unless the caller already has it.
func (a *attempt) deliver(token engine.Token, started time.Time) error {
	if token.Index < a.next {
		a.Counters.DuplicateTokens.Add(1)
		return nil
	}
	if token.Index > a.next {
		return protocolError.New("token %d follows token %d", token.Index, a.next-1)
	}
	if a.next > a.request.MaxTokens || len(a.deliveredText)+len(token.Text) > maxTextBytes(a.request.MaxTokens) {
		return protocolError.New("the answer is longer than %d tokens", a.request.MaxTokens)
	}
	if a.delivered == 0 {
		a.recordFirstToken(started)
	}
	err := a.sink.Token(token)
	if errorx.IsOfType(err, Withheld) {
		return err
	}
	if err != nil {
		return CallerGone.Wrap(err, "%s", a.request.ID)
	}
	if a.next == 0 {
		a.build = a.decodeBuild
	}
	a.deliveredText = append(a.deliveredText, token.Text...)
	a.next++
	a.delivered++
	if a.delivered%deliveredReportInterval == 0 {
		a.options.Reserver.Delivered(a.id, a.delivered)
	}
	return nil
}

// recordFirstToken records that the attempt's first token has arrived.
func (a *attempt) recordFirstToken(started time.Time) {
	if a.next > 0 {
		a.Counters.Resumed.Add(1)
		a.options.Events.Record(timeline.DecodeResumed, a.request.ID, a.grant.Decode)
	} else {
		a.options.Events.Record(timeline.FirstToken, a.request.ID, a.grant.Decode)
	}
	a.progress(scheduling.Progress{Kind: scheduling.FirstTokenSeen, Elapsed: time.Since(started)})
}

// streamError returns the error of a stream that ended before its terminal event.
func (a *attempt) streamError(watch *watchdog, err error) error {
	if watch.fired() {
		a.Counters.DecodeStalls.Add(1)
	}
	if errors.Is(err, io.EOF) {
		return engine.CutShort.New("stream of %s ended without a finish reason", a.id)
	}
	return watch.phaseError(err)
}

// sinkEnded reports whether the caller's side, not the engine, ended a stream.
func sinkEnded(err error) bool {
	return errorx.IsOfType(err, CallerGone) || errorx.IsOfType(err, Withheld)
}

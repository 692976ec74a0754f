package engine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/ospreyshed/ospreyshed/internal/standin/ctxtime"
)

// importedComment is the SSE comment that announces the end of the import.
const importedComment = ": imported\n\n"

// doneEvent is the last event of a complete stream.
const doneEvent = "data: [DONE]\n\n"

// stream writes the tokens of one attempt as server-sent events.
type stream struct {
	engine  *Engine
	attempt *attempt
	chat    bool
	w       http.ResponseWriter
	flusher *http.ResponseController
	// written is the index after the last token written.
	written int
	buffer  []byte
}

func newStream(e *Engine, a *attempt, chat bool, w http.ResponseWriter) *stream {
	return &stream{engine: e, attempt: a, chat: chat, w: w, flusher: http.NewResponseController(w), written: a.firstToken}
}

// open writes status 200 and announces the end of the import.
func (s *stream) open() error {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	s.buffer = append(s.buffer[:0], importedComment...)
	return s.send()
}

// send writes the buffer to the connection.
func (s *stream) send() error {
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.flusher.Flush()
}

// run writes tokens as they are decoded and updates the counts at the end. It
// returns false if the stream is incomplete.
func (s *stream) run(ctx context.Context) bool {
	complete := s.writeAll(ctx)
	if !complete && s.engine.Faults().IgnoreClose {
		<-s.attempt.ended
	}
	s.engine.closeStream(s.attempt, s.written)
	return complete
}

func (s *stream) writeAll(ctx context.Context) bool {
	if s.open() != nil || !ctxtime.Sleep(ctx, s.engine.Faults().LateAnswers.D()) {
		return false
	}
	for s.written < s.attempt.answer.Len() {
		if !s.waitForToken(ctx) {
			return false
		}
		if err := s.writeProduced(); err != nil {
			return false
		}
	}
	return true
}

// waitForToken waits for further tokens. It returns false if there will be none.
func (s *stream) waitForToken(ctx context.Context) bool {
	select {
	case <-s.attempt.progress:
		return true
	case <-s.attempt.ended:
		// The attempt may have finished before its last tokens were written.
		return int(s.attempt.produced.Load()) == s.attempt.answer.Len()
	case <-s.engine.connectionClosed(ctx):
		return false
	}
}

// writeProduced writes the tokens that are decoded and not written yet.
func (s *stream) writeProduced() error {
	produced := int(s.attempt.produced.Load())
	s.buffer = s.buffer[:0]
	for index := s.written; index < produced; index++ {
		s.appendEvent(index)
	}
	if produced == s.attempt.answer.Len() {
		s.buffer = append(s.buffer, doneEvent...)
	}
	if err := s.send(); err != nil {
		return err
	}
	s.written = produced
	return nil
}

// appendEvent appends the event of a token. If the fault CrossAnswers applies, an
// event of another attempt precedes or replaces it.
func (s *stream) appendEvent(index int) {
	other, replace := s.engine.drawCrossedEvent(s.attempt)
	if other != nil {
		s.appendToken(other, index)
	}
	if !replace {
		s.appendToken(s.attempt, index)
	}
}

func (s *stream) appendToken(a *attempt, index int) {
	s.buffer = append(s.buffer, `data: {"id": "`...)
	s.buffer = append(s.buffer, a.id...)
	s.buffer = append(s.buffer, `", "token_index": `...)
	s.buffer = strconv.AppendInt(s.buffer, int64(index), 10)
	s.buffer = append(s.buffer, `, "choices": [{"index": 0, `...)
	s.appendText(a, index)
	s.buffer = append(s.buffer, `, "finish_reason": `...)
	if index == a.answer.Len()-1 {
		s.buffer = strconv.AppendQuote(s.buffer, a.answer.FinishReason())
	} else {
		s.buffer = append(s.buffer, "null"...)
	}
	s.buffer = append(s.buffer, "}]}\n\n"...)
}

func (s *stream) appendText(a *attempt, index int) {
	if s.chat {
		s.buffer = append(s.buffer, `"delta": {"content": "`...)
	} else {
		s.buffer = append(s.buffer, `"text": "`...)
	}
	s.buffer = a.answer.AppendToken(s.buffer, index)
	s.buffer = append(s.buffer, '"')
	if s.chat {
		s.buffer = append(s.buffer, '}')
	}
}

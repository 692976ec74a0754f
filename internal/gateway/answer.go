package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/problem"
)

// usage holds the token counts of a response that is not streamed.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(result completion.Result) usage {
	return usage{
		PromptTokens:     result.PromptTokens,
		CompletionTokens: result.CompletionTokens,
		TotalTokens:      result.PromptTokens + result.CompletionTokens,
	}
}

// eventStream sends tokens to the caller as server-sent events. Each event is
// built in a reused buffer.
type eventStream struct {
	gateway *Gateway
	x       *exchange
	flusher *http.ResponseController
	started bool
	buffer  []byte
	// head and tail enclose the token's text in an event.
	head, tail []byte
}

func newEventStream(g *Gateway, x *exchange, body *completionBody) *eventStream {
	object, opening, closing := "text_completion", `"text":`, `,"finish_reason":`
	if body.prompt.Chat() {
		object, opening, closing = "chat.completion.chunk", `"delta":{"content":`, `},"finish_reason":`
	}
	head := []byte(`data: {"id":`)
	head = appendJSONString(head, []byte(x.id))
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, time.Now().Unix(), 10)
	head = append(head, `,"model":`...)
	head = appendJSONString(head, []byte(body.model))
	head = append(head, `,"choices":[{"index":0,`+opening...)
	return &eventStream{
		gateway: g,
		x:       x,
		flusher: http.NewResponseController(x.w),
		head:    head,
		tail:    []byte(closing),
	}
}

// Token implements completion.Sink.
func (s *eventStream) Token(token engine.Token) error {
	s.start()
	s.buffer = append(s.buffer[:0], s.head...)
	s.buffer = appendJSONString(s.buffer, token.Text)
	s.buffer = append(s.buffer, s.tail...)
	if token.FinishReason == "" {
		s.buffer = append(s.buffer, "null"...)
	} else {
		s.buffer = appendJSONString(s.buffer, []byte(token.FinishReason))
	}
	s.buffer = append(s.buffer, "}]}\n\n"...)
	return s.write()
}

// start sends the response header. Only the first call has an effect.
func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.x.w.WriteHeader(http.StatusOK)
}

// write sends the buffer, subject to the write timeout.
func (s *eventStream) write() error {
	deadline := time.Now().Add(s.gateway.options.WriteTimeout)
	if err := s.flusher.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if _, err := s.x.w.Write(s.buffer); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (s *eventStream) committed() bool { return s.started }

func (s *eventStream) end(completion.Result) error {
	s.start()
	s.buffer = append(s.buffer[:0], "data: [DONE]\n\n"...)
	if err := s.write(); err != nil {
		return completion.CallerGone.Wrap(err, "%s", s.x.id)
	}
	return nil
}

// interrupt sends an error event and aborts the connection, so that no caller can
// mistake the response for a complete one.
func (s *eventStream) interrupt(d *problem.Details) {
	d.Request = s.x.id
	encoded, err := json.Marshal(d)
	if err == nil {
		s.buffer = append(s.buffer[:0], "event: error\ndata: "...)
		s.buffer = append(s.buffer, encoded...)
		s.buffer = append(s.buffer, "\n\n"...)
		_ = s.write()
	}
	panic(http.ErrAbortHandler)
}

// bufferedResponse collects the tokens and sends them to the caller at the end.
type bufferedResponse struct {
	gateway      *Gateway
	x            *exchange
	body         *completionBody
	text         []byte
	finishReason string
	written      bool
}

func newBufferedResponse(g *Gateway, x *exchange, body *completionBody) *bufferedResponse {
	return &bufferedResponse{gateway: g, x: x, body: body}
}

// Token implements completion.Sink.
func (b *bufferedResponse) Token(token engine.Token) error {
	b.text = append(b.text, token.Text...)
	if token.FinishReason != "" {
		b.finishReason = token.FinishReason
	}
	return nil
}

func (b *bufferedResponse) committed() bool { return b.written }

// completionResponse is the body of a response that is not streamed.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (b *bufferedResponse) end(result completion.Result) error {
	text := string(b.text)
	choice := completionChoice{FinishReason: b.finishReason}
	object := "text_completion"
	if b.body.prompt.Chat() {
		object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	encoded, err := json.Marshal(completionResponse{
		ID:      b.x.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   b.body.model,
		Choices: []completionChoice{choice},
		Usage:   usageOf(result),
	})
	if err != nil {
		return err
	}
	return b.send(encoded)
}

// send writes the response with its length, so that the caller can detect
// truncation.
func (b *bufferedResponse) send(encoded []byte) error {
	header := b.x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	b.gateway.setWriteDeadline(b.x.w)
	b.written = true
	if _, err := b.x.w.Write(encoded); err != nil {
		return completion.CallerGone.Wrap(err, "%s", b.x.id)
	}
	if err := http.NewResponseController(b.x.w).Flush(); err != nil {
		return completion.CallerGone.Wrap(err, "%s", b.x.id)
	}
	return nil
}

func (b *bufferedResponse) interrupt(*problem.Details) { panic(http.ErrAbortHandler) }

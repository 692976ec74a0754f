package openai

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	// streamBufferBytes bounds the length of one line of server-sent events.
	streamBufferBytes = 64 << 10
)

var (
	dataPrefix   = []byte("data:")
	doneMarker   = []byte("[DONE]")
	importedLine = []byte(": imported")
)

// chunk is one server-sent event of a decode stream. It is reused between events.
type chunk struct {
	ID         string   `json:"id"`
	TokenIndex int      `json:"token_index"`
	Choices    []choice `json:"choices"`
	// Error is set if the engine reports an error in an event.
	Error json.RawMessage `json:"error"`
}

// noTokenIndex is the index of an event without one.
const noTokenIndex = -1

// finishReasons are the reasons with which an answer is complete.
var finishReasons = []string{"stop", "length"}

type choice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// stream reads the server-sent events of one decode attempt.
type stream struct {
	lines *bufio.Reader
	// release ends the exchange; complete is set if the terminal event was read.
	release func(complete bool)
	id      string
	text    []byte
	// ended is set by the finish reason, complete by the terminal event after it.
	ended, complete bool
	pending         []byte
	// foreign counts dropped events of other attempts since the last token.
	foreign int
	// event is the event being decoded.
	event chunk
}

func newStream(body io.Reader, id engine.AttemptID, release func(complete bool)) *stream {
	return &stream{
		lines:   bufio.NewReaderSize(body, streamBufferBytes),
		release: release,
		id:      id.String(),
	}
}

// awaitImport reads up to the line that reports the end of the KV import.
func (s *stream) awaitImport() error {
	for {
		line, err := s.line()
		if err != nil {
			return err
		}
		if bytes.Equal(line, importedLine) {
			return nil
		}
		if bytes.HasPrefix(line, dataPrefix) {
			s.pending = bytes.Clone(line)
			return nil
		}
	}
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Token, error) {
	token, err := s.next()
	token.Foreign = s.foreign
	s.foreign = 0
	return token, err
}

// next returns the next token of this attempt.
func (s *stream) next() (engine.Token, error) {
	for {
		line, err := s.nextLine()
		if err != nil {
			return engine.Token{}, err
		}
		payload, found := bytes.CutPrefix(line, dataPrefix)
		if !found {
			continue
		}
		payload = bytes.TrimSpace(payload)
		if bytes.Equal(payload, doneMarker) {
			return engine.Token{}, s.finish()
		}
		token, own, err := s.token(payload)
		if err != nil || own {
			return token, err
		}
		s.foreign++
	}
}

// finish checks that the terminal event follows a finish reason.
func (s *stream) finish() error {
	if !s.ended {
		return engine.CutShort.New("stream of %s ended without a finish reason", s.id)
	}
	s.complete = true
	return io.EOF
}

// token decodes one event and reports whether it belongs to this attempt.
func (s *stream) token(payload []byte) (engine.Token, bool, error) {
	c := s.emptyEvent()
	if err := json.Unmarshal(payload, c); err != nil {
		return engine.Token{}, false, engine.Unavailable.Wrap(err, "stream event of %s", s.id)
	}
	if c.ID != s.id {
		return engine.Token{}, false, nil
	}
	if err := s.check(c); err != nil {
		return engine.Token{}, false, err
	}
	only := &c.Choices[0]
	s.text = append(s.text[:0], only.Text...)
	s.text = append(s.text, only.Delta.Content...)
	token := engine.Token{Index: c.TokenIndex, Text: s.text}
	if only.FinishReason != nil && *only.FinishReason != "" {
		s.ended = true
		token.FinishReason = *only.FinishReason
	}
	return token, true, nil
}

// check returns an error if an event of this attempt is not a token: an engine may report its own
// failure in an event, and name it as the reason why the answer ended.
func (s *stream) check(c *chunk) error {
	switch {
	case len(c.Error) > 0 && !bytes.Equal(c.Error, jsonNull):
		return engine.Unavailable.New("stream of %s reports %s", s.id, c.Error)
	case len(c.Choices) != 1:
		return engine.Unavailable.New("stream event of %s has %d choices", s.id, len(c.Choices))
	case c.TokenIndex < 0:
		return engine.Unavailable.New("stream event of %s has no token index", s.id)
	}
	reason := c.Choices[0].FinishReason
	if reason != nil && *reason != "" && !slices.Contains(finishReasons, *reason) {
		return engine.Unavailable.New("stream of %s ended for %q", s.id, *reason)
	}
	return nil
}

// emptyEvent clears the reused event and returns it. json.Unmarshal keeps old values
// of slice elements within the capacity, so these are cleared as well.
func (s *stream) emptyEvent() *chunk {
	choices := s.event.Choices[:cap(s.event.Choices)]
	clear(choices)
	s.event = chunk{Choices: choices[:0], TokenIndex: noTokenIndex}
	return &s.event
}

// nextLine returns the line that awaitImport has read ahead, or else reads one.
func (s *stream) nextLine() ([]byte, error) {
	if s.pending != nil {
		line := s.pending
		s.pending = nil
		return line, nil
	}
	return s.line()
}

// line returns the next non-empty line without its line end.
func (s *stream) line() ([]byte, error) {
	for {
		line, err := s.lines.ReadSlice('\n')
		if err != nil {
			return nil, engine.CutShort.Wrap(err, "stream of %s", s.id)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			return line, nil
		}
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.release(s.complete)
	return nil
}

package relay

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

var (
	// errOutOfSequence means that an event does not follow the one that the caller got last.
	errOutOfSequence = errors.New("event out of sequence")
	// errNoEvent means that a part of a stream is no event.
	errNoEvent = errors.New("no event")
)

// sequence checks that events continue a stream: their IDs are whole numbers, each one above the one before.
// The zero value accepts any number first.
type sequence struct {
	// last is the number of the last event, 0 before the first one.
	last uint64
	// known is set unless the number of the last event is not known.
	known bool
	// sparse is set if numbers may be left out and IDs may be other texts, which cannot be compared.
	sparse bool
	// steps counts the events of a sparse sequence whose number was the next one, gaps is set once there was another event.
	steps int
	gaps  bool
	// exact is set if the next event of a sparse sequence must have the next number.
	exact bool
}

// newSequence returns the sequence after the event with an ID, or that of a whole stream if it is empty. An ID that is
// no number stems from the caller and cannot be followed.
func newSequence(lastEventID string) sequence {
	if lastEventID == "" {
		return sequence{known: true}
	}
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	return sequence{last: last, known: err == nil}
}

// newSparseSequence returns the sequence after the event with an ID, or that of a whole stream if it is empty, of which
// it is only known that numbers increase.
func newSparseSequence(lastEventID string) sequence {
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	return sequence{last: last, known: err == nil, sparse: true}
}

// accept takes the next event's ID. The error is errOutOfSequence if it does not follow the last one.
func (s *sequence) accept(id string) error {
	number, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil && s.sparse && !s.exact:
		s.known, s.gaps = false, true
		return nil
	case err != nil:
		return fmt.Errorf("%w: the ID %.40q is no number", errOutOfSequence, id)
	case s.known && !s.follows(number):
		return fmt.Errorf("%w: %d after %d", errOutOfSequence, number, s.last)
	}
	if s.sparse && s.known {
		s.countStep(number)
	}
	s.last, s.known, s.exact = number, true, false
	return nil
}

// countStep counts the step of a sparse sequence to the next event.
func (s *sequence) countStep(number uint64) {
	if number == s.last+1 {
		s.steps++
	} else {
		s.gaps = true
	}
}

// dense reports whether a sparse sequence had at least one step and has left out no number so far.
func (s *sequence) dense() bool { return s.steps > 0 && !s.gaps }

// follows reports whether an event with a number may come after the last one.
func (s *sequence) follows(number uint64) bool {
	if s.sparse && !s.exact {
		return number > s.last
	}
	return number == s.last+1
}

// The fields of a text/event-stream.
const (
	fieldID    = "id"
	fieldData  = "data"
	fieldEvent = "event"
	fieldRetry = "retry"
)

// blockFormat is what the blocks of one stream have in common. A block is what an empty line ends: an event, or lines
// that are none.
type blockFormat struct {
	// fields are the names of lines that events may have besides those of text/event-stream.
	fields []string
	// ending is how all lines end, nil before the first line.
	ending []byte
	// optionalID is set if events may have no ID.
	optionalID bool
}

// blockEnd returns the end of the first block, 0 if it has not ended.
func blockEnd(b []byte) int {
	for end := 0; ; {
		i := bytes.IndexByte(b[end:], '\n')
		if i < 0 {
			return 0
		}
		empty := i == 0 || i == 1 && b[end] == '\r'
		end += i + 1
		if empty {
			return end
		}
	}
}

// parse returns the ID of the event in a block. It reports no event and no error for comments, empty lines and a
// reconnection time, which are no events by the rules of text/event-stream.
//
// Those rules make clients ignore unknown fields. Here they are an error, since the text of a failure, or the head of
// another answer on the same connection, reads like such fields; so is a change of the line ending, for lines of an
// answer's head end with CRLF.
func (f *blockFormat) parse(block []byte) (id string, event bool, err error) {
	hasID, hasContent := false, false
	for line := range bytes.Lines(block) {
		text, err := f.trim(line)
		if err != nil {
			return "", false, err
		}
		if len(text) == 0 || text[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch {
		case string(name) == fieldID && hasID:
			return "", false, fmt.Errorf("%w: several IDs", errNoEvent)
		case string(name) == fieldID:
			id, hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		case string(name) == fieldRetry:
		case string(name) == fieldData, string(name) == fieldEvent, slices.Contains(f.fields, string(name)):
			hasContent = true
		default:
			return "", false, fmt.Errorf("%w: the line %.80q", errNoEvent, text)
		}
	}
	event = hasID || hasContent
	if event && id == "" && !f.optionalID {
		return "", false, fmt.Errorf("%w: no ID", errNoEvent)
	}
	return id, event, nil
}

// trim returns a line without its ending.
func (f *blockFormat) trim(line []byte) ([]byte, error) {
	text := bytes.TrimSuffix(line, []byte("\n"))
	text = bytes.TrimSuffix(text, []byte("\r"))
	if f.ending == nil {
		f.ending = bytes.Clone(line[len(text):])
	}
	if !bytes.Equal(line[len(text):], f.ending) || bytes.IndexByte(text, '\r') >= 0 {
		return nil, fmt.Errorf("%w: the line %.80q ends unlike others", errNoEvent, line)
	}
	return text, nil
}

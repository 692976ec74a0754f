package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against events that are missing, come twice or belong to another run and count as the next ones.
func TestSequenceAcceptsOnlyTheNextEvent(t *testing.T) {
	for _, c := range []struct {
		last, ids string
		// accepted is the number of IDs before the first one that is not accepted.
		accepted int
	}{
		{"", "1 2 3", 3},
		{"", "0", 0},
		{"", "2", 0},
		{"", "1 1", 1},
		{"", "1 2 1", 2},
		{"", "1 3", 1},
		{"7", "8 9", 2},
		{"7", "7", 0},
		{"7", "1", 0},
		{"7", "9", 0},
		{"7", "-8", 0},
		{"7", "+8", 0},
		{"7", "8.0", 0},
		{"7", "x", 0},
		{"0", "1", 1},
		{"9223372036854775807", "9223372036854775808", 1},
		// The caller named an event that is not known; its successor is not known either.
		{"x", "4 5 7", 2},
		{"-1", "4 6", 1},
	} {
		s := newSequence(c.last)
		accepted := 0
		for _, id := range strings.Fields(c.ids) {
			if err := s.accept(id); err != nil {
				assert.ErrorIs(t, err, errOutOfSequence)
				break
			}
			accepted++
		}
		assert.Equal(t, accepted, c.accepted, "%s after %q", c.ids, c.last)
	}
}

// Guards against bytes of another kind that reach the caller within a stream, and against lines of a sound stream that
// break it.
func TestOnlyEventsThatContinueTheStreamAreReturned(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, last, stream, want string
		err                      error
	}{
		{"whole", "", two, two, io.EOF},
		{"continued", "1", "id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n", io.EOF},
		{"begins anew", "2", two, "", errOutOfSequence},
		{"repeats", "", two + "id: 2\ndata: b\n\nid: 3\n\n", two, errOutOfSequence},
		{"skips", "", two + "id: 4\ndata: d\n\n", two, errOutOfSequence},
		{"goes back", "", two + "id: 1\ndata: a\n\n", two, errOutOfSequence},
		{"fresh stream from the middle", "", "id: 2\ndata: b\n\n", "", errOutOfSequence},
		{"ID is no number", "", "id: a\ndata: b\n\n", "", errOutOfSequence},
		{"empty ID", "", "id\ndata: b\n\n", "", errNoEvent},
		{"empty ID alone", "", two + "id:\n\n", two, errNoEvent},
		{"no ID", "", two + "data: c\n\n", two, errNoEvent},
		{"type without ID", "", two + "event: error\n\n", two, errNoEvent},
		{"two IDs", "", two + "id: 3\nid: 4\ndata: d\n\n", two, errNoEvent},
		{"text", "", two + "upstream failed\n\n", two, errNoEvent},
		{"text like a field", "", two + "error: upstream failed\n\n", two, errNoEvent},
		{"JSON", "", two + "{\"error\":\"overloaded\"}\n\n", two, errNoEvent},
		{"text before an event", "", two + "upstream failed\nid: 3\ndata: c\n\n", two, errNoEvent},
		{"head", "", two + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", two, errNoEvent},
		{"short head", "", two + "HTTP/1.1 503 X\r\n\r\n", two, errNoEvent},
		{"head within an event", "", two + "id: 3\ndata: cHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", two, errNoEvent},
		{"short head within an event", "", two + "id: 3\ndata: cHTTP/1.1 200 OK\r\n\r\n", two, errNoEvent},
		{"carriage return within a line", "", two + "id: 3\ndata: c\rid: 9\n\n", two, errNoEvent},
		{"other endings", "", two + "id: 3\r\ndata: c\r\n\r\n", two, errNoEvent},
		{"CRLF", "", "id:1\r\ndata:a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "id:1\r\ndata:a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", io.EOF},
		{"own field", "", "test-version: 3\nid: 1\ndata: a\n\n", "test-version: 3\nid: 1\ndata: a\n\n", io.EOF},
		{"own field alone", "", two + "test-version: 3\n\n", two, errNoEvent},
		{"all fields", "", "event: token\nid: 1\nretry: 5\ndata\ndata: b\n\n", "event: token\nid: 1\nretry: 5\ndata\ndata: b\n\n", io.EOF},
		{"comment", "", two + ": alive\n\n", two + ": alive\n\n", io.EOF},
		{"comment within an event", "", ": x\nid: 1\ndata: a\n\n", ": x\nid: 1\ndata: a\n\n", io.EOF},
		{"comment before the first event", "", ": alive\n\n" + two, ": alive\n\n" + two, io.EOF},
		{"reconnection time", "", "retry: 10\n\n" + two, "retry: 10\n\n" + two, io.EOF},
		{"empty lines", "", "\n\n" + two + "\n\n", "\n\n" + two + "\n\n", io.EOF},
		{"only a comment", "", ": alive\n\n", "", io.EOF},
		{"cut comment", "", two + ": ali", two, io.ErrUnexpectedEOF},
	} {
		for _, source := range []io.Reader{strings.NewReader(c.stream), iotest.OneByteReader(strings.NewReader(c.stream))} {
			reader := newEventReader(source)
			reader.sequence, reader.format.fields = newSequence(c.last), []string{"test-version"}
			got, err := readAll(reader)
			assert.Equal(t, got, c.want, c.name)
			assert.Assert(t, errors.Is(err, c.err), "%s: %v", c.name, err)
		}
	}
}

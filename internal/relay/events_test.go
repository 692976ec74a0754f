package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// readAll returns all events of a reader and the error at its end.
func readAll(r *eventReader) (string, error) {
	var text strings.Builder
	for {
		complete, err := r.next()
		if err != nil {
			return text.String(), err
		}
		text.Write(complete)
	}
}

func TestOnlyCompleteEventsAreReturned(t *testing.T) {
	cases := []struct {
		name, stream, want, lastID string
		err                        error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", io.EOF},
		{"cut", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", io.ErrUnexpectedEOF},
		{"crlf", "id:7\r\ndata: a\r\n\r\n", "id:7\r\ndata: a\r\n\r\n", "7", io.EOF},
		{"empty", "", "", "", io.EOF},
	}
	for _, c := range cases {
		for _, source := range []io.Reader{strings.NewReader(c.stream), iotest.OneByteReader(strings.NewReader(c.stream))} {
			reader := newEventReader(source)
			got, err := readAll(reader)
			assert.Equal(t, got, c.want, c.name)
			assert.Assert(t, errors.Is(err, c.err), "%s: %v", c.name, err)
			assert.Equal(t, reader.lastID, c.lastID, c.name)
		}
	}
}

func TestEventsAreCounted(t *testing.T) {
	reader := newEventReader(strings.NewReader("id: 1\n\nid: 2\n\n"))
	_, err := reader.next()
	assert.NilError(t, err)
	assert.Equal(t, reader.takeEventCount(), 2)
	assert.Equal(t, reader.takeEventCount(), 0)
}

func TestEndlessEventIsAnError(t *testing.T) {
	reader := newEventReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))
	_, err := reader.next()
	assert.ErrorIs(t, err, io.ErrShortBuffer)
}

// lastEventEnd returns the end of the last complete event, 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", 3)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		reader := newEventReader(iotest.DataErrReader(strings.NewReader(stream)))
		got, _ := readAll(reader)
		if !strings.HasPrefix(stream, got) {
			t.Fatalf("%q is not a prefix of %q", got, stream)
		}
		if got != "" && lastEventEnd([]byte(got)) != len(got) {
			t.Fatalf("%q does not end with a complete event", got)
		}
	})
}

func TestPriorWaitFollowsFromTheMajorityTimeout(t *testing.T) {
	a := newWaitEstimator()
	for range 10 {
		assert.Equal(t, a.priorWait("r", 14*time.Second), time.Duration(0))
	}
	assert.Equal(t, a.priorWait("r", 11*time.Second), 3*time.Second)
	assert.Equal(t, a.priorWait("r", 20*time.Second), time.Duration(0))
	assert.Equal(t, a.priorWait("r", 14*time.Second), time.Duration(0))
	assert.Equal(t, a.priorWait("other", time.Second), time.Duration(0))
}

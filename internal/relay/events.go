package relay

import (
	"bytes"
	"io"
)

const (
	// eventBufferBytes is the initial size of the buffer for a stream's events.
	eventBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
)

// eventReader splits a text/event-stream into complete events. Bytes after the last
// complete event are never returned.
type eventReader struct {
	source io.Reader
	buffer []byte
	// lastID is the ID of the last event that was returned.
	lastID string
	// events counts the events that were returned since the last call of takeEventCount.
	events int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, 0, eventBufferBytes)}
}

// next returns all complete events that have arrived, at least one. It returns io.EOF
// if the stream ended after a complete event, and io.ErrUnexpectedEOF if it ended
// within one. The bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	for {
		if end := lastEventEnd(e.buffer); end > 0 {
			complete := e.buffer[:end]
			e.recordEvents(complete)
			e.buffer = e.buffer[end:]
			return complete, nil
		}
		if len(e.buffer) > maxEventBytes {
			return nil, io.ErrShortBuffer
		}
		if err := e.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more bytes into the buffer.
func (e *eventReader) fill() error {
	if cap(e.buffer)-len(e.buffer) < eventBufferBytes/4 {
		grown := make([]byte, len(e.buffer), max(eventBufferBytes, 2*len(e.buffer)+eventBufferBytes))
		copy(grown, e.buffer)
		e.buffer = grown
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	if n > 0 {
		return nil
	}
	if err == io.EOF && len(e.buffer) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
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

// recordEvents counts events and stores the last event ID.
func (e *eventReader) recordEvents(complete []byte) {
	for line := range bytes.Lines(complete) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.events++
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// takeEventCount returns the number of events that were returned since its last call.
func (e *eventReader) takeEventCount() int {
	n := e.events
	e.events = 0
	return n
}

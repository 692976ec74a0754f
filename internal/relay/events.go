package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membudget"
)

const (
	// eventBufferBytes is the initial size of the buffer for a stream's events.
	eventBufferBytes = 2 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// minMemoryWait is the time from which on a reservation counts as a wait for memory. One that
	// is granted at once takes far less.
	minMemoryWait = 10 * time.Millisecond
)

// eventReader splits a text/event-stream into complete events. Bytes after the last
// complete event are never returned.
type eventReader struct {
	source io.Reader
	buffer []byte
	// lastID is the ID of the last event that was returned, firstID that of the first event of
	// the latest call of next.
	firstID, lastID string
	// events counts the events that were returned since the last call of takeEventCount.
	events int
	// memory counts the buffer; nil sets no bound. A wait for memory ends with ctx.
	memory *membudget.Holder
	ctx    context.Context
	// size is the size of the buffer's array.
	size int
	// waiting is set while the reader waits for memory, waits counts the waits of minMemoryWait
	// or more that have ended.
	waiting atomic.Bool
	waits   atomic.Int64
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, ctx: context.Background()}
}

// release returns the memory of the buffer.
func (e *eventReader) release() {
	e.memory.Release(int64(e.size))
	e.size = 0
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
	if cap(e.buffer)-len(e.buffer) < eventBufferBytes/4 || e.oversized() {
		if e.oversized() {
			// The smaller array fits into the guaranteed part, so that there is no wait.
			e.release()
		}
		if err := e.resize(min(2*len(e.buffer)+eventBufferBytes, maxEventBytes+2*eventBufferBytes)); err != nil {
			return err
		}
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

// oversized reports whether the buffer holds memory beyond the guaranteed part that it no longer
// needs.
func (e *eventReader) oversized() bool {
	return e.memory != nil && e.size > membudget.AnswerBytes && len(e.buffer) <= eventBufferBytes
}

// resize moves the bytes into an array of another size. It waits until there is memory for it.
func (e *eventReader) resize(size int) error {
	e.waiting.Store(true)
	began := time.Now()
	err := e.memory.Reserve(e.ctx, int64(size))
	if time.Since(began) >= minMemoryWait {
		e.waits.Add(1)
	}
	e.waiting.Store(false)
	if err != nil {
		return err
	}
	moved := make([]byte, len(e.buffer), size)
	copy(moved, e.buffer)
	e.release()
	e.buffer, e.size = moved, size
	return nil
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
	e.firstID = ""
	for line := range bytes.Lines(complete) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.events++
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
			e.firstID = cmp.Or(e.firstID, e.lastID)
		}
	}
}

// takeEventCount returns the number of events that were returned since its last call.
func (e *eventReader) takeEventCount() int {
	n := e.events
	e.events = 0
	return n
}

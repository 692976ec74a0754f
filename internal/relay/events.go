package relay

import (
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
	// maxEventBytes limits the size of one event of an engine.
	maxEventBytes = 1 << 20
	// minMemoryWait is the time from which on a reservation counts as a wait for memory. One that
	// is granted at once takes far less.
	minMemoryWait = 10 * time.Millisecond
)

// eventReader splits a text/event-stream into complete events that continue a stream. Bytes after
// the last such event are never returned.
type eventReader struct {
	source io.Reader
	buffer []byte
	// checked is the number of the buffer's first bytes that were checked and are held until the first
	// event, fault what is wrong with the bytes after them.
	checked int
	fault   error
	// sequence and format decide which events continue the stream.
	sequence sequence
	format   blockFormat
	// maxBytes limits the size of one event.
	maxBytes int
	// begun is set once there was an event.
	begun bool
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
	return &eventReader{source: source, ctx: context.Background(), maxBytes: maxEventBytes}
}

// release returns the memory of the buffer.
func (e *eventReader) release() {
	e.memory.Release(int64(e.size))
	e.size = 0
}

// held returns the bytes before the first event that were checked.
func (e *eventReader) held() []byte { return e.buffer[:e.checked] }

// next returns all complete events that have arrived, at least one, and what is between them; after
// the first event it also returns comments without an event. It returns io.EOF if the stream ended after
// a complete event, io.ErrUnexpectedEOF if it ended within one, and errNoEvent or errOutOfSequence if what
// follows does not continue the stream. The bytes are valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	for {
		if complete := e.takeBlocks(); len(complete) > 0 {
			return complete, nil
		}
		if e.fault != nil {
			return nil, e.fault
		}
		if len(e.buffer) > e.maxBytes {
			return nil, io.ErrShortBuffer
		}
		if err := e.fill(); err != nil {
			return nil, err
		}
	}
}

// takeBlocks removes the complete blocks that continue the stream from the buffer. Those before the first
// event stay in it.
func (e *eventReader) takeBlocks() []byte {
	e.firstID = ""
	for e.fault == nil {
		n := blockEnd(e.buffer[e.checked:])
		if n == 0 {
			break
		}
		if e.fault = e.check(e.buffer[e.checked : e.checked+n]); e.fault == nil {
			e.checked += n
		}
	}
	if !e.begun {
		return nil
	}
	complete := e.buffer[:e.checked]
	e.buffer, e.checked = e.buffer[e.checked:], 0
	return complete
}

// check checks a block, and records the event in it.
func (e *eventReader) check(block []byte) error {
	id, event, err := e.format.parse(block)
	if err != nil || !event {
		return err
	}
	if id != "" {
		if err := e.sequence.accept(id); err != nil {
			return err
		}
	}
	e.begun = true
	e.events++
	e.lastID, e.firstID = id, cmp.Or(e.firstID, id)
	return nil
}

// fill reads more bytes into the buffer.
func (e *eventReader) fill() error {
	if cap(e.buffer)-len(e.buffer) < eventBufferBytes/4 || e.oversized() {
		if e.oversized() {
			// The smaller array fits into the guaranteed part, so that there is no wait.
			e.release()
		}
		if err := e.resize(min(2*len(e.buffer)+eventBufferBytes, e.maxBytes+2*eventBufferBytes)); err != nil {
			return err
		}
	}
	n, err := e.source.Read(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer = e.buffer[:len(e.buffer)+n]
	if n > 0 {
		return nil
	}
	if err == io.EOF && len(e.buffer) > e.checked {
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

// takeEventCount returns the number of events that were returned since its last call.
func (e *eventReader) takeEventCount() int {
	n := e.events
	e.events = 0
	return n
}

package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// answerBufferBytes is the initial size of the buffer for an answer.
	answerBufferBytes = 1 << 10
	// passBufferBytes is the least size of the buffer of an answer that is passed on.
	passBufferBytes = 4 << 10
	// lateDelivery is how long an answer that is passed on may be read after the deadline. It is
	// the time that a caller has for an answer that is ready at the deadline.
	lateDelivery = 5 * time.Second
)

// errNoMemory means that the memory budget has no room for an answer.
var errNoMemory = errors.New("no memory for the answer")

// Deadline returns the time at which the final answer to a request of a route is due.
func Deadline(request *Request, route *routing.Route) time.Time { return finalDeadline(request, route) }

// answerBuffer holds an answer that is read before it is used. Its memory is reserved before it
// is allocated. A nil buffer holds nothing.
type answerBuffer struct {
	memory *membudget.Holder
	bytes  []byte
}

// read reads to the end. The error is io.ErrShortBuffer if the answer is longer than
// maxAnswerBytes, or that of reserve; what was read until then stays in the buffer.
func (b *answerBuffer) read(source io.Reader, reserve func(n int64) error) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(min(max(answerBufferBytes, 2*cap(b.bytes)), maxAnswerBytes+1), reserve); err != nil {
				return err
			}
		}
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.bytes) > maxAnswerBytes {
			return io.ErrShortBuffer
		}
	}
}

// grow moves the bytes into a larger array.
func (b *answerBuffer) grow(size int, reserve func(n int64) error) error {
	if err := reserve(int64(size)); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.memory.Release(int64(cap(b.bytes)))
	b.bytes = grown
	return nil
}

// release returns the buffer's memory.
func (b *answerBuffer) release() {
	if b != nil {
		b.memory.Release(int64(cap(b.bytes)))
		b.bytes = nil
	}
}

// release returns the memory of an answer that is not needed any more; it may be nil.
func (a *Answer) release() {
	if a != nil {
		a.buffer.release()
	}
}

// waitForMemory returns a function that reserves and waits until the bytes are there.
func waitForMemory(ctx context.Context, memory *membudget.Holder) func(n int64) error {
	return func(n int64) error { return memory.Reserve(ctx, n) }
}

// tryForMemory returns a function that reserves without waiting; its error is errNoMemory.
func tryForMemory(memory *membudget.Holder) func(n int64) error {
	return func(n int64) error {
		if !memory.TryReserve(n) {
			return errNoMemory
		}
		return nil
	}
}

// passage is the progress of an answer that is passed on to the caller while it is read.
type passage struct {
	status, bytes int
	// failure is the reason why the answer is not complete, nil if it is.
	failure error
	// stream is nil unless the answer consists of events.
	stream *passedStream
	// blocked is the time that writing to the caller took.
	blocked time.Duration
}

// blockedTime returns the time that writing to the caller took, 0 if p is nil.
func (p *passage) blockedTime() time.Duration {
	if p == nil {
		return 0
	}
	return p.blocked
}

// send sends a part to the caller and reports whether the caller takes more.
func (p *passage) send(caller Caller, part []byte) bool {
	began := time.Now()
	p.failure = caller.Event(part)
	p.blocked += time.Since(began)
	p.bytes += len(part)
	return p.failure == nil
}

// fail records why the answer is not complete. A nil passage is left as it is.
func (p *passage) fail(err error) {
	if p != nil && p.failure == nil {
		p.failure = err
	}
}

// passOn passes an answer that does not fit into the memory budget on to the caller. It is read as
// fast as the caller reads it. The error is that of the endpoint.
func (r *Relay) passOn(ctx context.Context, x *exchange, response *upstream.Response, buffer *answerBuffer) error {
	x.answer.release()
	x.answer = nil
	x.passage = &passage{status: response.Status}
	x.request.Memory.CountPassedOn()
	r.decide(x, "answer passed on", logrus.Fields{"status": response.Status, "bytes_read": len(buffer.bytes)})
	if cap(buffer.bytes) < passBufferBytes {
		if err := buffer.grow(passBufferBytes, waitForMemory(ctx, x.request.Memory)); err != nil {
			x.passage.failure = err
			return err
		}
	}
	x.caller.Begin(response.Status, response.Header)
	for {
		if len(buffer.bytes) > 0 {
			if !x.passage.send(x.caller, buffer.bytes) {
				return nil
			}
		}
		n, err := response.Read(buffer.bytes[:cap(buffer.bytes)])
		buffer.bytes = buffer.bytes[:n]
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			x.passage.failure = err
			return err
		}
	}
}

// concludePassage ends a request whose answer was passed on.
func (r *Relay) concludePassage(x *exchange) {
	p := x.passage
	if p.stream != nil {
		r.concludeEvents(x)
		return
	}
	if p.failure != nil {
		r.Counters.Broken.Add(1)
		r.decide(x, "answer broken", logrus.Fields{"status": p.status, "bytes": p.bytes, "error": p.failure.Error()})
		x.caller.Abort()
		return
	}
	r.Counters.Answered.Add(1)
	r.PlainAnswers.Observe(time.Since(x.request.Arrived))
	r.decide(x, "request answered", logrus.Fields{"status": p.status, "bytes": p.bytes, "passed_on": true})
}

package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// shortMemory gives the requests of the fixture a budget of the guaranteed parts and what is lent.
func (s *fixture) shortMemory(lent int64) *membudget.Counters {
	counters := new(membudget.Counters)
	budget := membudget.New(membudget.Limits{Guaranteed: membudget.AnswerBytes, Turn: lent}, counters)
	memory, ok := budget.Open(membudget.AnswerBytes)
	assert.Assert(s.t, ok)
	s.memory = memory
	return counters
}

// largeEvent is an event beyond the guaranteed part.
var largeEvent = "id: 1\ndata: " + strings.Repeat("t", 100<<10) + "\n\n"

// A single kind of buffer without a bound would let slow readers take all memory of the VM.
func TestNothingIsReadBeyondTheBudget(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		prefill, decode, plain func(http.ResponseWriter, *http.Request)
		outcome, body          string
		passedOn               int64
		lent                   bool
	}{
		"plain answer": {plain: answers(http.StatusOK, large), outcome: "stream", body: large, passedOn: 1},
		"prefill":      {prefill: answers(http.StatusOK, large), decode: events(2), outcome: "stream", body: eventText(2), lent: true},
		"error answer": {prefill: answers(http.StatusOK, "h"), decode: answers(http.StatusInternalServerError, large), outcome: "answer", body: large, lent: true},
		"event":        {prefill: answers(http.StatusOK, "h"), decode: answers(http.StatusOK, largeEvent), outcome: "stream", body: largeEvent, lent: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			counters := s.shortMemory(1 << 20)
			var generation *Generation
			route := booking
			if c.plain != nil {
				s.endpoint("d1", "desk", "", c.plain)
			} else {
				generation = work
				route = check
				route.MaxAttempts = 1
				s.engines(c.prefill, c.decode)
			}
			caller := s.serve(route, generation)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Assert(t, caller.body == c.body)
			assert.Equal(t, counters.PassedOn.Load(), c.passedOn)
			assert.Equal(t, counters.Lent.Load() > 0, c.lent)
			s.memory.Close()
			assert.Equal(t, counters.Reserved.Load(), int64(0))
		})
	}
}

// endless counts what is read of an answer without an end.
type endless struct{ read int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read += int64(len(p))
	return len(p), nil
}

// An answer of which a part was passed on must not be begun anew, and its caller must see that it
// is incomplete.
func TestAnswerThatBreaksOffWhileItIsPassedOnIsNotRepeated(t *testing.T) {
	s := newFixture(t)
	s.shortMemory(0)
	for _, name := range []string{"d1", "d2"} {
		s.endpoint(name, "desk", "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "200000")
			_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
			panic(http.ErrAbortHandler)
		})
	}
	assert.Equal(t, s.serve(lookup, nil).outcome, "aborted")
	assert.Equal(t, s.callCount(), 1)
	assert.Equal(t, s.relay.Counters.Broken.Load(), int64(1))
}

// A reader that does not get memory must leave the remainder of its answer with the endpoint.
func TestReaderWithoutMemoryReadsNothingMore(t *testing.T) {
	s := newFixture(t)
	s.shortMemory(0)
	source := new(endless)
	buffer := &answerBuffer{memory: s.memory}
	assert.ErrorIs(t, buffer.read(source, tryForMemory(s.memory)), errNoMemory)
	assert.Assert(t, source.read <= membudget.AnswerBytes, "%d", source.read)
	buffer.release()

	source = new(endless)
	reader := newEventReader(source)
	reader.memory, reader.ctx = s.memory, t.Context()
	_, err := reader.next()
	assert.ErrorIs(t, err, membudget.ErrTooLarge)
	assert.Assert(t, source.read <= membudget.AnswerBytes, "%d", source.read)
}

// A stream that waits for memory is not one of a silent engine; to prepare others would cost a
// prefill and a retry for nothing.
func TestWaitForMemoryIsNoSilence(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	// Long enough for the start of the stream on a busy machine, which is no wait for memory.
	s.eventTimeout = time.Second
	counters := new(membudget.Counters)
	budget := membudget.New(membudget.Limits{Guaranteed: 2 * membudget.AnswerBytes, Turn: 1 << 20}, counters)
	s.memory, _ = budget.Open(membudget.AnswerBytes)
	other, _ := budget.Open(membudget.AnswerBytes)
	assert.NilError(t, other.Reserve(t.Context(), 20<<10))
	s.engines(answers(http.StatusOK, "h"), answers(http.StatusOK, largeEvent))
	done := make(chan *recorder, 1)
	go func() {
		caller := &recorder{}
		s.serveTo(context.Background(), caller, check, work)
		done <- caller
	}()
	for counters.Waits.Load() < 2 {
		assert.Equal(t, len(done), 0, "the stream did not wait for memory")
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * s.eventTimeout)
	other.Close()
	assert.Assert(t, (<-done).body == largeEvent)
	assert.Equal(t, s.relay.Counters.Silences.Load(), int64(0))
}

// An endpoint crashes if the requests that it holds exceed its memory.
func TestRequestBeyondTheBytesOfAnEndpointGoesElsewhere(t *testing.T) {
	s := newFixture(t)
	s.body = []byte("body")
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "1"))
	inFlight := membudget.NewEndpoints(1, new(membudget.Counters))
	s.relay.options.InFlight = inFlight
	end, ok := inFlight.Begin("d1", 1<<20, 1)
	assert.Assert(t, ok)
	assert.Equal(t, s.serve(booking, nil).outcome, "refused: the endpoint takes no requests at present")
	assert.Equal(t, s.callLog(), "")
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "2"))
	for range 3 {
		assert.Equal(t, s.serve(booking, nil).body, "2")
	}
	end()
	_, ok = inFlight.Begin("d2", 1<<20, 1)
	assert.Assert(t, ok)
	assert.Equal(t, s.serve(booking, nil).body, "1")
}

// An answer that does not fit into the memory budget while its time ends was delivered as a whole one
// with an empty body, if the process was paused between the timer's end and its effect.
func TestAnswerWithoutMemoryIsNotDeliveredAfterItsTime(t *testing.T) {
	s := newFixture(t)
	s.shortMemory(0)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, strings.Repeat("x", 100<<10)))
	response, err := s.relay.options.Client.Do(t.Context(), s.instances[0].Address, &upstream.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	assert.NilError(t, err)
	defer response.Close()
	ended := time.AfterFunc(time.Hour, func() {})
	ended.Stop()
	x := &exchange{request: &Request{Memory: s.memory}, route: &booking, caller: new(recorder)}
	_, err = s.relay.readAnswer(t.Context(), x, &Call{}, response, &Verdict{}, ended)
	assert.ErrorIs(t, err, errNoMemory)
	assert.Assert(t, x.passage == nil)
}

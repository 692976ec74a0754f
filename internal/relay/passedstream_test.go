package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

var (
	// feed is a route of streams that may be resumed, report one of streams that may not.
	feed   = routing.Route{Name: "feed", Kind: routing.Streaming, Resumable: true, MaxAttempts: 3, Timeout: time.Minute, Objective: time.Second}
	report = routing.Route{Name: "report", Kind: routing.Streaming, MaxAttempts: 3, Timeout: time.Minute, Objective: time.Second}
)

// inTurn adds plain endpoints. Whichever of them is called first handles the call with the first function, and so on; the
// last function handles all further calls.
func (s *fixture) inTurn(handlers ...func(http.ResponseWriter, *http.Request)) {
	s.t.Helper()
	var calls atomic.Int64
	for _, name := range []string{"d1", "d2", "d3"} {
		s.endpoint(name, "desk", "", func(w http.ResponseWriter, r *http.Request) {
			handlers[min(int(calls.Add(1)), len(handlers))-1](w, r)
		})
	}
}

// cut returns a handler that sends a text and breaks its connection off.
func cut(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// anew is a handler that streams three events, whatever the caller has.
func anew(w http.ResponseWriter, _ *http.Request) { eventsBetween(w, 1, 3) }

// otherType is a handler whose answer is no series of events.
func otherType(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(notEventsHeader, "1")
	answers(http.StatusOK, "a document")(w, r)
}

// Guards against events of a plain service that are missing, come twice, are joined of two runs or look complete, whatever
// its endpoints do.
func TestStreamOfAPlainServiceHasEachEventOnce(t *testing.T) {
	type handler = func(http.ResponseWriter, *http.Request)
	two, three := eventText(2), eventText(3)
	rest := strings.TrimPrefix(three, two)
	const failed = "failed: no endpoint answered"
	for _, c := range []struct {
		name     string
		route    routing.Route
		takeUp   *TakeUp
		handlers []handler
		// outcome and body are what the caller gets, calls is the number of calls.
		outcome, body string
		calls         int
	}{
		{"whole", report, nil, []handler{events(3)}, "stream", three, 1},
		{"declined first", report, nil, []handler{declines, events(3)}, "stream", three, 2},
		{"cut, may not be resumed", report, nil, []handler{cut(two), events(3)}, "aborted", two, 1},
		{"cut", feed, nil, []handler{cut(two), events(3)}, "stream", three, 2},
		{"cut within an event", feed, nil, []handler{cut(two + "id: 3\nda"), events(3)}, "stream", three, 2},
		{"cut twice", feed, nil, []handler{cut(eventText(1)), cut(strings.TrimPrefix(two, eventText(1))), events(3)}, "stream", three, 3},
		{"cut each time", feed, nil, []handler{cut(two), cut("")}, "aborted", two, 3},
		{"cut, declined", feed, nil, []handler{cut(two), declines, events(3)}, "stream", three, 3},
		{"cut, then an error", feed, nil, []handler{cut(two), answers(http.StatusInternalServerError, "no"), events(3)}, "stream", three, 3},
		{"cut, then errors", feed, nil, []handler{cut(two), answers(http.StatusInternalServerError, "no")}, "aborted", two, 3},
		{"cut, then a document", feed, nil, []handler{cut(two), otherType}, "aborted", two, 3},
		{"cut, begins anew", feed, nil, []handler{cut(two), anew}, "aborted", two, 3},
		{"cut, an event is left out", feed, nil, []handler{cut(two), answers(http.StatusOK, "id: 4\ndata: t\n\n"), events(3)}, "stream", three, 3},
		{"cut, numbers left out before", feed, nil, []handler{cut("id: 10\ndata: a\n\nid: 20\ndata: b\n\n"), answers(http.StatusOK, "id: 30\ndata: c\n\n")}, "stream", "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 30\ndata: c\n\n", 2},
		{"cut after one event, numbers left out", feed, nil, []handler{cut("id: 10\ndata: a\n\n"), answers(http.StatusOK, "id: 20\ndata: b\n\n")}, "stream", "id: 10\ndata: a\n\nid: 20\ndata: b\n\n", 2},
		{"cut, no further event", feed, nil, []handler{cut(two), events(2)}, "aborted", two, 3},
		{"cut before the first event", feed, nil, []handler{cut(""), events(3)}, "stream", three, 2},
		{"ends within an event", report, nil, []handler{answers(http.StatusOK, two+"id: 3\nda")}, "aborted", two, 1},
		{"an event twice", report, nil, []handler{answers(http.StatusOK, two+eventText(2))}, "aborted", two, 1},
		{"a failure as text", report, nil, []handler{answers(http.StatusOK, two+"upstream failed\n\n")}, "aborted", two, 1},
		{"no events", report, nil, []handler{answers(http.StatusOK, ": none\n\n")}, "answer", ": none\n\n", 1},
		{"a document", report, nil, []handler{otherType}, "answer", "a document", 1},
		{"an error", report, nil, []handler{answers(http.StatusInternalServerError, "no")}, "answer", "no", 1},
		{"numbers left out", report, nil, []handler{answers(http.StatusOK, "id: 0\ndata: a\n\nid: 7\ndata: b\n\n")}, "stream", "id: 0\ndata: a\n\nid: 7\ndata: b\n\n", 1},
		{"IDs that are no numbers", report, nil, []handler{answers(http.StatusOK, "id: b\ndata: a\n\nid: a\ndata: b\n\n")}, "stream", "id: b\ndata: a\n\nid: a\ndata: b\n\n", 1},
		{"no IDs", report, nil, []handler{answers(http.StatusOK, "data: a\n\ndata: b\n\n")}, "stream", "data: a\n\ndata: b\n\n", 1},
		{"cut after no ID", feed, nil, []handler{cut(two + "data: a\n\n"), events(3)}, "aborted", two + "data: a\n\n", 1},
		{"cut after no number", feed, nil, []handler{cut("id: a\ndata: a\n\n"), events(3)}, "aborted", "id: a\ndata: a\n\n", 1},
		{"taken up", feed, &TakeUp{LastEventID: "2"}, []handler{events(3)}, "stream", rest, 1},
		{"taken up, may not be resumed", report, &TakeUp{LastEventID: "2"}, []handler{events(3)}, "stream", rest, 1},
		{"taken up, cut", feed, &TakeUp{LastEventID: "1"}, []handler{cut(strings.TrimPrefix(two, eventText(1))), events(3)}, "stream", strings.TrimPrefix(three, eventText(1)), 2},
		{"taken up, begins anew", feed, &TakeUp{LastEventID: "2"}, []handler{anew}, failed, "", 3},
		{"taken up, begins anew once", feed, &TakeUp{LastEventID: "2"}, []handler{anew, events(3)}, "stream", rest, 2},
		{"taken up, begins anew, may not be resumed", report, &TakeUp{LastEventID: "2"}, []handler{anew, events(3)}, failed, "", 1},
		{"taken up, no further event", feed, &TakeUp{LastEventID: "3"}, []handler{events(3)}, failed, "", 3},
		{"taken up after no number", feed, &TakeUp{LastEventID: "x"}, []handler{events(3)}, "stream", three, 1},
		{"taken up, a document", feed, &TakeUp{LastEventID: "2"}, []handler{otherType, events(3)}, "stream", rest, 2},
		{"taken up, a document, may not be resumed", report, &TakeUp{LastEventID: "2"}, []handler{otherType}, failed, "", 1},
		{"taken up, ambiguous", feed, &TakeUp{LastEventID: "2", Ambiguous: true}, []handler{anew}, "stream", three, 1},
		{"taken up, ambiguous, no further event", feed, &TakeUp{LastEventID: "3", Ambiguous: true}, []handler{events(3)}, failed, "", 3},
		{"taken up after the highest number", feed, &TakeUp{LastEventID: "18446744073709551615"}, []handler{anew}, failed, "", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t)
			s.takeUp = c.takeUp
			s.inTurn(c.handlers...)
			caller := s.serve(c.route, nil)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, caller.body, c.body)
			assert.Equal(t, s.callCount(), c.calls, s.callLog())
		})
	}
}

// Guards against a stream that goes on at an endpoint of another build, and against one without the budget for it.
func TestStreamOfAPlainServiceGoesOnAtItsBuildOnly(t *testing.T) {
	s := newFixture(t)
	s.inTurn(cut(eventText(2)), events(3))
	s.setBuilds(map[string]string{"d1": "v1", "d2": "v2", "d3": "v3"})
	caller := s.serve(feed, nil)
	assert.Equal(t, caller.outcome, "aborted")
	assert.Equal(t, s.callCount(), 1)

	s = newFixture(t)
	s.relay.options.Budget = &budget{left: 0}
	s.inTurn(cut(eventText(2)), events(3))
	assert.Equal(t, s.serve(feed, nil).outcome, "aborted")
	assert.Equal(t, s.callCount(), 1)
}

// Guards against a stream that is held past the deadline of its request.
func TestStreamOfAPlainServiceEndsAtTheDeadline(t *testing.T) {
	s := newFixture(t)
	route := feed
	route.Timeout = 200 * time.Millisecond
	s.inTurn(func(w http.ResponseWriter, r *http.Request) {
		eventsBetween(w, 1, 2)
		_ = http.NewResponseController(w).Flush()
		untilCancelled(w, r)
	})
	caller := s.serve(route, nil)
	assert.Equal(t, caller.outcome, "aborted")
	assert.Equal(t, caller.body, eventText(2))
	assert.Equal(t, s.callCount(), 1, "nothing is sent after the deadline")
}

// disconnecting is a caller that disconnects when it gets an event.
type disconnecting struct {
	recorder
	disconnect context.CancelFunc
}

func (d *disconnecting) Event([]byte) error {
	d.disconnect()
	return nil
}

// Guards against an endpoint that goes on with a stream whose caller is gone.
func TestStreamOfAPlainServiceEndsWithItsCaller(t *testing.T) {
	cancelled := make(chan struct{})
	s := newFixture(t)
	s.inTurn(func(w http.ResponseWriter, r *http.Request) {
		eventsBetween(w, 1, 1)
		_ = http.NewResponseController(w).Flush()
		untilCancelled(w, r)
		close(cancelled)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	caller := &disconnecting{disconnect: disconnect}
	s.relay.Serve(ctx, s.request(nil), &feed, s.fleet.Table().Service("desk"), caller)
	<-cancelled
	assert.Equal(t, caller.outcome, "aborted")
	assert.Equal(t, s.relay.Counters.CallersGone.Load(), int64(1))
	assert.Equal(t, s.callCount(), 1)
}

// Guards against a stream that is held in memory without a bound, and against memory that is not returned.
func TestStreamOfAPlainServiceKeepsToTheBudget(t *testing.T) {
	s := newFixture(t)
	counters := s.shortMemory(1 << 20)
	s.inTurn(answers(http.StatusOK, largeEvent+strings.Replace(largeEvent, "id: 1", "id: 2", 1)))
	caller := s.serve(report, nil)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, len(caller.body), 2*len(largeEvent))
	assert.Equal(t, counters.PassedOn.Load(), int64(0))
	s.memory.Close()
	assert.Equal(t, counters.Reserved.Load(), int64(0))
	assert.Assert(t, len(largeEvent) > membudget.AnswerBytes)
}

// Guards against a stream that is broken off because its attempt has less time than its request.
func TestEndpointThatHasBegunHasTheTimeUntilTheDeadline(t *testing.T) {
	s := newFixture(t)
	ended := make(chan struct{}, 2)
	timer := time.AfterFunc(time.Hour, func() { ended <- struct{}{} })
	x := &exchange{request: s.request(nil), caller: &recorder{}, deadline: time.Now().Add(time.Millisecond)}
	assert.NilError(t, s.relay.beginEvents(x, &configuration.Endpoint{}, &upstream.Response{Status: http.StatusOK}, timer))
	<-ended
	assert.Assert(t, s.relay.beginEvents(x, &configuration.Endpoint{}, &upstream.Response{Status: http.StatusOK}, timer) != nil, "the time is up")
}

// slowReader is a caller that takes a while to read each event.
type slowReader struct {
	recorder
	took time.Duration
}

func (c *slowReader) Event(events []byte) error {
	began := time.Now()
	time.Sleep(20 * time.Millisecond)
	c.took += time.Since(began)
	return c.recorder.Event(events)
}

// latencies records the latency of the endpoint that was observed last.
type latencies struct {
	Endpoints
	last time.Duration
}

func (l *latencies) Observe(name string, group []string, ok bool, latency time.Duration) {
	l.last = latency
	l.Endpoints.Observe(name, group, ok, latency)
}

// Guards against an endpoint that counts as slow because callers read its streams slowly.
func TestTimeOfACallerIsNotThatOfItsEndpoint(t *testing.T) {
	s := newFixture(t)
	observed := &latencies{Endpoints: s.endpoints}
	s.relay.options.Endpoints = observed
	s.inTurn(events(3))
	caller := &slowReader{}
	began := time.Now()
	s.relay.Serve(t.Context(), s.request(nil), &feed, s.fleet.Table().Service("desk"), caller)
	assert.Equal(t, caller.body, eventText(3))
	assert.Assert(t, observed.last > 0 && observed.last <= time.Since(began)-caller.took, "%v", observed.last)
}

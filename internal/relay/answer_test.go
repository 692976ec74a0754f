package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// answersAs returns a handler that answers with a status, a body and, unless it is empty, a field of testDialect.
func answersAs(status int, mark, body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		if mark != "" {
			w.Header().Set(mark, "1")
		}
		answers(status, body)(w, nil)
	}
}

// notStreams are answers of an engine that must not be taken for a stream.
var notStreams = []struct {
	name   string
	answer func(http.ResponseWriter, *http.Request)
	// logged is the status and the reason of the rejection, empty if the client rejects the answer.
	logged string
}{
	{"other type", answersAs(http.StatusOK, notEventsHeader, eventText(3)), "200 its type is not that of events"},
	{"no signature", answersAs(http.StatusOK, unsignedHeader, eventText(3)), "200 it is not signed as the engine's own"},
	{"other success", answersAs(http.StatusCreated, "", eventText(3)), "201 its status is not that of a stream"},
	{"part of a body", answersAs(http.StatusPartialContent, "", eventText(3)), "206 its status is not that of a stream"},
	{"no content", answersAs(http.StatusNoContent, "", ""), "204 its status is not that of a stream"},
	{"other protocol", switchesProtocols, ""},
}

// switchesProtocols answers as if the connection had another protocol from then on.
func switchesProtocols(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\n%s: %s\r\n\r\n%s", idHeader, r.Header.Get(idHeader), eventText(3))
	_ = conn.Close()
}

// Guards against an answer that is no stream of the engine and reaches the caller as one, as the first answer
// or in the middle of a stream that another engine began.
func TestAnswerThatIsNoStreamIsNotForwarded(t *testing.T) {
	for _, c := range notStreams {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			logged := s.captureLog()
			s.engines(answers(http.StatusOK, "h1"), c.answer)
			caller := s.serve(dossier, work)
			assert.Equal(t, caller.outcome, "failed: no endpoint answered")
			assert.Equal(t, caller.body, "")
			var rejected []string
			if c.logged != "" {
				rejected = []string{c.logged}
			}
			assert.Equal(t, s.relay.Counters.RejectedAnswers.Load(), int64(len(rejected)))
			assert.DeepEqual(t, logged("answer rejected", "status", "reason"), rejected)

			s = newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
			s.engines(answers(http.StatusOK, "h1"), c.answer)
			caller = s.serve(check, work)
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, caller.body, eventText(3))

			s = newFixture(t, grant("p1", "e2"), grant("p2", "e1"))
			s.endpoint("p1", "pool", configuration.RolePrefill, answers(http.StatusOK, "h1"))
			s.endpoint("p2", "pool", configuration.RolePrefill, answers(http.StatusOK, "h2"))
			s.endpoint("e2", "pool", configuration.RoleDecode, cutAfter(2))
			s.endpoint("e1", "pool", configuration.RoleDecode, c.answer)
			caller = s.serve(check, work)
			assert.Equal(t, caller.outcome, "aborted")
			assert.Equal(t, caller.body, eventText(2))
			assert.Assert(t, strings.HasSuffix(s.callLog(), "e1:2/h2/2"), s.callLog())
		})
	}
}

// Guards against a stream that broke off and ends as if it were complete, because the next engine's answer has no
// events.
func TestContinuationWithoutEventsIsNotTheEndOfTheStream(t *testing.T) {
	flushed := func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }
	thrice := check
	thrice.MaxAttempts = 3
	for _, c := range []struct {
		name  string
		empty func(s *fixture) func(http.ResponseWriter, *http.Request)
	}{
		{"length", func(*fixture) func(http.ResponseWriter, *http.Request) { return answers(http.StatusOK, "") }},
		{"chunks", func(*fixture) func(http.ResponseWriter, *http.Request) { return flushed }},
		{"connection", func(s *fixture) func(http.ResponseWriter, *http.Request) { return s.unframed("", closed) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, route := range []routing.Route{check, thrice} {
				s := newFixture(t, grant("e1", "e1"), grant("e3", "e3"), grant("e2", "e2"))
				s.engines(reset, cutAfter(2))
				s.endpoint("e3", "pool", configuration.RoleDecode, c.empty(s))
				caller := s.serve(route, work)
				if route.MaxAttempts == 2 {
					assert.Equal(t, caller.outcome, "aborted")
					assert.Equal(t, caller.body, eventText(2))
					continue
				}
				assert.Equal(t, caller.outcome, "stream")
				assert.Equal(t, caller.body, eventText(3))
			}
		})
	}
}

// Guards against a stream that is held up by the body of a failure that is not delivered.
func TestFailureInTheMiddleOfAStreamIsNotRead(t *testing.T) {
	thrice := check
	thrice.MaxAttempts = 3
	s := newFixture(t, grant("e1", "e1"), grant("e3", "e3"), grant("e2", "e2"))
	s.engines(reset, cutAfter(2))
	s.endpoint("e3", "pool", configuration.RoleDecode, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	caller := s.serve(thrice, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
}

// Guards against events of another run, and bytes that are no event, that reach the caller in the middle of a stream,
// and against a stream that looks complete after them.
func TestBytesThatDoNotContinueTheStreamAreNotForwarded(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nno memory"
	third := strings.TrimPrefix(eventText(3), eventText(2))
	for _, c := range []struct {
		name, body string
		// forwarded is the number of events that reach the caller.
		forwarded                int
		outOfSequence, malformed int64
	}{
		{"begins anew", eventText(3), 2, 1, 0},
		{"skips", "id: 4\ndata: t\n\n", 2, 1, 0},
		{"goes on and repeats", third + third, 3, 1, 0},
		{"error's text", "the upstream failed\n\n", 2, 0, 1},
		{"error's text after an event", third + "the upstream failed\n\n", 3, 0, 1},
		{"another head", head, 2, 0, 1},
		{"another head after an event", third + head, 3, 0, 1},
		{"another head within an event", "id: 3\ndata: " + head, 2, 0, 1},
	} {
		for _, framing := range []string{"length", "connection"} {
			t.Run(c.name+", "+framing, func(t *testing.T) {
				s := newFixture(t, grant("e1", "e1"), grant("e3", "e3"))
				s.engines(reset, cutAfter(2))
				second := answers(http.StatusOK, c.body)
				if framing == "connection" {
					second = s.unframed(c.body, closed)
				}
				s.endpoint("e3", "pool", configuration.RoleDecode, second)
				caller := s.serve(check, work)
				assert.Equal(t, caller.outcome, "aborted")
				assert.Equal(t, caller.body, eventText(c.forwarded))
				assert.Equal(t, s.relay.Counters.OutOfSequence.Load(), c.outOfSequence)
				assert.Equal(t, s.relay.Counters.MalformedStreams.Load(), c.malformed)
			})
		}
	}
}

// beginsAnew streams events from the first one, whatever the caller has.
func beginsAnew(w http.ResponseWriter, _ *http.Request) { eventsBetween(w, 1, 3) }

// hangsAfterTwo streams two events and holds the connection; it sends a comment again and again if alive.
func hangsAfterTwo(alive bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		events(2)(w, r)
		_ = http.NewResponseController(w).Flush()
		for alive && r.Context().Err() == nil {
			_, _ = w.Write([]byte(": alive\n\n"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
		<-r.Context().Done()
	}
}

// Guards against an engine that takes over from a silent or a leaving one, or gets a stream that its caller takes up,
// and whose answer is not compared with what the caller has; and against comments that keep a stream at a silent engine.
func TestEventsAreComparedOnEveryWayToAnotherEngine(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second func(http.ResponseWriter, *http.Request)
		work          *Generation
		outcome, body string
	}{
		{"silent", hangsAfterTwo(false), events(3), work, "stream", eventText(3)},
		{"silent, begins anew", hangsAfterTwo(false), beginsAnew, work, "aborted", eventText(2)},
		{"silent with comments", hangsAfterTwo(true), events(3), work, "stream", eventText(3)},
		{"leaving", leaves(cutAfter(2)), events(3), work, "stream", eventText(3)},
		{"leaving, begins anew", leaves(cutAfter(2)), beginsAnew, work, "aborted", eventText(2)},
		{"taken up", reset, events(3), takenUp, "stream", strings.TrimPrefix(eventText(3), eventText(2))},
		{"taken up, begins anew", reset, beginsAnew, takenUp, "failed: no endpoint answered", ""},
		{"taken up, no events", reset, events(2), takenUp, "failed: no endpoint answered", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newImpatientFixture(t, grant("e1", "e1"), grant("e3", "e3"))
			s.builds.sole = "v1"
			s.engines(reset, c.first)
			s.endpoint("e3", "pool", configuration.RoleDecode, c.second)
			s.setBuilds(map[string]string{"e1": "v1", "e3": "v1", "p1": "v1", "p2": "v1", "e2": "v1"})
			caller := s.serve(check, c.work)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, strings.ReplaceAll(caller.body, ": alive\n\n", ""), c.body)
		})
	}
}

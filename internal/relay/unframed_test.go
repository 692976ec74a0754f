package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// unframedEnd is how an engine ends an answer that has neither a length nor chunks.
type unframedEnd int

const (
	closed unframedEnd = iota
	// resetAfterDelivery is a reset once the caller has got the events before it.
	resetAfterDelivery
	// resetAtOnce is a reset that may overtake a part of the answer.
	resetAtOnce
)

// unframed returns a handler that writes an answer which ends with its connection.
func (s *fixture) unframed(body string, end unframedEnd) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			s.t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", idHeader, r.Header.Get(idHeader))
		_, _ = io.WriteString(conn, body)
		if end == resetAfterDelivery {
			for !strings.Contains(s.reserver.kinds(), "first-token") {
				time.Sleep(time.Millisecond)
			}
		}
		if end != closed {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// An answer without a length that is reset on the way would look complete.
func TestPlainAnswerWithoutLengthIsCompleteOnlyIfItsConnectionIsClosed(t *testing.T) {
	whole := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name    string
		end     unframedEnd
		route   routing.Route
		outcome string
		calls   int
	}{
		{"closed, single run", closed, booking, "answer", 1},
		{"closed, repeatable", closed, lookup, "answer", 1},
		{"reset, single run", resetAtOnce, booking, "failed: no endpoint answered", 1},
		{"reset, repeatable", resetAtOnce, lookup, "failed: no endpoint answered", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t)
			s.endpoint("d1", "desk", "", s.unframed(whole, c.end))
			s.endpoint("d2", "desk", "", s.unframed(whole, c.end))
			caller := s.serve(c.route, nil)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, s.callCount(), c.calls)
			if c.outcome == "answer" {
				assert.Assert(t, caller.body == whole, "%d bytes", len(caller.body))
			}
		})
	}
}

// A stream without a length or chunks that breaks off within an event or by a reset would
// look complete, or would be lost although another engine can continue it.
func TestStreamWithoutFramingIsCompleteOnlyIfItEndsAfterAnEvent(t *testing.T) {
	within := eventText(2) + "id: 3\ndata"
	for _, c := range []struct {
		name, body string
		end        unframedEnd
		complete   bool
	}{
		{"closed after an event", eventText(3), closed, true},
		{"closed within an event", within, closed, false},
		{"closed after a line of an event", eventText(2) + "id: 3\ndata: t\n", closed, false},
		{"reset after an event", eventText(2), resetAfterDelivery, false},
		{"reset within an event", within, resetAfterDelivery, false},
		{"reset at once", eventText(2), resetAtOnce, false},
		{"closed before an event", "", closed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, route := range []routing.Route{check, dossier} {
				s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
				s.engines(answers(http.StatusOK, "h1"), s.unframed(c.body, c.end))
				caller := s.serve(route, work)
				switch {
				case c.complete || route.Resumable:
					assert.Equal(t, caller.outcome, "stream")
					assert.Equal(t, caller.body, eventText(3))
				case caller.body != "":
					assert.Equal(t, caller.outcome, "aborted")
					assert.Assert(t, strings.HasPrefix(eventText(2), caller.body), caller.body)
				default:
					assert.Equal(t, caller.outcome, "failed: no endpoint answered")
				}
			}
		})
	}
}

// A killed process ends its connections like one that has written its whole answer. Guards against a stream that looks
// complete although its engine was killed, also while it left, and against one that is given up because its engine, which
// has left, accepts no more connections.
func TestStreamWithoutFramingIsNotCompleteIfItsEngineHasEnded(t *testing.T) {
	shortest := *work
	shortest.MaxOutputTokens = 2
	for _, c := range []struct {
		name          string
		route         routing.Route
		work          *Generation
		leaving, left bool
		outcome, body string
	}{
		{"resumable", check, work, false, false, "stream", eventText(3)},
		{"single run", dossier, work, false, false, "aborted", eventText(2)},
		{"killed while it leaves, resumable", check, work, true, false, "stream", eventText(3)},
		{"killed while it leaves, single run", dossier, work, true, false, "aborted", eventText(2)},
		{"killed while it leaves, nothing can follow", dossier, &shortest, true, false, "stream", eventText(2)},
		{"has left", check, work, true, true, "stream", eventText(2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("e1", "e1"), grant("e2", "e2"))
			ended := newEndingServer(t, func(w http.ResponseWriter, r *http.Request) {
				if c.leaving {
					s.endpoints.MarkLeaving("e1")
				}
				s.unframed(eventText(2), closed)(w, r)
			})
			s.add("e1", "pool", configuration.RoleDecode, ended)
			s.endpoint("e2", "pool", configuration.RoleDecode, events(3))
			if c.left {
				// No registrations are read after the end until that of the engine is gone.
				s.endpointsAge = time.Hour
				go func() {
					for !strings.Contains(s.reserver.kinds(), "first-token") {
						time.Sleep(time.Millisecond)
					}
					s.fleet.SetInstances(s.instances[1:])
				}()
			}
			caller := s.serve(c.route, c.work)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, caller.body, c.body)
		})
	}
}

// newEndingServer starts a server that accepts no further connection once it got a request, and returns its address.
func newEndingServer(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = server.Listener.Close()
		serve(w, r)
	})
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// rawFraming writes the head and the body of an answer. Whole is set if the body's end differs from a
// truncation or the connection is closed after the whole body.
type rawFraming struct {
	name  string
	whole bool
	write func(status int, header, body string) string
}

var rawFramings = []rawFraming{
	{"length", true, func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}},
	{"chunks", true, func(status int, header, body string) string {
		return rawChunks(status, header, body) + "0\r\n\r\n"
	}},
	{"none", true, func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n%s", status, header, body)
	}},
	{"HTTP/1.0", true, func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.0 %d X\r\n%s\r\n%s", status, header, body)
	}},
	{"cut length", false, func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body)+1, body)
	}},
	{"cut chunks", false, rawChunks},
}

// rawChunks writes an answer in chunks without the last one.
func rawChunks(status int, header, body string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n", status, header)
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return text
}

// rawBody is a body after a number of events, of which the first ones continue the stream. Whole is set if nothing
// but such events is in it.
type rawBody struct {
	name   string
	text   func(after int) string
	events int
	whole  bool
}

var rawBodies = []rawBody{
	{"empty", func(int) string { return "" }, 0, false},
	{"next event", func(after int) string { return numbered(after + 1) }, 1, true},
	{"next events", func(after int) string { return numbered(after+1) + numbered(after+2) }, 2, true},
	{"repeats", numbered, 0, false},
	{"next and skips", func(after int) string { return numbered(after+1) + numbered(after+3) }, 1, false},
	{"text", func(int) string { return "upstream failed" }, 0, false},
	{"text and empty line", func(int) string { return "upstream failed\n\n" }, 0, false},
	{"next and text", func(after int) string { return numbered(after+1) + "upstream failed\n\n" }, 1, false},
	{"next and head", func(after int) string { return numbered(after+1) + "HTTP/1.1 503 X\r\n\r\n" }, 1, false},
	{"next and a part", func(after int) string { return numbered(after+1) + "id: 4\nda" }, 1, false},
}

func numbered(n int) string { return fmt.Sprintf("id: %d\ndata: t\n\n", n) }

// Guards against any answer that reaches the caller as a part or the end of a stream although it is not the engine's
// stream, does not continue the caller's, or breaks off. The answer is that of the first engine, on a route that may
// not be resumed, or of the second one.
func TestAnswersOfAllKindsAreForwardedOnlyIfTheyContinueTheStream(t *testing.T) {
	var raw atomic.Pointer[string]
	var resumable atomic.Bool
	s := newFixture(t, func(d scheduling.Demand) (scheduling.Grant, error) {
		engine := "raw"
		if !d.Resumed && resumable.Load() {
			engine = "first"
		}
		return scheduling.Grant{ID: d.ID, Prefill: engine, Decode: engine}, nil
	})
	s.endpoint("first", "pool", configuration.RoleDecode, cutAfter(2))
	s.endpoint("raw", "pool", configuration.RoleDecode, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = conn.Write([]byte(strings.ReplaceAll(*raw.Load(), "ID", r.Header.Get(idHeader))))
		_ = conn.Close()
	})
	for _, status := range []int{200, 201, 204, 206, 301, 404, 429, 500, 503} {
		for _, mark := range []string{"", notEventsHeader, unsignedHeader} {
			// The connection is closed after each answer; a later request must not be sent on it.
			header := idHeader + ": ID\r\nConnection: close\r\n"
			if mark != "" {
				header += mark + ": 1\r\n"
			}
			for _, framing := range rawFramings {
				for _, body := range rawBodies {
					for _, route := range []routing.Route{check, dossier} {
						after := 0
						if route.Resumable {
							after = 2
						}
						text := framing.write(status, header, body.text(after))
						raw.Store(&text)
						resumable.Store(route.Resumable)
						s.relay.options.Budget = &budget{left: 1}
						caller := s.serve(route, work)
						isStream := status == http.StatusOK && mark == ""
						checkRawAnswer(t, caller, after, isStream, isStream && framing.whole && body.whole, body.events,
							fmt.Sprint(status, " ", mark, " ", framing.name, ", ", body.name, ", ", route.Name))
					}
				}
			}
		}
	}
}

// checkRawAnswer checks what the caller got of an answer after a number of events.
func checkRawAnswer(t *testing.T, caller *recorder, after int, isStream, whole bool, events int, name string) {
	t.Helper()
	if !isStream {
		events = 0
	}
	switch {
	case whole:
		assert.Check(t, caller.outcome == "stream", "%s: %s", name, caller.outcome)
	case after+events > 0:
		assert.Check(t, caller.outcome == "aborted", "%s: %s", name, caller.outcome)
	default:
		// An engine's error is passed on as its answer.
		ended := caller.outcome == "answer" && caller.status >= http.StatusMultipleChoices || strings.HasPrefix(caller.outcome, "failed")
		assert.Check(t, ended, "%s: %s", name, caller.outcome)
		return
	}
	assert.Check(t, caller.body == eventText(after+events), "%s: %q", name, caller.body)
}

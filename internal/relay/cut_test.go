package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// rawAnswer is an answer as an endpoint writes it: the header names the request.
type rawAnswer struct{ name, head, body string }

func rawAnswers(status string) []rawAnswer {
	start := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + "\r\n" + idHeader + ": r1\r\n"
	event := eventText(1)
	return []rawAnswer{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n", start, len(event)), event},
		{"chunks", start + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event)},
		{"neither", start + "\r\n", event},
	}
}

// An endpoint that stopped in the middle of its answer was taken for one that had answered, or its status for
// a statement. Each kind of call is broken off at every byte.
func TestAnswerThatBreaksOffIsNeitherDeliveredNorAPromise(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Full\r\n" + declinedHeader + ": 1", "503 Failed", "421 Other\r\n" + declinedHeader + ": 1", "500 Failed"} {
		declines, success := strings.Contains(status, declinedHeader), strings.HasPrefix(status, "200")
		for _, a := range rawAnswers(status) {
			for _, kind := range []string{"plain", "prefill", "decode"} {
				t.Run(fmt.Sprintf("%.3s/%t/%s/%s", status, declines, a.name, kind), func(t *testing.T) {
					t.Parallel()
					var text atomic.Value
					broken := serveHandler(t, func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := http.NewResponseController(w).Hijack()
						if err == nil {
							_, _ = io.WriteString(conn, text.Load().(string))
							_ = conn.Close()
						}
					})
					sound := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set(idHeader, r.Header.Get(idHeader))
						_, _ = io.WriteString(w, "h")
					})
					route, generation := booking, (*Generation)(nil)
					if kind != "plain" {
						route, generation = dossier, work
					}
					prefill := broken
					if kind == "decode" {
						prefill = sound
					}
					whole := a.head + a.body
					for cut := range len(whole) {
						s := newFixture(t, grant("p1", "e1"), refuseTarget)
						s.add("d1", "desk", "", broken)
						s.add("p1", "pool", configuration.RolePrefill, prefill)
						s.add("e1", "pool", configuration.RoleDecode, broken)
						text.Store(whole[:cut])
						caller := s.serve(route, generation)
						stated := declines && cut >= len(a.head)
						got := fmt.Sprintf("%q: %s %d %q", whole[:cut], caller.outcome, caller.status, caller.body)
						switch {
						case a.name == "neither" && cut > len(a.head) && !stated:
							// The end of the connection ends such an answer.
							assert.Assert(t, !strings.HasPrefix(caller.outcome, "refused") || kind == "prefill", got)
						case kind == "prefill" || stated:
							assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), got)
						case kind == "decode" && success && caller.body != "":
							assert.Equal(t, caller.outcome, "aborted", got)
						default:
							assert.Equal(t, caller.outcome, lost, got)
						}
					}
				})
			}
		}
	}
}

// serveHandler serves HTTP on loopback and returns the address.
func serveHandler(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

package relay

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// Guards against a malformed answer that counts as an endpoint's statement that it did not run the request, or that is not
// counted as a failure of the endpoint.
func TestMalformedAnswerIsAFailureOfItsEndpointAndNoRefusal(t *testing.T) {
	const header = idHeader + ": ID\r\n" + declinedHeader + ": 1\r\n"
	malformed := rawconn.MalformedStatusLines(header, eventText(1))
	maps.Copy(malformed, rawconn.MalformedHeaderLines(header, eventText(1)))
	for name, text := range malformed {
		address, stop, err := rawconn.Serve(t.Context(), func(_ int, requests *bufio.Reader, conn net.Conn) {
			if request, err := http.ReadRequest(requests); err == nil {
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get(idHeader)))
			}
		})
		assert.NilError(t, err)
		// The relays end first, since they keep connections to the endpoint.
		t.Cleanup(stop)
		for _, c := range []struct {
			route      routing.Route
			generation *Generation
		}{{booking, nil}, {check, work}} {
			s := newFixture(t, grant("sound", "raw"))
			if c.generation == nil {
				s.add("raw", "desk", "", address)
			} else {
				s.endpoint("sound", "pool", configuration.RolePrefill, answers(http.StatusOK, "h"))
				s.add("raw", "pool", configuration.RoleDecode, address)
			}
			caller := s.serve(c.route, c.generation)
			assert.Check(t, strings.HasPrefix(caller.outcome, "failed"), "%s: %s %q", name, caller.outcome, caller.body)
			assert.Check(t, s.endpoints.Stats("raw").FailureRate > 0, "%s: %s", name, caller.outcome)
		}
	}
}

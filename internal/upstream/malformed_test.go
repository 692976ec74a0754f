package upstream

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// checkNoResponses checks that none of the answers counts as one.
func checkNoResponses(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, text := range answers {
		head, body, err := receive(t, http.MethodPost, text)
		assert.Check(t, head != nil, "%s: body %q, error %v", name, body, err)
	}
}

// Guards against an answer whose status is not valid in HTTP/1: 000 was skipped like that of an interim answer, so that what
// followed counted as the answer, and 600 or more were passed on.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	checkNoResponses(t, rawconn.MalformedStatusLines("X-Kept: 1\r\n", "whole"))
}

// Guards against an answer with a malformed header line: a name with a space was accepted, and a line that begins with one
// was appended to the line before it, so that a length or chunks in such a line did not frame the body.
func TestMalformedHeaderLineIsNoResponse(t *testing.T) {
	checkNoResponses(t, rawconn.MalformedHeaderLines("X-Kept: 1\r\n", "whole"))
}

// Guards against what follows a malformed answer on its connection, at once or after the next request, and counts as the
// answer to that request.
func TestConnectionOfAMalformedAnswerIsNotUsedAgain(t *testing.T) {
	const following = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	answers := rawconn.MalformedStatusLines("X-Kept: 1\r\n", "whole")
	maps.Copy(answers, rawconn.MalformedHeaderLines("X-Kept: 1\r\n", "whole"))
	for _, line := range malformedTrailers {
		trailer := beforeTrailer + line + "\r\n\r\n"
		answers[fmt.Sprintf("trailer %q", line)] = trailer
		answers[fmt.Sprintf("trailer %q, then an answer", line)] = trailer + following
	}
	for name, text := range answers {
		address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
			for answer := text; readRequest(requests); answer = following {
				writeReply(conn, answer)
			}
		}, always(okAnswer))
		client := newTestClient(t)
		got, err := get(t.Context(), client, address)
		assert.Check(t, err != nil, "%s: %q", name, got)
		got, err = get(t.Context(), client, address)
		assert.NilError(t, err, name)
		assert.Equal(t, got, "ok", name)
		assert.Equal(t, client.Counters.Reused.Load(), int64(0), name)
		client.Close()
	}
}

// beforeTrailer is an answer up to its trailer.
const beforeTrailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"

// malformedTrailers are trailer lines that HTTP/1.1 does not permit.
var malformedTrailers = []string{"X Field: 1", "X-Field : 1", "X-\x01Field: 1", "X\tField: 1", " X-Field: 1", "X-Field", "X-Field: a\x00"}

// Guards against a malformed trailer at the end of an answer that counts as complete.
func TestMalformedTrailerEndsNoResponse(t *testing.T) {
	for _, line := range malformedTrailers {
		head, body, err := receive(t, http.MethodPost, beforeTrailer+line+"\r\n\r\n")
		assert.NilError(t, head)
		assert.Check(t, err != nil, "%q: body %q", line, body)
	}
	_, body, err := receive(t, http.MethodPost, beforeTrailer+"X-Field: 1\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}

// Guards against the refusal of answers that are unusual and valid.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 599 Own\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 200 OK\r\n\r\nwhole",
		"HTTP/1.1 200 G\xc3\xbct\r\nX-Field:1\t2 \xc3\xa9 \r\nContent-Length:5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\nX!#$%&'*+-.^_`|~1: \ncontent-LENGTH: 5\n\nwhole",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length: \t 5 \t\r\nX-Field:\t \t1 \t \r\nX-Empty:   \r\n\r\nwhole",
		// Lines of the body begin with spaces.
		"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n \r\n whole\r\n\t \r",
	} {
		head, body, err := receive(t, http.MethodPost, text)
		assert.NilError(t, head, "%q", text)
		assert.NilError(t, err, "%q", text)
		assert.Check(t, body == "whole" || len(body) == 14, "%q: %q", text, body)
	}
}

// Guards against a malformed answer to a request that was given up and counts as one.
func TestMalformedLateHeadIsNoResponse(t *testing.T) {
	answers := rawconn.MalformedStatusLines("X-Kept: 1\r\n", "whole")
	maps.Copy(answers, rawconn.MalformedHeaderLines("X-Kept: 1\r\n", "whole"))
	for name, text := range answers {
		ctx, cancel := context.WithCancel(t.Context())
		address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
			readRequest(requests)
			cancel()
			// The client ends its side once it has given up.
			_, _ = requests.ReadByte()
			writeReply(conn, text)
		})
		client := NewClient(Options{DialTimeout: time.Minute, UnackedTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 4})
		var late atomic.Int64
		_, err := client.Do(ctx, address, &Request{
			Method: http.MethodPost, Target: "/", Header: http.Header{}, Late: func(*Response) { late.Add(1) },
		})
		assert.Assert(t, errorx.IsOfType(err, GivenUp), "%s: %v", name, err)
		client.Close()
		assert.Check(t, late.Load() == 0, name)
	}
}

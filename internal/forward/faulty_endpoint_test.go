package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// anyEndpoint picks the first endpoint whatever is known of it.
type anyEndpoint struct{}

func (anyEndpoint) PickLeastLoaded(candidates []*configuration.Endpoint, _ string, exclude []string) *configuration.Endpoint {
	if len(exclude) > 0 {
		return nil
	}
	return candidates[0]
}
func (anyEndpoint) Begin(string) func()                           { return func() {} }
func (anyEndpoint) MarkLeaving(string)                            {}
func (anyEndpoint) Observe(string, []string, bool, time.Duration) {}

// newRawForwarder returns a forwarder to an endpoint that answers each request of a connection with
// what reply returns; earlier is what it wrote last on the connection.
func newRawForwarder(t *testing.T, reply func(id, earlier string) (text string, closing bool)) *Forwarder {
	t.Helper()
	address, stop, err := rawconn.Serve(t.Context(), func(_ int, requests *bufio.Reader, conn net.Conn) {
		earlier, closing := "", false
		for !closing {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			earlier, closing = reply(request.Header.Get(requestIDHeader), earlier)
			_, _ = io.WriteString(conn, earlier)
		}
	})
	assert.NilError(t, err)
	t.Cleanup(stop)
	f := newForwarder(t, address)
	f.endpoints = anyEndpoint{}
	return f
}

// replyTo returns a reply whose body is the ID of its request, by which it is also named if set.
func replyTo(id string, status int, named bool, framing string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if named {
		head += requestIDHeader + ": " + id + "\r\n"
	}
	if status == http.StatusServiceUnavailable {
		head += leavingHeader + ": true\r\n"
	}
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
	case "chunks":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
	default:
		return head + "\r\n" + id
	}
}

// An endpoint wrote the reply to one call once more on the kept connection, where it was taken for
// that to the next call: of another caller, and as a promise that a call had not run which had.
func TestReplyWrittenAgainIsNotThatToTheNextCall(t *testing.T) {
	for _, repeat := range []configuration.RepeatRule{configuration.Repeatable, configuration.NeverRepeat} {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			for _, named := range []bool{true, false} {
				for _, second := range []string{"vm.1.1", "vm.1.2"} {
					t.Run(fmt.Sprintf("%s %d, named %t, then %s", repeat, status, named, second), func(t *testing.T) {
						var received atomic.Int64
						f := newRawForwarder(t, func(id, earlier string) (string, bool) {
							if received.Add(1) == 1 {
								return replyTo(id, status, named, "length"), false
							}
							return earlier + replyTo(id, http.StatusOK, named, "length"), false
						})
						_, _ = f.Do(t.Context(), callOf(repeat))
						call := callOf(repeat)
						call.RequestID = second
						reply, err := f.Do(t.Context(), call)
						assert.Equal(t, received.Load(), int64(2))
						assert.Assert(t, !errorx.HasTrait(err, NotRun), "the call ran: %v", err)
						if err == nil {
							assert.Equal(t, reply.Status, http.StatusOK)
							assert.Equal(t, string(reply.Body), second)
						}
					})
				}
			}
		}
	}
}

// A service that makes IDs of its own is served, but on connections on which no earlier reply can be taken for
// that of a later call.
func TestRepliesWithIDsOfTheServiceShareNoConnection(t *testing.T) {
	for _, repeat := range []configuration.RepeatRule{configuration.Repeatable, configuration.NeverRepeat} {
		f := newRawForwarder(t, func(string, string) (string, bool) { return replyTo("own-7", http.StatusOK, true, "length"), false })
		for range 3 {
			_, err := f.Do(t.Context(), callOf(repeat))
			assert.NilError(t, err)
		}
		assert.Equal(t, f.Upstream.Counters.Dialed.Load(), int64(3))
	}
}

// An endpoint that stops within its reply must not be taken to have replied or refused.
func TestReplyCutAtAnyByteIsNone(t *testing.T) {
	for _, repeat := range []configuration.RepeatRule{configuration.Repeatable, configuration.NeverRepeat} {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			for _, framing := range []string{"length", "chunks", "close"} {
				t.Run(fmt.Sprintf("%s %d by %s", repeat, status, framing), func(t *testing.T) {
					whole := replyTo("vm.1.1", status, true, framing)
					var cut atomic.Int64
					f := newRawForwarder(t, func(string, string) (string, bool) { return whole[:cut.Load()], true })
					for ; int(cut.Load()) < len(whole); cut.Add(1) {
						reply, err := f.Do(t.Context(), callOf(repeat))
						assert.Assert(t, err != nil, "cut at byte %d of %d: %+v", cut.Load(), len(whole), reply)
						assert.Assert(t, !errorx.HasTrait(err, NotRun), "cut at byte %d of %d: %v", cut.Load(), len(whole), err)
						if status == http.StatusServiceUnavailable {
							assert.Assert(t, errorx.IsOfType(err, InDoubt), "cut at byte %d of %d: %v", cut.Load(), len(whole), err)
						}
					}
				})
			}
		}
	}
}

// A target that a caller wrote must not end the request line early.
func TestTargetThatIsNoPathIsNotSent(t *testing.T) {
	f := newRawForwarder(t, func(string, string) (string, bool) {
		t.Error("the call was sent")
		return "", true
	})
	for _, path := range []string{"/book?a b", "/book?x HTTP/1.1\r\nHost: y", "/%zz", "/" + strings.Repeat("\x00", 2)} {
		call := callOf(configuration.Repeatable)
		call.Path = path
		_, err := f.Do(t.Context(), call)
		assert.Assert(t, errorx.IsOfType(err, BadRequest), "%q: %v", path, err)
	}
}

// An endpoint that replies before it has read a long call and resets the connection has not replied in full.
func TestEarlyReplyThatIsResetIsNone(t *testing.T) {
	for _, repeat := range []configuration.RepeatRule{configuration.Repeatable, configuration.NeverRepeat} {
		for _, framing := range []string{"length", "chunks", "close"} {
			for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
				for ending, end := range rawconn.EarlyEndings {
					address, stop, err := rawconn.Serve(t.Context(), func(_ int, requests *bufio.Reader, conn net.Conn) {
						request, err := http.ReadRequest(requests)
						if err != nil {
							return
						}
						whole := replyTo(request.Header.Get(requestIDHeader), status, true, framing)
						_, _ = io.WriteString(conn, whole[:len(whole)-1])
						end(conn.(*net.TCPConn))
					})
					assert.NilError(t, err)
					t.Cleanup(stop)
					f := newForwarder(t, address)
					f.endpoints = anyEndpoint{}
					call := callOf(repeat)
					call.Body = make([]byte, 4<<20)
					reply, err := f.Do(t.Context(), call)
					play := fmt.Sprintf("%s by %s, status %d, %s", repeat, framing, status, ending)
					assert.Check(t, err != nil, "%s: %+v", play, reply)
					assert.Check(t, !errorx.HasTrait(err, NotRun), "%s: %v", play, err)
				}
			}
		}
	}
}

// Guards against a reply or a refusal that is not valid in HTTP/1 and counts.
func TestMalformedReplyIsNone(t *testing.T) {
	for _, repeat := range []configuration.RepeatRule{configuration.Repeatable, configuration.NeverRepeat} {
		for name, text := range malformedReplies() {
			f := newRawForwarder(t, func(id, _ string) (string, bool) { return strings.ReplaceAll(text, "ID", id), true })
			reply, err := f.Do(t.Context(), callOf(repeat))
			assert.Check(t, err != nil, "%s, %s: %+v", repeat, name, reply)
			assert.Check(t, err == nil || errorx.IsOfType(err, InDoubt), "%s, %s: %v", repeat, name, err)
		}
	}
}

// malformedReplies returns replies, of which some refuse the call.
func malformedReplies() map[string]string {
	all := make(map[string]string)
	for _, header := range []string{requestIDHeader + ": ID\r\n", requestIDHeader + ": ID\r\n" + leavingHeader + ": true\r\n"} {
		for name, text := range rawconn.MalformedStatusLines(header, "reply") {
			all[header+name] = text
		}
		for name, text := range rawconn.MalformedHeaderLines(header, "reply") {
			all[header+name] = text
		}
	}
	return all
}

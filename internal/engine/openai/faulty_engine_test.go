package openai

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// serveRaw serves connections concurrently and returns the address.
func serveRaw(t *testing.T, handle rawconn.Handler) string {
	t.Helper()
	address, stop, err := rawconn.Serve(t.Context(), handle)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return address
}

// readRequest reads a whole request and returns nil at the end of the connection.
func readRequest(requests *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	return request
}

// engineCall is one kind of call with the body of its whole answer.
type engineCall struct {
	name, answer string
	do           func(ctx context.Context, client *Client) error
}

// engineCalls returns all kinds of calls; those of attempts have the given number.
func engineCalls(number uint32) []engineCall {
	id := attempt
	id.Attempt = number
	call := engine.Call{Attempt: id, Prompt: &engine.Prompt{Text: "x"}}
	return []engineCall{
		{"prefill", `{"id":"` + id.String() + `","kv_transfer_params":{"remote_port":1}}`, func(ctx context.Context, client *Client) error {
			_, err := client.Prefill(ctx, call)
			return err
		}},
		{"decode", strings.ReplaceAll(wholeStream, attempt.String(), id.String()), func(ctx context.Context, client *Client) error {
			stream, err := client.Decode(ctx, engine.DecodeCall{Call: call, MaxTokens: 2})
			if err != nil {
				return err
			}
			return readToEnd(stream)
		}},
		{"cancel", `{"id":"` + id.String() + `","state":"cancelled","held_pieces":0}`, func(ctx context.Context, client *Client) error {
			_, err := client.Cancel(ctx, id)
			return err
		}},
		{"cancel of an incarnation", `{"cancelled":1,"held_pieces":0}`, func(ctx context.Context, client *Client) error {
			_, err := client.CancelIncarnation(ctx, "vm-1", 7)
			return err
		}},
		{"load", `{"slots":4,"active":1}`, func(ctx context.Context, client *Client) error {
			_, err := client.Load(ctx)
			return err
		}},
		{"state", `{"role":"decode","model":"drafter","version":"1","adapters":[],"fencing":1}`, func(ctx context.Context, client *Client) error {
			_, err := client.State(ctx)
			return err
		}},
		{"order", `{"state":"accepted"}`, func(ctx context.Context, client *Client) error {
			_, err := client.Order(ctx, engine.Order{Fencing: 1, ID: "1"})
			return err
		}},
		{"cache events", `{"next":0,"events":[]}`, func(ctx context.Context, client *Client) error {
			_, err := client.CacheEvents(ctx, 0)
			return err
		}},
	}
}

// readToEnd reads a stream to its end and closes it. It returns nil if the stream was complete.
func readToEnd(stream engine.Stream) error {
	defer func() { _ = stream.Close() }()
	var err error
	for err == nil {
		_, err = stream.Next()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// The ways to frame a body.
const (
	byLength = "length"
	byChunks = "chunks"
	byClose  = "close"
)

// message returns a whole answer that names the request, unless the id is empty.
func message(status int, id, framing, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if id != "" {
		head += requestIDHeader + ": " + id + "\r\n"
	}
	if status == http.StatusServiceUnavailable {
		head += leavingHeader + ": true\r\n"
	}
	switch framing {
	case byLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case byChunks:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		return head + "\r\n" + body
	}
}

// refusals are the statuses with which engines refuse calls.
var refusals = []int{http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// An engine refused one call and wrote the refusal once more on the kept connection, where it was
// taken for the refusal of the next call, which ran. Refusals stated to callers that nothing had run, and
// orders and cancels counted as refused or answered.
func TestRefusalWrittenAgainIsNotThatOfTheNextCall(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, second := range []uint32{1, 2} {
			for i, first := range engineCalls(1) {
				for _, next := range engineCalls(second) {
					t.Run(fmt.Sprintf("%s then %s of attempt %d, named %t", first.name, next.name, second, named), func(t *testing.T) {
						refusal := ""
						address := serveRaw(t, func(number int, requests *bufio.Reader, conn net.Conn) {
							for handled := 0; ; handled++ {
								request := readRequest(requests)
								if request == nil {
									return
								}
								id := ""
								if named {
									id = request.Header.Get(requestIDHeader)
								}
								if number+handled == 0 {
									refusal = message(refusals[i%len(refusals)], id, byLength, `{"error":"refused"}`)
									_, _ = io.WriteString(conn, refusal)
									continue
								}
								answer := message(http.StatusOK, id, byLength, next.answer)
								if number == 0 {
									answer = refusal + answer
								}
								_, _ = io.WriteString(conn, answer)
							}
						})
						client := newClient(t, address)
						assert.Assert(t, first.do(t.Context(), client) != nil)
						err := next.do(t.Context(), client)
						assert.Assert(t, err == nil || errorx.IsOfType(err, engine.Crossed), "the call ran: %v", err)
						assert.Assert(t, !errorx.HasTrait(err, engine.NotRun), "the call ran: %v", err)
					})
				}
			}
		}
	}
}

// A refusal that does not name the attempt may be meant for another one.
func TestRefusalThatNamesNoOrAnotherAttemptIsNoPromise(t *testing.T) {
	for _, call := range engineCalls(1)[:2] {
		for _, id := range []string{"", "vm-1.7.3.2"} {
			for _, status := range refusals {
				address := serveRaw(t, func(_ int, requests *bufio.Reader, conn net.Conn) {
					if readRequest(requests) != nil {
						_, _ = io.WriteString(conn, message(status, id, byLength, "{}"))
					}
				})
				err := call.do(t.Context(), newClient(t, address))
				assert.Assert(t, err != nil && !errorx.HasTrait(err, engine.NotRun), "%s, %d of %q: %v", call.name, status, id, err)
			}
		}
	}
}

// An engine that answers before it has read a long prompt and resets the connection has not answered in full.
func TestEarlyAnswerThatIsResetIsNone(t *testing.T) {
	id := attempt
	id.Attempt = 1
	long := engine.Call{Attempt: id, Prompt: &engine.Prompt{Text: strings.Repeat("x", 4<<20)}}
	calls := engineCalls(1)[:2]
	calls[0].do = func(ctx context.Context, client *Client) error {
		_, err := client.Prefill(ctx, long)
		return err
	}
	calls[1].do = func(ctx context.Context, client *Client) error {
		stream, err := client.Decode(ctx, engine.DecodeCall{Call: long, MaxTokens: 2})
		if err != nil {
			return err
		}
		return readToEnd(stream)
	}
	calls[1].answer = strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(calls[1].answer), "data: [DONE]"))
	for _, call := range calls {
		for _, framing := range []string{byLength, byChunks, byClose} {
			for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
				for _, cut := range []int{1, len(call.answer) / 2, len(call.answer) - 1} {
					for ending, end := range rawconn.EarlyEndings {
						address := serveRaw(t, func(_ int, requests *bufio.Reader, conn net.Conn) {
							request, err := http.ReadRequest(requests)
							if err != nil {
								return
							}
							whole := message(status, request.Header.Get(requestIDHeader), framing, call.answer)
							_, _ = io.WriteString(conn, whole[:strings.Index(whole, call.answer)+cut])
							end(conn.(*net.TCPConn))
						})
						err := call.do(t.Context(), newClient(t, address))
						play := fmt.Sprintf("%s by %s, status %d, %d bytes, %s", call.name, framing, status, cut, ending)
						assert.Check(t, err != nil && !errorx.HasTrait(err, engine.NotRun), "%s: %v", play, err)
					}
				}
			}
		}
	}
}

// Guards against an answer to a call of any kind that is not valid in HTTP/1 and counts.
func TestMalformedAnswerIsNone(t *testing.T) {
	for _, call := range engineCalls(1) {
		for name, text := range malformedAnswers(requestIDHeader+": ID\r\n", call.answer) {
			address := serveRaw(t, func(_ int, requests *bufio.Reader, conn net.Conn) {
				if request := readRequest(requests); request != nil {
					_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get(requestIDHeader)))
				}
			})
			err := call.do(t.Context(), newClient(t, address))
			assert.Check(t, errorx.IsOfType(err, engine.Unavailable), "%s, %s: %v", call.name, name, err)
		}
	}
}

func malformedAnswers(header, body string) map[string]string {
	all := rawconn.MalformedStatusLines(header, body)
	maps.Copy(all, rawconn.MalformedHeaderLines(header, body))
	return all
}

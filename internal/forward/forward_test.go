package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type staticConfiguration struct{ snapshot *configuration.Snapshot }

func (f staticConfiguration) Snapshot() *configuration.Snapshot { return f.snapshot }

// newForwarder returns a forwarder to the given addresses of one service.
func newForwarder(t testing.TB, addresses ...string) *Forwarder {
	t.Helper()
	bundle := configuration.Bundle{Format: configuration.Format}
	bundle.Fleet.Zones = []configuration.Zone{{Name: "z"}}
	bundle.Fleet.Times = configuration.Times{
		DrainLimit:   configuration.Duration(time.Minute),
		LogRetention: configuration.Duration(time.Hour),
		KeyWindow:    configuration.Duration(time.Minute),
	}
	for i, address := range addresses {
		bundle.Fleet.Endpoints = append(bundle.Fleet.Endpoints, configuration.Endpoint{
			Name: string(rune('a' + i)), Zone: "z", Address: address,
			Kind: configuration.KindPlain, Service: "desk",
		})
	}
	snapshot, err := configuration.NewSnapshot(bundle)
	assert.NilError(t, err)
	f := New("z", endpoint.NewRegistry(timeline.Discard), staticConfiguration{snapshot}, timeline.Discard)
	t.Cleanup(f.Close)
	return f
}

func callOf(repeat configuration.RepeatRule) *Call {
	return &Call{
		RequestID: "vm.1.1",
		Class:     &configuration.Class{Service: "desk", Method: http.MethodPost, Path: "/book", Repeat: repeat},
		Path:      "/book",
		Body:      []byte("{}"),
		Key:       "key",
	}
}

// serve starts a server on loopback and returns its address.
func serve(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// dropConnection reads the request and closes the connection without a reply.
func dropConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

func TestLostReplyIsNotSentAgain(t *testing.T) {
	// Both endpoints get calls first, so that idle connections could be reused.
	const warmUp = 16
	var executions atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if executions.Add(1) <= warmUp {
			_, _ = w.Write([]byte("ok"))
			return
		}
		dropConnection(w, r)
	}
	f := newForwarder(t, serve(t, handler), serve(t, handler))
	for range warmUp {
		_, err := f.Do(context.Background(), callOf(configuration.NeverRepeat))
		assert.NilError(t, err)
	}
	_, err := f.Do(context.Background(), callOf(configuration.NeverRepeat))
	assert.Assert(t, errorx.IsOfType(err, InDoubt), "%v", err)
	assert.Equal(t, executions.Load(), int64(warmUp+1))
}

func TestUnreachableEndpointIsRetriedElsewhereEvenForSingleSends(t *testing.T) {
	var executions atomic.Int64
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		executions.Add(1)
		_, _ = w.Write([]byte("booked"))
	})
	f := newForwarder(t, closedAddress(t), address)
	for range 10 {
		reply, err := f.Do(context.Background(), callOf(configuration.NeverRepeat))
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "booked")
	}
	assert.Equal(t, executions.Load(), int64(10))
}

// Guards against a stream that begins anew because its endpoint does not get the last event that its caller names, also if
// the call is sent a second time.
func TestEndpointGetsTheLastEventOfItsCaller(t *testing.T) {
	bad := serve(t, dropConnection)
	good := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.Header.Values("Last-Event-Id"))
	})
	f := newForwarder(t, bad, good)
	for range 5 {
		call := callOf(configuration.Repeatable)
		call.Header = http.Header{"Last-Event-Id": {"2", "1"}}
		reply, err := f.Do(context.Background(), call)
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "[2 1]")
	}
}

func TestRepeatableCallIsRetriedElsewhere(t *testing.T) {
	good := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("balance")) })
	bad := serve(t, dropConnection)
	f := newForwarder(t, bad, good)
	for range 5 {
		reply, err := f.Do(context.Background(), callOf(configuration.Repeatable))
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "balance")
	}
}

func TestIncompleteReplyIsNotPassedOn(t *testing.T) {
	for name, head := range map[string]string{
		"shorter than its length":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"without a last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"ended by the close only":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
		"ended by the close in 1.0": "HTTP/1.0 200 OK\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(head))
				_ = conn.Close()
			})
			_, err := newForwarder(t, address).Do(context.Background(), callOf(configuration.NeverRepeat))
			assert.Assert(t, errorx.IsOfType(err, CutShort), "%v", err)
			assert.Assert(t, !errorx.HasTrait(err, NotRun))
		})
	}
}

func TestWithdrawnPermissionSendsNothing(t *testing.T) {
	var executions atomic.Int64
	address := serve(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) })
	call := callOf(configuration.NeverRepeat)
	call.MayExecute = func() bool { return false }
	_, err := newForwarder(t, address).Do(context.Background(), call)
	assert.Assert(t, errorx.HasTrait(err, NotRun), "%v", err)
	assert.Equal(t, executions.Load(), int64(0))
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	var seen http.Header
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Clone() })
	call := callOf(configuration.Repeatable)
	call.Header = http.Header{
		"Connection":    {"X-Hop"},
		"X-Hop":         {"1"},
		"X-End":         {"2"},
		"Authorization": {"Bearer secret"},
	}
	_, err := newForwarder(t, address).Do(context.Background(), call)
	assert.NilError(t, err)
	assert.Equal(t, seen.Get("X-Hop"), "")
	assert.Equal(t, seen.Get("X-End"), "2")
	assert.Equal(t, seen.Get("Authorization"), "", "the team's bearer key went to an endpoint")
}

// After a call that one endpoint may have run, another endpoint refused it or could not be reached.
// The answer to the caller stated that nothing had run.
func TestCallThatAnEndpointMayHaveRunStaysInDoubt(t *testing.T) {
	var executions atomic.Int64
	ran := func(w http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		dropConnection(w, r)
	}
	refusal := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(leavingHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, second := range map[string]string{"unreachable": closedAddress(t), "leaving": serve(t, refusal)} {
		t.Run(name, func(t *testing.T) {
			executions.Store(0)
			f := newForwarder(t, serve(t, ran), second)
			f.endpoints = inOrder{}
			_, err := f.Do(context.Background(), callOf(configuration.Repeatable))
			assert.Equal(t, executions.Load(), int64(1))
			assert.Assert(t, errorx.IsOfType(err, InDoubt), "%v", err)
		})
	}
}

// inOrder picks the endpoints in their order.
type inOrder struct{ anyEndpoint }

func (inOrder) PickLeastLoaded(candidates []*configuration.Endpoint, _ string, exclude []string) *configuration.Endpoint {
	if len(exclude) == len(candidates) {
		return nil
	}
	return candidates[len(exclude)]
}

// A service that answers with the router's own statement of an outcome, as another router does,
// states it of another call than that of the caller.
func TestOutcomeThatAServiceStatesIsNotPassedOn(t *testing.T) {
	f := newForwarder(t, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Ospreyshed-Outcome", "not-run")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	reply, err := f.Do(context.Background(), callOf(configuration.NeverRepeat))
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusTooManyRequests)
	assert.Equal(t, reply.Header.Get("Ospreyshed-Outcome"), "")
}

// BenchmarkRepeatableCall shows what a service that does not repeat the call's ID costs: a
// connection for each call.
func BenchmarkRepeatableCall(b *testing.B) {
	for _, named := range []bool{true, false} {
		b.Run(fmt.Sprintf("named=%t", named), func(b *testing.B) {
			f := newForwarder(b, serve(b, func(w http.ResponseWriter, r *http.Request) {
				if named {
					w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
				}
				_, _ = w.Write([]byte("balance"))
			}))
			call := callOf(configuration.Repeatable)
			number := 0
			for b.Loop() {
				number++
				call.RequestID = fmt.Sprint("vm.1.", number)
				_, err := f.Do(b.Context(), call)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(f.Upstream.Counters.Dialed.Load())/float64(number), "connections/call")
		})
	}
}

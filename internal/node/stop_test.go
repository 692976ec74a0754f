package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/feed"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/loopback"
	"github.com/ospreyshed/ospreyshed/internal/relay"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// plainDialect is a relay.Dialect with which every response is an answer.
type plainDialect struct{}

func (plainDialect) Header(*relay.Request, *relay.Call) http.Header { return http.Header{} }
func (plainDialect) LastEventID(http.Header) string                 { return "" }
func (plainDialect) Judge(*relay.Request, *relay.Call, *upstream.Response) relay.Verdict {
	return relay.Verdict{}
}
func (plainDialect) EventFields() []string { return nil }
func (plainDialect) DecodePrefill([]byte) (relay.PrefillResult, error) {
	return relay.PrefillResult{}, nil
}
func (plainDialect) Free(*relay.Source) *upstream.Request { return nil }

func (plainDialect) JudgeFree(*relay.Source, *upstream.Response) endpoint.Announcement {
	return endpoint.Announcement{}
}

// httpCaller is a relay.Caller on an HTTP response.
type httpCaller struct{ w http.ResponseWriter }

func (c httpCaller) Deliver(a *relay.Answer)         { c.w.WriteHeader(a.Status) }
func (c httpCaller) Begin(status int, _ http.Header) { c.w.WriteHeader(status) }
func (c httpCaller) Event(events []byte) error {
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}
func (httpCaller) Abort() { panic(http.ErrAbortHandler) }
func (c httpCaller) Refuse(r relay.Refusal) {
	c.w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(c.w, r.Reason)
}
func (c httpCaller) Fail(relay.Failure) { c.w.WriteHeader(http.StatusBadGateway) }

// relayIngress serves all requests as generations of one service.
type relayIngress struct {
	noIngress
	relay *relay.Relay
	fleet *fleet.Store
}

func (i relayIngress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := &relay.Request{
		ID: r.URL.Path, Method: http.MethodPost, Target: "/", Header: http.Header{}, Arrived: time.Now(),
		Timeout: time.Hour, EventTimeout: time.Hour, Generation: &relay.Generation{PromptTokens: 10, MaxOutputTokens: 10},
	}
	route := &routing.Route{Name: "r", Kind: routing.Streaming, MaxAttempts: 1, Objective: time.Hour, Timeout: time.Hour}
	i.relay.Serve(r.Context(), request, route, i.fleet.Table().Service("pool"), httpCaller{w})
}

// A request that waits for an engine when its VM stops was cut off at the end of the
// grace: its caller could not know that it had not run.
func TestStopRefusesRequestsThatWait(t *testing.T) {
	release := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: t\n\n")
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer engine.Close()
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	options := stopOptions(t, engine.Listener.Addr().String())
	var served *relay.Relay
	options.Ingress = func(r *relay.Relay, _ *feed.Service) Ingress {
		served = r
		return relayIngress{relay: r, fleet: options.Fleet}
	}
	n := New(options)
	assert.NilError(t, n.Start(t.Context()))
	running := get(t, options.CallerAddress)
	defer func() { assert.NilError(t, running.Body.Close()) }()
	waiting := make(chan string, 1)
	go func() { waiting <- status(t, options.CallerAddress) }()
	for len(served.InFlight()) < 2 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	assert.Equal(t, <-waiting, "503 the VM is stopping")
	finish()
	events, err := io.ReadAll(running.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(events), "id: 1\ndata: t\n\n")
	assert.NilError(t, <-stopped)
}

// A connection that was opened just before the listener closed can still bring a request.
// A server that shuts down closes it without an answer.
func TestStopRefusesRequestsThatComeAfterTheBalancersLag(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: t\n\n")
	}))
	defer engine.Close()
	options := stopOptions(t, engine.Listener.Addr().String())
	n := New(options)
	assert.NilError(t, n.Start(t.Context()))
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	late := lastConnection(t, options.CallerAddress)
	_, err := io.WriteString(late, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, response.Body.Close())
	assert.NilError(t, <-stopped)
}

// lastConnection connects until nothing listens any more, and returns the connection that
// was opened last.
func lastConnection(t *testing.T, address string) net.Conn {
	t.Helper()
	var last net.Conn
	for {
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Cleanup(func() { assert.Check(t, last.Close()) })
			return last
		}
		if last != nil {
			assert.NilError(t, last.Close())
		}
		last = connection
		time.Sleep(10 * time.Millisecond)
	}
}

// stopOptions returns the options of a node with one engine that has one slot.
func stopOptions(t *testing.T, engine string) Options {
	t.Helper()
	options := testOptions(t)
	options.Grace = 6 * time.Second
	options.Dialect = plainDialect{}
	options.Fleet.SetTable(routing.NewTable(1, routing.Limits{}, nil, []routing.Service{
		{Name: "pool", Engines: &routing.Engines{Slots: 1, MemoryTokens: 30_000, TokensPerEvent: 1}},
	}))
	options.Fleet.SetInstances([]fleet.Instance{{ID: "e1", Endpoint: configuration.Endpoint{
		Name: "e1", Zone: "a", Address: engine, Service: "pool", Role: configuration.RoleDecode, Slots: 1,
	}}})
	addresses, err := loopback.FreeAddresses(t.Context(), loopback.ProcessIP(), 1)
	assert.NilError(t, err)
	options.CallerAddress = addresses[0]
	options.Ingress = func(r *relay.Relay, _ *feed.Service) Ingress {
		return relayIngress{relay: r, fleet: options.Fleet}
	}
	return options
}

// get returns the response to a request.
func get(t *testing.T, address string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	return response
}

// status returns the status and the body of the response to a request, or the error.
func status(t *testing.T, address string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return strconv.Itoa(response.StatusCode) + " " + string(body)
}

package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer/peertest"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const loopback = "127.0.0.1:0"

// namesHandler responds with the protocol and the names of the caller.
var namesHandler = Handler{Path: "/names/", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	caller := CallerFrom(r.Context())
	_, _ = io.WriteString(w, r.Proto+" "+strings.Join(caller.Names, ","))
})}

func start(t *testing.T, options Options, handlers ...Handler) *Server {
	t.Helper()
	options.Listen = loopback
	server, err := NewServer(options, handlers...)
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	t.Cleanup(func() { _ = server.Shutdown(t.Context()) })
	return server
}

func dialer(t *testing.T, options Options) *HTTPDialer {
	t.Helper()
	d := NewDialer(options)
	t.Cleanup(d.Close)
	return d
}

func load(t *testing.T, vm string, files settings.PeerTLS) *Certificates {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	certificates, err := LoadCertificates(vm, files, log)
	assert.NilError(t, err)
	return certificates
}

// get makes a call and returns the status and body of the response.
func get(d Dialer, server *Server, path string, body io.Reader) (int, string, error) {
	url := d.BaseURL(server.Addr().String()) + path
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, body)
	if err != nil {
		return 0, "", err
	}
	response, err := d.HTTPClient().Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func TestPeersOnLoopbackNeedNoCertificates(t *testing.T) {
	server := start(t, Options{}, namesHandler)
	d := dialer(t, Options{})
	status, body, err := get(d, server, "/names/x", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "HTTP/2.0 ")
	assert.Assert(t, d.traffic.BytesSent.Load() > 0 && d.traffic.BytesReceived.Load() > 0)
	assert.Equal(t, d.counters.Dialed.Load(), int64(1))
	status, _, err = get(d, server, "/other/", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

func TestToolsMayUseHTTP1(t *testing.T) {
	authority := peertest.NewAuthority(t)
	for _, options := range []Options{{}, {Certificates: load(t, "vm-a1", authority.Files(t, "vm-a1"))}} {
		server := start(t, options, namesHandler)
		client := dialer(t, options)
		client.transport.Protocols = new(http.Protocols)
		client.transport.Protocols.SetHTTP1(true)
		_, body, err := get(client, server, "/names/", nil)
		assert.NilError(t, err)
		assert.Equal(t, strings.Fields(body)[0], "HTTP/1.1")
	}
	_, err := LoadClientCertificates(authority.Files(t, "operator"), logrus.New())
	assert.NilError(t, err)
}

func TestNonLoopbackAddressesNeedCertificatesOrInsecure(t *testing.T) {
	const open = "10.0.0.1:7400"
	_, err := NewServer(Options{Listen: open})
	var findings *finding.Error
	assert.Assert(t, errors.As(err, &findings))
	assert.ErrorContains(t, err, "peers.tls: required because 10.0.0.1 is no loopback address")
	_, err = NewServer(Options{Listen: open, Insecure: true})
	assert.NilError(t, err)
	_, err = NewServer(Options{Listen: "localhost:1"})
	assert.ErrorContains(t, err, "peers.listen")

	d := dialer(t, Options{})
	_, err = d.dial(t.Context(), "tcp", open)
	assert.ErrorContains(t, err, "peer.not-loopback")
	assert.Equal(t, d.counters.Forbidden.Load(), int64(1))
}

func TestCertificatesNameTheCaller(t *testing.T) {
	authority := peertest.NewAuthority(t)
	server := start(t, Options{Certificates: load(t, "vm-a1", authority.Files(t, "vm-a1"))}, namesHandler)
	d := dialer(t, Options{Certificates: load(t, "vm-a2", authority.Files(t, "vm-a2"))})
	_, body, err := get(d, server, "/names/", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "HTTP/2.0 vm-a2")

	caller := Identity{Names: []string{"vm-a2"}, Authenticated: true}
	assert.Assert(t, caller.AuthorizedAs("vm-a2"))
	assert.Assert(t, !caller.AuthorizedAs("vm-a1"))
	assert.Assert(t, Identity{}.AuthorizedAs("vm-a1"))
}

func TestUntrustedPeersAreRejectedOnBothSides(t *testing.T) {
	authority, other := peertest.NewAuthority(t), peertest.NewAuthority(t)
	var handled atomic.Int64
	countingHandler := Handler{Path: "/", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
	server := start(t, Options{Certificates: load(t, "vm-a1", authority.Files(t, "vm-a1"))}, countingHandler)
	// This client trusts the server, but its own certificate is of an authority
	// that the server does not trust.
	files := other.Files(t, "vm-a2")
	copyFile(t, authority.Files(t, "x").CA, files.CA)
	_, _, err := get(dialer(t, Options{Certificates: load(t, "vm-a2", files)}), server, "/", nil)
	// The client sees the rejection as a TLS alert or as a closed connection.
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.counters.ConnectionErrors.Load() == 0 {
			return poll.Continue("no handshake has failed at the server")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	// This client does not trust the server.
	_, _, err = get(dialer(t, Options{Certificates: load(t, "vm-a2", other.Files(t, "vm-a2"))}), server, "/", nil)
	assert.ErrorContains(t, err, "peer.untrusted")
	_, _, err = get(dialer(t, Options{}), server, "/", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, handled.Load(), int64(0))
}

func TestCertificatesMustNameTheVM(t *testing.T) {
	authority := peertest.NewAuthority(t)
	_, err := LoadCertificates("vm-a1", authority.Files(t, "vm-a2"), logrus.New())
	assert.ErrorContains(t, err, `does not name the VM "vm-a1"`)
}

func TestChangedFilesAreReloaded(t *testing.T) {
	first, second := peertest.NewAuthority(t), peertest.NewAuthority(t)
	files, clientFiles := first.Files(t, "vm-a1"), first.Files(t, "vm-a2")
	serverSide, clientSide := load(t, "vm-a1", files), load(t, "vm-a2", clientFiles)
	server := start(t, Options{Certificates: serverSide}, namesHandler)
	d := dialer(t, Options{Certificates: clientSide})
	_, _, err := get(d, server, "/names/", nil)
	assert.NilError(t, err)

	// Once the authority is replaced, requests on the open connection are rejected.
	second.Write(t, files, "vm-a1")
	serverSide.lastCheck.Store(0)
	status, _, err := get(d, server, "/names/", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusForbidden)
	assert.Equal(t, server.counters.Unauthorized.Load(), int64(1))
	assert.Equal(t, serverSide.counters.Reloaded.Load(), int64(1))

	second.Write(t, clientFiles, "vm-a2")
	clientSide.lastCheck.Store(0)
	status, body, err := get(d, server, "/names/", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "HTTP/2.0 vm-a2")
}

func TestUnusableFilesKeepThePreviousCredentials(t *testing.T) {
	authority := peertest.NewAuthority(t)
	files := authority.Files(t, "vm-a1")
	log, hook := logtest.NewNullLogger()
	certificates, err := LoadCertificates("vm-a1", files, log)
	assert.NilError(t, err)
	before := certificates.current()
	for _, invalidate := range []func(){
		func() { assert.NilError(t, os.WriteFile(files.Key, []byte("no key"), 0o600)) },
		func() { authority.Write(t, files, "vm-a9") },
		func() { assert.NilError(t, os.Remove(files.CA)) },
	} {
		hook.Reset()
		failed := certificates.counters.ReloadFailed.Load()
		invalidate()
		for range 2 {
			certificates.lastCheck.Store(0)
			assert.Equal(t, certificates.current(), before)
		}
		assert.Equal(t, certificates.counters.ReloadFailed.Load(), failed+1)
		assert.Equal(t, len(hook.Entries), 1)
	}
	authority.Write(t, files, "vm-a1")
	certificates.lastCheck.Store(0)
	assert.Equal(t, certificates.current().generation, uint64(2))
}

func TestFilesAreCheckedPeriodically(t *testing.T) {
	authority := peertest.NewAuthority(t)
	files := authority.Files(t, "vm-a1")
	certificates := load(t, "vm-a1", files)
	authority.Write(t, files, "vm-a1")
	assert.Equal(t, certificates.current().generation, uint64(1))
	certificates.lastCheck.Add(-int64(reloadPeriod))
	assert.Equal(t, certificates.current().generation, uint64(2))
}

func TestLargeBodiesAreCutOff(t *testing.T) {
	var readError atomic.Value
	server := start(t, Options{}, Handler{Path: "/", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		readError.Store(err != nil)
	})})
	d := dialer(t, Options{})
	_, _, _ = get(d, server, "/", strings.NewReader(strings.Repeat("x", maxRequestBytes+1)))
	assert.Equal(t, readError.Load(), true)
	_, _, err := get(d, server, "/", strings.NewReader(strings.Repeat("x", maxRequestBytes)))
	assert.NilError(t, err)
	assert.Equal(t, readError.Load(), false)
}

func TestConnectionsAreBounded(t *testing.T) {
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", loopback)
	assert.NilError(t, err)
	var counters serverCounters
	listener := &boundedListener{Listener: inner, counters: &counters, traffic: new(traffic), limit: 1}
	defer func() { _ = listener.Close() }()
	connect := func() net.Conn {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		return conn
	}
	first := connect()
	defer func() { _ = first.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	second := connect()
	defer func() { _ = second.Close() }()
	go func() {
		_, _ = second.Read(make([]byte, 1))
		_ = accepted.Close()
		_ = first.Close()
		third, err := new(net.Dialer).DialContext(context.Background(), "tcp", inner.Addr().String())
		if err == nil {
			_ = third.Close()
		}
	}()
	next, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, next.Close())
	assert.Equal(t, counters.ConnectionsRefused.Load(), int64(1))
	assert.Equal(t, counters.Connections.Load(), int64(2))
}

func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := start(t, Options{}, Handler{Path: "/", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})})
	d := dialer(t, Options{})
	result := make(chan string, 1)
	go func() {
		_, body, _ := get(d, server, "/", nil)
		result <- body
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	assert.Equal(t, <-result, "whole")
	assert.NilError(t, <-stopped)
	_, _, err := get(d, server, "/", nil)
	assert.Assert(t, err != nil)
}

func TestShutdownCutsOffRequestsThatDoNotEnd(t *testing.T) {
	entered := make(chan struct{})
	server := start(t, Options{}, Handler{Path: "/", Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	})})
	d := dialer(t, Options{})
	result := make(chan error, 1)
	go func() {
		_, _, err := get(d, server, "/", nil)
		result <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, server.Shutdown(ctx), context.Canceled)
	assert.Assert(t, <-result != nil)
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(to, data, 0o600))
}

func TestCountersAreDocumented(t *testing.T) {
	registry := metrics.NewRegistry()
	server, err := NewServer(Options{Listen: loopback})
	assert.NilError(t, err)
	registry.Mount("peer_server", server.Vars())
	registry.Mount("peer_dialer", dialer(t, Options{}).Vars())
	registry.Mount("peer_certificates", load(t, "vm-a1", peertest.NewAuthority(t).Files(t, "vm-a1")).Vars())
	assert.Equal(t, len(registry.Undocumented())+len(registry.Unpublished()), 0)
}

func TestCallerLearnsTheResponder(t *testing.T) {
	authority := peertest.NewAuthority(t)
	server := start(t, Options{Certificates: load(t, "vm-a1", authority.Files(t, "vm-a1"))}, namesHandler)
	d := dialer(t, Options{Certificates: load(t, "vm-a2", authority.Files(t, "vm-a2"))})
	var responder Identity
	ctx := ContextWithResponder(t.Context(), &responder)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.BaseURL(server.Addr().String())+"/names/", nil)
	assert.NilError(t, err)
	response, err := d.HTTPClient().Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.DeepEqual(t, responder, Identity{Names: []string{"vm-a1"}, Authenticated: true})
}

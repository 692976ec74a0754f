package peer

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

// HTTPDialer implements Dialer over HTTP/2. It is safe for concurrent use.
type HTTPDialer struct {
	options   Options
	transport *http.Transport
	client    *http.Client
	// generation is the generation of the credentials that idle connections were
	// established with.
	generation atomic.Uint64
	counters   dialerCounters
	traffic    traffic
}

type dialerCounters struct {
	// Dialed counts established connections, DialFailed failed attempts.
	Dialed, DialFailed atomic.Int64
	// Forbidden counts attempts to dial an address that is forbidden without
	// certificates.
	Forbidden atomic.Int64
}

var _ Dialer = (*HTTPDialer)(nil)

// NewDialer returns a dialer; the options' Listen is not used.
func NewDialer(options Options) *HTTPDialer {
	d := &HTTPDialer{options: options}
	d.transport = &http.Transport{
		DialContext:         d.dial,
		Protocols:           protocols(options.Certificates != nil),
		HTTP2:               dialerHTTP2Config(),
		TLSHandshakeTimeout: handshakeTimeout,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if options.Certificates != nil {
		d.transport.TLSClientConfig = options.Certificates.clientTLS()
		d.generation.Store(options.Certificates.current().generation)
	}
	d.client = &http.Client{Transport: roundTripper{d}, CheckRedirect: refuseRedirect, Timeout: options.CallTimeout}
	return d
}

// HTTPClient implements Dialer. The client's only time limit for a whole call is
// the options' CallTimeout; callers set shorter ones by their contexts.
func (d *HTTPDialer) HTTPClient() connect.HTTPClient { return d.client }

// BaseURL implements Dialer.
func (d *HTTPDialer) BaseURL(address string) string {
	if d.options.Certificates != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Close closes idle connections.
func (d *HTTPDialer) Close() { d.transport.CloseIdleConnections() }

// Vars returns the counters of the dialer.
func (d *HTTPDialer) Vars() *expvar.Map {
	vars := metrics.Fields(&d.counters)
	addTraffic(vars, &d.traffic)
	return vars
}

func dialerHTTP2Config() *http.HTTP2Config {
	config := http2Config()
	config.SendPingTimeout = pingIdleTime
	config.PingTimeout = pingTimeout
	return config
}

func (d *HTTPDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !d.options.allows(parsed) {
		d.counters.Forbidden.Add(1)
		return nil, NotLoopback.New("%s may not be dialed without certificates", address)
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		d.counters.DialFailed.Add(1)
		return nil, err
	}
	d.counters.Dialed.Add(1)
	return &countedConn{Conn: conn, traffic: &d.traffic}, nil
}

// roundTripper closes idle connections after a change of credentials, and stores
// the identity of the process that responded to a call.
type roundTripper struct{ dialer *HTTPDialer }

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	r.dialer.closeOutdatedConnections()
	response, err := r.dialer.transport.RoundTrip(request)
	if err == nil {
		storeResponder(request.Context(), response)
	}
	return response, err
}

func (d *HTTPDialer) closeOutdatedConnections() {
	if d.options.Certificates == nil {
		return
	}
	generation := d.options.Certificates.current().generation
	if d.generation.Swap(generation) != generation {
		d.transport.CloseIdleConnections()
	}
}

// refuseRedirect makes the client return redirects instead of following them, so
// that a call reaches only the address it was made to.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

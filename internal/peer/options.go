package peer

import (
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

const (
	// MaxMessageBytes bounds one message between entry VMs.
	MaxMessageBytes = 4 << 20
	// minCompressBytes is the size from which on answers are compressed. Below
	// it, compression costs far more processor time than the call.
	minCompressBytes = 16 << 10
	// maxRequestBytes bounds the body of one request, framing included.
	maxRequestBytes = MaxMessageBytes + 64<<10
	// maxHeaderBytes bounds the header of one request.
	maxHeaderBytes = 16 << 10
	// maxConnections bounds the connections from peers at one time.
	maxConnections = 1024
	// maxStreams bounds the requests in flight on one connection.
	maxStreams = 1000

	dialTimeout       = time.Second
	handshakeTimeout  = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	// pingIdleTime is how long a connection may be silent before the dialer probes
	// it, and pingTimeout how long the probe may take. A fleet keeps many silent
	// connections, so that probes of their own account are rare.
	pingIdleTime = 15 * time.Second
	pingTimeout  = 3 * time.Second
	// writeTimeout closes a connection whose peer accepts no bytes.
	writeTimeout = 5 * time.Second
	// idleTimeout is how long the dialer keeps a connection without requests: for
	// longer than membership takes to probe all VMs of a large zone. The server
	// keeps them for longer, so that none ends under a request.
	idleTimeout       = 3 * time.Minute
	serverIdleTimeout = idleTimeout + time.Minute
)

// Options are the settings of a Server and of a Dialer.
type Options struct {
	// Listen is the IP number and port of the Server; port 0 takes a free port.
	Listen string
	// Certificates authenticate both ends; nil for none.
	Certificates *Certificates
	// Insecure allows other than loopback addresses without certificates.
	Insecure bool
	// CallTimeout bounds each call of a Dialer; 0 leaves that to the contexts of
	// its callers.
	CallTimeout time.Duration
}

// check reports findings about a listener; the error is a *finding.Error.
func (o *Options) check() error {
	var report finding.Report
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		report.Addf("peers.listen", "%q is no IP number and port such as 10.0.0.5:7400", o.Listen)
		return report.Err()
	}
	if !o.allows(listen) {
		report.Addf("peers.tls",
			"required because %s is no loopback address; insecure_peers allows peers without certificates", listen.Addr())
	}
	if o.Certificates != nil && o.Insecure {
		report.Addf("peers.insecure_peers", "contradicts peers.tls; leave one of them out")
	}
	return report.Err()
}

// allows reports whether the address may be listened on or dialed.
func (o *Options) allows(address netip.AddrPort) bool {
	return o.Certificates != nil || o.Insecure || address.Addr().Unmap().IsLoopback()
}

// HandlerOptions returns the options that services for peers are made with.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	}
}

// ClientOptions returns the options that clients of peers are made with.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithReadMaxBytes(MaxMessageBytes)}
}

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
	// minCompressBytes is the minimum size of a response that is compressed. Below
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
	// pingIdleTime is how long a connection may receive nothing before the dialer
	// sends a ping, and pingTimeout how long the response may take. Pings are kept
	// rare because a fleet has many idle connections.
	pingIdleTime = 15 * time.Second
	pingTimeout  = 3 * time.Second
	// writeTimeout is the time after which a connection is closed whose peer
	// accepts no bytes.
	writeTimeout = 5 * time.Second
	// idleTimeout is how long the dialer keeps a connection without requests. It is
	// longer than the membership protocol takes to probe all VMs of a large zone.
	// The server keeps idle connections for longer, so that it does not close one
	// on which the dialer is sending a request.
	idleTimeout       = 3 * time.Minute
	serverIdleTimeout = idleTimeout + time.Minute
)

// Options are the settings of a Server and of a Dialer.
type Options struct {
	// Listen is the IP address and port of the Server; port 0 selects a free port.
	Listen string
	// Certificates authenticate both ends; nil for plain text connections.
	Certificates *Certificates
	// Insecure allows addresses other than loopback without certificates.
	Insecure bool
	// CallTimeout bounds each call of a Dialer; 0 for no bound other than the
	// context of the call.
	CallTimeout time.Duration
}

// check validates the options of a Server; the error is a *finding.Error.
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

// HandlerOptions returns the options for the handlers of services for peers.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	}
}

// ClientOptions returns the options for clients of services of peers.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithReadMaxBytes(MaxMessageBytes)}
}

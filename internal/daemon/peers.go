package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// varsPath is the path at which the listener for peers publishes the counters.
const varsPath = "/debug/vars"

// newPeerOptions loads the certificates of the transport between entry VMs.
func newPeerOptions(conf *settings.Settings, log logrus.FieldLogger, registry *metrics.Registry) (peer.Options, error) {
	listen, err := withFreePort(conf.Peers.Listen)
	if err != nil {
		return peer.Options{}, err
	}
	options := peer.Options{Listen: listen, Insecure: conf.Peers.Insecure}
	if conf.Peers.TLS == nil {
		return options, nil
	}
	certificates, err := peer.LoadCertificates(conf.VM, *conf.Peers.TLS, log)
	if err != nil {
		return options, err
	}
	options.Certificates = certificates
	registry.Mount("peer_certificates", certificates.Vars())
	return options, nil
}

// withFreePort replaces port 0 with a free port, because the port is announced to
// peers before the listener opens.
func withFreePort(address string) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() != 0 {
		return address, err
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func newDialer(lifecycle fx.Lifecycle, options peer.Options, registry *metrics.Registry) peer.Dialer {
	dialer := peer.NewDialer(options)
	registry.Mount("peer_dialer", dialer.Vars())
	onStop(lifecycle, func(context.Context) { dialer.Close() })
	return dialer
}

// peerServer is the server for other entry VMs and for operators' tools.
type peerServer struct{ server *peer.Server }

type peerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Options   peer.Options
	Handlers  []peer.Handler `group:"peer"`
	Metrics   *metrics.Registry
}

func newPeerServer(p peerParams) (*peerServer, error) {
	vars := peer.Handler{Path: varsPath, Handler: readOnly(p.Metrics.Handler())}
	server, err := peer.NewServer(p.Options, append(slices.Clone(p.Handlers), vars)...)
	if err != nil {
		return nil, err
	}
	p.Metrics.Mount("peer_server", server.Vars())
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return server.Start() },
		OnStop:  server.Shutdown,
	})
	return &peerServer{server: server}, nil
}

func (s *peerServer) addr() string { return s.server.Addr().String() }

// readOnly rejects all requests but GET.
func readOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "only GET is served", http.StatusMethodNotAllowed)
			return
		}
		next.ServeHTTP(w, r)
	})
}

package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// view takes all configured entry VMs for alive.
type view struct {
	self  membership.Member
	store *configuration.Store
}

func newView(id Identity, store *configuration.Store) membership.View {
	return &view{
		self:  membership.Member{VM: id.VM, Zone: id.Zone, Incarnation: id.Incarnation, State: membership.Alive},
		store: store,
	}
}

func (v *view) Self() membership.Member { return v.self }

func (v *view) Members() []membership.Member {
	snapshot := v.store.Snapshot()
	if snapshot == nil {
		return []membership.Member{v.self}
	}
	var members []membership.Member
	for _, vm := range snapshot.Fleet().VMs {
		if vm.Name == v.self.VM {
			members = append(members, v.self)
			continue
		}
		members = append(members, membership.Member{VM: vm.Name, Zone: vm.Zone, Address: vm.Address, State: membership.Alive})
	}
	return members
}

type dialer struct{ client *http.Client }

func newDialer(lifecycle fx.Lifecycle) peer.Dialer {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
	onStop(lifecycle, func(context.Context) { client.CloseIdleConnections() })
	return &dialer{client}
}

func (d *dialer) HTTPClient() connect.HTTPClient { return d.client }
func (d *dialer) BaseURL(address string) string  { return "http://" + address }

// peerServer serves other entry VMs and operators' tools.
type peerServer struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	server   *http.Server
	listener net.Listener
}

type peerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.Settings
	Handlers  []peer.Handler `group:"peer"`
	Metrics   *metrics.Registry
	Log       logrus.FieldLogger
}

func newPeerServer(p peerParams) *peerServer {
	router := mux.NewRouter()
	for _, h := range p.Handlers {
		router.PathPrefix(h.Path).Handler(h.Handler)
	}
	router.Handle("/debug/vars", p.Metrics.Handler()).Methods(http.MethodGet)
	s := &peerServer{settings: p.Settings, log: p.Log, server: &http.Server{Handler: router, ReadHeaderTimeout: 5 * time.Second}}
	p.Lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
	return s
}

func (s *peerServer) addr() string { return s.listener.Addr().String() }

func (s *peerServer) start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Peers.Listen)
	if err != nil {
		return err
	}
	s.listener = listener
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("listener for peers failed")
		}
	}()
	return nil
}

func (s *peerServer) stop(context.Context) error { return s.server.Close() }

package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/callerconn"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/gateway"
	"github.com/ospreyshed/ospreyshed/internal/membership/swim"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// serverModule provides the listeners. The listener for callers is the last to
// start and the first to stop.
var serverModule = fx.Module("servers",
	fx.Provide(newPeerOptions, newDialer, newPeerServer, newCallerServer),
	fx.Invoke(func(*peerServer, *callerServer) {}),
)

// defaultDrainLimit limits the drain of a VM without a configuration.
const defaultDrainLimit = 10 * time.Second

// callerServer is the HTTP server for callers.
type callerServer struct {
	settings *settings.Settings
	gateway  *gateway.Gateway
	keys     *keys
	members  *swim.Service
	store    *configuration.Store
	events   timeline.Recorder
	log      logrus.FieldLogger
	server   *http.Server
	listener net.Listener
	// accepting is closed when the server accepts no more connections.
	accepting   chan struct{}
	connections *callerconn.Tracker
}

// callerParams are the dependencies of the listener for callers. Peers is among
// them so that the listener for peers starts first. The poller of the VM list, which
// controlModule invokes, also starts before callers are served.
type callerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  *settings.Settings
	Gateway   *gateway.Gateway
	Keys      *keys
	Store     *configuration.Store
	Events    timeline.Recorder
	Log       logrus.FieldLogger
	Peers     *peerServer
	Members   *swim.Service
}

func newCallerServer(p callerParams) *callerServer {
	s := &callerServer{
		settings: p.Settings,
		gateway:  p.Gateway,
		keys:     p.Keys,
		members:  p.Members,
		store:    p.Store,
		events:   p.Events,
		log:      p.Log,

		accepting:   make(chan struct{}),
		connections: callerconn.New(),
	}
	limits := &p.Settings.Limits
	s.server = &http.Server{
		Handler:           p.Gateway,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout.D(),
		ReadTimeout:       limits.ReadTimeout.D(),
		IdleTimeout:       limits.IdleTimeout.D(),
		Protocols:         callerProtocols(),
		ConnState:         s.connections.Observe,
	}
	p.Lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
	return s
}

// callerProtocols are HTTP/1.1 and HTTP/2, with and without TLS.
func callerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

func (s *callerServer) addr() string { return s.listener.Addr().String() }

func (s *callerServer) start(ctx context.Context) error {
	if files := s.settings.Callers.TLS; files != nil {
		certificate, err := files.Load()
		if err != nil {
			return err
		}
		s.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.settings.Callers.Listen)
	if err != nil {
		return err
	}
	s.listener = s.connections.Listener(callerconn.Limit(listener.(*net.TCPListener), s.settings.Limits.Connections))
	go s.serve()
	s.log.WithField("address", s.addr()).Info("serving callers")
	return nil
}

func (s *callerServer) serve() {
	defer close(s.accepting)
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.log.WithError(err).Error("listener for callers failed")
	}
}

// stop drains the server: requests in flight have until the drain limit to finish.
func (s *callerServer) stop(ctx context.Context) error {
	s.events.Record(timeline.ShutdownStarted, "", "")
	s.log.Info("draining")
	lag, limit := s.drainPeriods()
	s.gateway.Drain(time.Now().Add(lag + limit))
	s.members.SetDraining()
	background.Pause(ctx, lag)
	s.gateway.RefuseNew()
	drain, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := s.drain(drain)
	if err != nil {
		s.log.WithError(err).Error("requests were cut off at the drain limit")
		_ = s.server.Close()
	}
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	s.keys.flush(flush)
	s.members.Leave(flush)
	s.events.Record(timeline.ShutdownFinished, "", "")
	s.log.Info("drained")
	return err
}

// drain closes the listener and waits for requests in flight. The server's own shutdown
// comes last: it drops HTTP/1 requests that were just read, and ends HTTP/2 connections.
func (s *callerServer) drain(ctx context.Context) error {
	closed := s.listener.Close()
	<-s.accepting
	if err := s.connections.Drain(ctx); err != nil {
		return errors.Join(closed, err)
	}
	return errors.Join(closed, s.server.Shutdown(ctx))
}

// drainPeriods returns the load balancer's lag and the drain limit.
func (s *callerServer) drainPeriods() (lag, limit time.Duration) {
	snapshot := s.store.Snapshot()
	if snapshot == nil {
		return 0, defaultDrainLimit
	}
	times := snapshot.Fleet().Times
	return times.BalancerLag.D(), times.DrainLimit.D()
}

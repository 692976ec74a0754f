package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/callerconn"
	"github.com/ospreyshed/ospreyshed/internal/membership/swim"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/relay"
)

const (
	// readHeaderTimeout limits the time to read the header of a request.
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long a caller's idle connection is kept. Callers
	// close idle connections earlier.
	callerIdleTimeout = time.Minute
	// balancerLag is how long requests still arrive after readiness checks start to
	// fail: two checks at an interval of a second, plus the time to connect.
	balancerLag = 2500 * time.Millisecond
	// waitingShare is the share of the grace after which requests that still wait for
	// engines are refused. Those that began by then have the rest of it to finish.
	waitingShare = 0.5
	// metricsPath is the path at which the counters are served as text.
	metricsPath = "/metrics"
)

// serversModule provides the listeners. The listener for callers is the last to
// start and the first to stop.
var serversModule = fx.Module("servers", fx.Invoke(runMetricsServer, runCallerServer))

func runMetricsServer(lifecycle fx.Lifecycle, options *Options, registry *metrics.Registry) {
	if options.MetricsAddress == "" {
		return
	}
	router := mux.NewRouter()
	router.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprint(w, registry.Text())
	}).Methods(http.MethodGet)
	server := newServer(router)
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			// A failure of the metrics listener must not keep the node from serving
			// callers.
			if err := listen(ctx, options, "metrics", options.MetricsAddress, server); err != nil {
				options.Log.Change("metrics are not served", logrus.Fields{"error": err.Error()})
			}
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		// Its answer to OPTIONS * would be a success that no endpoint gave.
		DisableGeneralOptionsHandler: true,
	}
}

// serve runs a server from the start of the process to its stop.
func serve(lifecycle fx.Lifecycle, options *Options, name, address string, server *http.Server) {
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return listen(ctx, options, name, address, server) },
		OnStop:  func(context.Context) error { return server.Close() },
	})
}

// listen opens a listener and serves it in the background.
func listen(ctx context.Context, options *Options, name, address string, server *http.Server) error {
	listener, err := open(ctx, name, address)
	if err == nil {
		serveListener(options, name, listener, server)
	}
	return err
}

func open(ctx context.Context, name, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listener for %s: %w", name, err)
	}
	return listener, nil
}

// serveListener serves a listener in the background until it or the server is closed. The
// returned channel is closed when the server accepts no more connections.
func serveListener(options *Options, name string, listener net.Listener, server *http.Server) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			options.Log.Change("listener failed", logrus.Fields{"listener": name, "error": err.Error()})
		}
	}()
	return ended
}

// callerServer is the HTTP server for callers.
type callerServer struct {
	options *Options
	ingress Ingress
	members *swim.Service
	relay   *relay.Relay
	origins *origin.Service
	server  *http.Server
	// listener and accepting are set once the server runs; accepting is closed when the
	// server accepts no more connections.
	listener    net.Listener
	accepting   <-chan struct{}
	connections *callerconn.Tracker
}

func runCallerServer(lifecycle fx.Lifecycle, options *Options, ingress Ingress, members *swim.Service, r *relay.Relay, origins *origin.Service) {
	readiness := newServer(http.HandlerFunc(ingress.ServeReadiness))
	serve(lifecycle, options, "readiness", options.ReadinessAddress, readiness)
	s := &callerServer{options: options, ingress: ingress, members: members, relay: r, origins: origins, server: newServer(ingress), connections: callerconn.New()}
	s.server.ConnState = s.connections.Observe
	s.server.ConnContext = callerconn.NewContext
	lifecycle.Append(fx.Hook{
		OnStart: s.open,
		OnStop:  s.stop,
	})
}

// open opens the listener and serves it.
func (s *callerServer) open(ctx context.Context) (err error) {
	s.listener, err = open(ctx, "callers", s.options.CallerAddress)
	if err == nil {
		s.accepting = serveListener(s.options, "callers", s.connections.Listener(s.listener), s.server)
	}
	return err
}

// stop drains the server: requests in flight finish before the process ends.
func (s *callerServer) stop(ctx context.Context) error {
	started := time.Now()
	s.options.Log.Change("draining", logrus.Fields{"grace_ms": s.options.Grace.Milliseconds()})
	end := started.Add(s.options.Grace - stopMargin)
	s.relay.BeginStop(end)
	s.ingress.Drain()
	s.members.SetDraining()
	refusal := time.AfterFunc(time.Duration(waitingShare*float64(s.options.Grace)), s.relay.RefuseWaiting)
	defer refusal.Stop()
	s.origins.HandOver(ctx)
	background.Pause(ctx, time.Until(started.Add(balancerLag)))
	drain, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	s.relay.RefuseNew()
	err := s.drain(drain)
	s.origins.HandOver(ctx)
	s.members.Leave(drain)
	s.options.Log.Change("drained", logrus.Fields{"ms": time.Since(started).Milliseconds()})
	return err
}

// maxCutOffLines limits the lines about requests that are cut off at the end of a stop.
const maxCutOffLines = 64

// logCutOff logs the requests that are cut off because the grace has passed.
func (s *callerServer) logCutOff(err error) {
	requests := s.relay.InFlight()
	s.options.Log.Change("requests were cut off at the end of the grace", logrus.Fields{"error": err.Error(), "requests": len(requests)})
	for _, r := range requests[:min(len(requests), maxCutOffLines)] {
		s.options.Log.Change("request cut off", logrus.Fields{
			"request": r.ID, "route": r.Route, "team": r.Team, "age_ms": r.Age.Milliseconds(), "sent": r.Sent,
		})
	}
}

// drain closes the listener and waits for requests in flight; those that are left when ctx
// ends are cut off. It does not use the server's own shutdown, which closes connections
// although a request was just read from them.
func (s *callerServer) drain(ctx context.Context) error {
	closed := s.listener.Close()
	<-s.accepting
	if err := s.connections.Drain(ctx); err != nil {
		s.logCutOff(err)
	}
	return errors.Join(closed, s.server.Close())
}

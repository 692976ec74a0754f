package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"log"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

// Server serves the handlers for peers on one listener.
type Server struct {
	options  Options
	http     *http.Server
	listener net.Listener
	served   chan struct{}
	counters serverCounters
	traffic  traffic
}

type serverCounters struct {
	// Connections counts accepted connections, ConnectionsRefused connections
	// closed because the limit was reached.
	Connections, ConnectionsRefused atomic.Int64
	// ConnectionErrors counts failed handshakes and broken connections.
	ConnectionErrors atomic.Int64
	// Unauthorized counts requests on connections whose peer certificate is no
	// longer accepted.
	Unauthorized atomic.Int64
}

// NewServer returns a server that listens once Start is called. The error is a
// *finding.Error if the options are invalid or do not allow the address.
func NewServer(options Options, handlers ...Handler) (*Server, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	s := &Server{options: options, served: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.authenticate(http.MaxBytesHandler(route(handlers), maxRequestBytes)),
		Protocols:         serverProtocols(options.Certificates != nil),
		HTTP2:             http2Config(),
		ConnContext:       withConnection,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       serverIdleTimeout,
		ErrorLog:          log.New(errorCounter{&s.counters.ConnectionErrors}, "", 0),
	}
	return s, nil
}

func route(handlers []Handler) http.Handler {
	router := mux.NewRouter()
	for _, handler := range handlers {
		router.PathPrefix(handler.Path).Handler(handler.Handler)
	}
	return router
}

// protocols returns HTTP/2, over TLS if encrypted, else in plain text.
func protocols(encrypted bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(encrypted)
	p.SetUnencryptedHTTP2(!encrypted)
	return p
}

// serverProtocols adds HTTP/1.1, which operators' tools use to read the counters.
func serverProtocols(encrypted bool) *http.Protocols {
	p := protocols(encrypted)
	p.SetHTTP1(true)
	return p
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		WriteByteTimeout:     writeTimeout,
	}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", s.options.Listen)
	if err != nil {
		return err
	}
	s.listener = listener
	bounded := &boundedListener{Listener: listener, counters: &s.counters, traffic: &s.traffic, limit: maxConnections}
	go s.serve(bounded)
	return nil
}

func (s *Server) serve(listener net.Listener) {
	defer close(s.served)
	if s.options.Certificates != nil {
		listener = tls.NewListener(listener, s.options.Certificates.serverTLS())
	}
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.counters.ConnectionErrors.Add(1)
	}
}

// Addr returns the address that the server listens on, nil before Start.
func (s *Server) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// Shutdown accepts no new requests and waits for those in flight. If the context
// ends first, it closes their connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	if s.listener != nil {
		<-s.served
	}
	return err
}

// Vars returns the counters of the server.
func (s *Server) Vars() *expvar.Map {
	vars := metrics.Fields(&s.counters)
	addTraffic(vars, &s.traffic)
	return vars
}

func addTraffic(vars *expvar.Map, counted *traffic) {
	metrics.Fields(counted).Do(func(value expvar.KeyValue) { vars.Set(value.Key, value.Value) })
}

// errorCounter counts the lines that net/http logs about connection errors.
type errorCounter struct{ count *atomic.Int64 }

// Write implements io.Writer.
func (e errorCounter) Write(line []byte) (int, error) {
	e.count.Add(1)
	return len(line), nil
}

package engine

import (
	"net"
	"strconv"

	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// Server serves an Engine on a port.
type Server struct {
	*Engine
	http *httpserver.Server
}

// Start serves a new Engine on address, an IP address and port; port 0 picks a
// free one.
func Start(address string, options Options) (*Server, error) {
	listener, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	e := New(options)
	h, err := newHandler(e, listener.Addr().String())
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return &Server{Engine: e, http: httpserver.Serve(listener, h.routes())}, nil
}

func newHandler(e *Engine, address string) (*handler, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	return &handler{engine: e, host: host, port: number}, nil
}

// Addr returns the listen address, an IP address and port.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the engine and closes all connections.
func (s *Server) Close() error {
	s.Engine.Close()
	return s.http.Close()
}

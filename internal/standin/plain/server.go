package plain

import "github.com/ospreyshed/ospreyshed/internal/standin/httpserver"

// Server serves a Service on a port.
type Server struct {
	*Service
	http *httpserver.Server
}

// Start serves a new Service on address, an IP address and port; port 0 picks a
// free one.
func Start(address string, options Options) (*Server, error) {
	service := New(options)
	server, err := httpserver.Start(address, service.Handler())
	if err != nil {
		return nil, err
	}
	return &Server{Service: service, http: server}, nil
}

// Addr returns the listen address, an IP address and port.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server and closes all connections.
func (s *Server) Close() error { return s.http.Close() }

package plain

import "github.com/ospreyshed/ospreyshed/internal/standin/httpserver"

// Server is a Service that is served on a port.
type Server struct {
	*Service
	http *httpserver.Server
}

// Start serves a new Service on address, an IP number and port; port 0 picks a
// free one.
func Start(address string, options Options) (*Server, error) {
	service := New(options)
	server, err := httpserver.Start(address, service.Handler())
	if err != nil {
		return nil, err
	}
	return &Server{Service: service, http: server}, nil
}

// Addr returns the address that is served, an IP number and port.
func (s *Server) Addr() string { return s.http.Addr() }

// Close ends the service and cuts all connections.
func (s *Server) Close() error { return s.http.Close() }

package logstore

import "github.com/ospreyshed/ospreyshed/internal/standin/httpserver"

// Server serves a Store on a port.
type Server struct {
	*Store
	http *httpserver.Server
}

// Start serves a new Store on address, an IP address and port; port 0 picks a
// free one.
func Start(address string, options Options) (*Server, error) {
	store := New(options)
	server, err := httpserver.Start(address, store.Handler())
	if err != nil {
		return nil, err
	}
	return &Server{Store: store, http: server}, nil
}

// Addr returns the listen address, an IP address and port.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server and drops delayed appends.
func (s *Server) Close() error {
	s.Store.Close()
	return s.http.Close()
}

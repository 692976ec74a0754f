// Package httpserver runs the HTTP side of a stand-in on a loopback address.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout limits the time to read a request's header.
const headerTimeout = 10 * time.Second

// RequestIDHeader identifies a call to an engine or a plain service.
const RequestIDHeader = "X-Request-Id"

// RepeatRequestID makes each response name its call, as the protocols require.
func RepeatRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(RequestIDHeader); id != "" {
			w.Header().Set(RequestIDHeader, id)
		}
		next.ServeHTTP(w, r)
	})
}

// Server serves one handler on one listener.
type Server struct {
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Listen listens on address, an IP address and port. Port 0 picks a free port.
func Listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

// Start listens on address as Listen does and serves handler.
func Start(address string, handler http.Handler) (*Server, error) {
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, handler), nil
}

// Serve serves handler on a listener.
func Serve(listener net.Listener, handler http.Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel}
	s.server = &http.Server{
		Handler:           s.trackCalls(handler),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.running.Go(func() { _ = s.server.Serve(listener) })
	return s
}

// Addr returns the address that the server listens on, an IP address and port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes all connections and waits until all handlers have returned.
func (s *Server) Close() error {
	s.cancel()
	err := s.server.Close()
	s.running.Wait()
	return err
}

// trackCalls makes Close wait for the handler's calls.
func (s *Server) trackCalls(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Done()
		handler.ServeHTTP(w, r)
	})
}

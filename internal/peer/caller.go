package peer

import (
	"context"
	"crypto/x509"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
)

// Identity identifies the process at the other end of a call.
type Identity struct {
	// Names are the names in its certificate; nil without certificates.
	Names []string
	// Authenticated reports that the certificate was verified.
	Authenticated bool
}

// AuthorizedAs reports whether the process may send messages as a VM. Without
// certificates every process may send messages as every VM.
func (c Identity) AuthorizedAs(vm string) bool {
	return !c.Authenticated || slices.Contains(c.Names, vm)
}

type (
	callerKey     struct{}
	connectionKey struct{}
)

// CallerFrom returns the caller of a request that the Server received. The result
// is not authenticated if the context has none, as in a call within the process.
func CallerFrom(ctx context.Context) Identity {
	caller, _ := ctx.Value(callerKey{}).(Identity)
	return caller
}

// ContextWithCaller returns a copy of a request's context with its caller.
func ContextWithCaller(ctx context.Context, caller Identity) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// connection is the Server's state of one connection.
type connection struct {
	// verifiedGeneration is the generation of the credentials with which the peer
	// was last verified.
	verifiedGeneration atomic.Uint64
}

func withConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(connection))
}

// authenticate adds the caller to the context of each request. After a change of
// credentials the peer of an open connection is verified again.
func (s *Server) authenticate(next http.Handler) http.Handler {
	if s.options.Certificates == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.verify(r); err != nil {
			s.counters.Unauthorized.Add(1)
			w.Header().Set("Connection", "close")
			http.Error(w, "the certificate is not accepted any more", http.StatusForbidden)
			return
		}
		caller := Identity{Names: namesOf(r.TLS.PeerCertificates[0]), Authenticated: true}
		next.ServeHTTP(w, r.WithContext(ContextWithCaller(r.Context(), caller)))
	})
}

func (s *Server) verify(r *http.Request) error {
	if r.TLS == nil {
		return Untrusted.New("connection without TLS")
	}
	current := s.options.Certificates.current()
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if ok && conn.verifiedGeneration.Load() == current.generation {
		return nil
	}
	if err := current.verify(r.TLS.PeerCertificates, x509.ExtKeyUsageClientAuth); err != nil {
		return err
	}
	if ok {
		conn.verifiedGeneration.Store(current.generation)
	}
	return nil
}

package peer

import (
	"context"
	"crypto/x509"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
)

// Identity is the process at the other end of a call.
type Identity struct {
	// Names are the names in its certificate; nil without certificates.
	Names []string
	// Authenticated says that the names were verified.
	Authenticated bool
}

// AuthorizedAs reports whether a message of the process may be from a VM.
// Without certificates every process may speak for every VM.
func (c Identity) AuthorizedAs(vm string) bool {
	return !c.Authenticated || slices.Contains(c.Names, vm)
}

type (
	callerKey     struct{}
	connectionKey struct{}
)

// CallerFrom returns the caller of a request that the Server received. Without
// one, as in a call inside the process, nothing is authenticated.
func CallerFrom(ctx context.Context) Identity {
	caller, _ := ctx.Value(callerKey{}).(Identity)
	return caller
}

// ContextWithCaller returns a context of a request from a caller.
func ContextWithCaller(ctx context.Context, caller Identity) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// connection is what the Server remembers of a connection.
type connection struct {
	// verifiedGeneration is the generation of credentials that the peer was verifiedGeneration by.
	verifiedGeneration atomic.Uint64
}

func withConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(connection))
}

// authenticate puts the caller into the context of each request. After a change
// of credentials a connection is verified once more.
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
		return Untrusted.New("no TLS")
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

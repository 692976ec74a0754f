// Package peer is the transport of connect-go calls between entry VMs.
//
// A package that serves peers provides a Handler to the fx group "peer"; a
// package that calls peers takes a Dialer.
package peer

import (
	"net/http"

	"connectrpc.com/connect"
)

// Handler is a connect-go service mounted on the peer listener.
type Handler struct {
	// Path is the service's path prefix as connect-go returns it.
	Path    string
	Handler http.Handler
}

// Dialer provides the HTTP client and URLs for calls to other entry VMs.
type Dialer interface {
	// HTTPClient returns the client that authenticates peers.
	HTTPClient() connect.HTTPClient
	// BaseURL returns the base URL of the peer at an IP address and port.
	BaseURL(address string) string
}

// Package peer carries connect-go calls between entry VMs.
//
// A package that serves peers provides a Handler to the fx group "peer"; a
// package that calls peers takes a Dialer.
package peer

import (
	"net/http"

	"connectrpc.com/connect"
)

// Handler is a connect-go service mounted on the listener for peers.
type Handler struct {
	// Path is the service's path prefix as connect-go returns it.
	Path    string
	Handler http.Handler
}

// Dialer gives access to other entry VMs.
type Dialer interface {
	// HTTPClient returns the client that authenticates peers.
	HTTPClient() connect.HTTPClient
	// BaseURL returns the URL of a peer for an address of IP number and port.
	BaseURL(address string) string
}

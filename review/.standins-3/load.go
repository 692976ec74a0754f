package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
)

// load counts the requests that run at a server, which all of its answers state.
type load struct {
	running atomic.Int64
	slots   int
}

// state sets the header of the server's load.
func (l *load) state(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", l.running.Load(), l.slots))
}

// begin counts a request and returns a function that ends it.
func (l *load) begin() func() {
	l.running.Add(1)
	return func() { l.running.Add(-1) }
}

// serveHealth answers a health check of a server and reports whether the request is one.
func serveHealth(w http.ResponseWriter, r *http.Request, id string, leaves bool) bool {
	if r.URL.Path != "/health" {
		return false
	}
	w.Header().Set("X-Instance-Id", id)
	if leaves {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return true
}

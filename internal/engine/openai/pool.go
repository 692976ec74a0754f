package openai

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = time.Minute
	maxIdlePerEngine   = 64
	maxIdleConnections = 4096
	// probePeriod is the period of keep-alive probes; an engine that was cut off without notice is
	// found within three periods if nothing else bounds the call.
	probePeriod = 15 * time.Second
)

// Configuration provides the snapshot in force.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// NewUpstream returns a client for connections to engines. Responses are matched to their
// requests by X-Request-Id.
func NewUpstream() *upstream.Client {
	return upstream.NewClient(upstream.Options{
		DialTimeout:  dialTimeout,
		ProbePeriod:  probePeriod,
		IdleTimeout:  idleTimeout,
		MaxIdle:      maxIdlePerEngine,
		MaxIdleTotal: maxIdleConnections,
		IDHeader:     requestIDHeader,
	})
}

// Pool provides clients for the engines of the configuration. All calls to an engine
// share its connections. It is safe for concurrent use.
type Pool struct {
	// Upstream holds the connections to all engines.
	Upstream *upstream.Client

	configuration Configuration
	clients       sync.Map // address -> *Client
}

// NewPool returns a pool that finds engines through the configuration.
func NewPool(conf Configuration) *Pool {
	return &Pool{Upstream: NewUpstream(), configuration: conf}
}

// Engine returns the client of a configured engine.
func (p *Pool) Engine(name string) (engine.Client, bool) {
	snapshot := p.configuration.Snapshot()
	if snapshot == nil {
		return nil, false
	}
	found, ok := snapshot.Endpoint(name)
	if !ok || found.Kind != configuration.KindEngine {
		return nil, false
	}
	return p.at(found.Address), true
}

func (p *Pool) at(address string) *Client {
	if client, ok := p.clients.Load(address); ok {
		return client.(*Client)
	}
	client, _ := p.clients.LoadOrStore(address, New(address, p.Upstream))
	return client.(*Client)
}

// Run closes connections that were idle for too long until ctx ends, then all idle ones.
func (p *Pool) Run(ctx context.Context) { p.Upstream.Run(ctx) }

// Close closes idle connections.
func (p *Pool) Close() { p.Upstream.Close() }

package openai

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = time.Minute
	maxIdlePerEngine   = 64
	maxIdleConnections = 4096
)

// Configuration provides the snapshot in force.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Pool provides clients for the engines of the configuration. All calls to an engine
// share its connections. It is safe for concurrent use.
type Pool struct {
	configuration Configuration
	http          *http.Client
	clients       sync.Map // address -> *Client
}

// NewPool returns a pool that finds engines through the configuration.
func NewPool(conf Configuration) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{
		configuration: conf,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdlePerEngine,
			IdleConnTimeout:     idleTimeout,
		}},
	}
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
	client, _ := p.clients.LoadOrStore(address, New(address, p.http))
	return client.(*Client)
}

// Close closes idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// Package node wires the process of an entry VM that relays requests unchanged to
// endpoints that register themselves.
//
// An adapter supplies the wire formats for callers, endpoints and the platform. A
// graceful shutdown runs in this order: readiness checks start to fail; requests
// are served until the platform has stopped sending new ones; the listener closes
// and requests in flight finish, except that those which still wait for engines after
// half of the grace are refused; background work stops.
package node

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/feed"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/relay"
	"github.com/ospreyshed/ospreyshed/internal/roles"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// Options are the settings of a Node.
type Options struct {
	// VM, Zone and Incarnation identify this process.
	VM, Zone    string
	Incarnation uint64
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are the listen
	// addresses. An empty MetricsAddress turns the metrics listener off.
	CallerAddress, ReadinessAddress, PeerAddress, MetricsAddress string
	// Seeds are addresses of other entry VMs, some of which may be stale.
	Seeds []string
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack are the retry budget of a service, summed over all
	// entry VMs.
	RetryRatio, RetrySlack float64
	// Hedging is the limit on hedges of a service, summed over all entry VMs; it is off in
	// the zero value.
	Hedging hedge.Settings
	// Fleet is the state of the fleet, updated by the adapter.
	Fleet *fleet.Store
	// InFlight bounds the bytes of requests that endpoints hold; nil sets no bound.
	InFlight *membudget.Endpoints
	Dialect  relay.Dialect
	// IDHeader is the header by which endpoints name the request that they answer.
	IDHeader string
	Log      *decisionlog.Log
	// Ingress returns the adapter's handler for callers.
	Ingress func(*relay.Relay, *feed.Service) Ingress
	// EndpointTopic is the name of the topic of the endpoints' registrations.
	EndpointTopic string
	// ConfigurationTopic is the topic of the configuration.
	ConfigurationTopic string
	// Store and Topics are what the entry VMs share of the platform's store. EraSeen
	// receives each later era of the store, also one that another VM has found.
	Store   feed.Store
	Topics  func(Events) []feed.Topic
	EraSeen func(era uint64)
	// Journal and Orders are used to change the roles of engines; Orders also identifies the processes
	// of engines. Its second parameter records what engines announce in their answers.
	Journal roles.Journal
	Orders  func(client *upstream.Client, endpoints *endpoint.Registry) EngineCalls
	// Archive keeps verdicts on parts of prompts on which engines crash; nil if nothing
	// does.
	Archive quarantine.Archive
	// Builds are the history of the builds of engines and where it is kept.
	Builds BuildOptions
	// Origins keeps which build began a stream; nil if nothing does.
	Origins origin.Archive
	// HandoverDelay is the period within which two VMs may not both give orders to
	// engines.
	HandoverDelay time.Duration
	// Clock also advances while the machine is suspended.
	Clock func() time.Time
	// Vars are the adapter's own metrics by group.
	Vars map[string]*expvar.Map
	// Background functions run from the start of the process until it stops.
	Background []func(ctx context.Context)
}

// EngineCalls are the calls to engines besides those for requests.
type EngineCalls interface {
	roles.Orders
	relay.Incarnations
}

// BuildOptions are the settings of the history of builds.
type BuildOptions struct {
	// History is updated by the adapter with registrations and records.
	History *builds.History
	// Plain is the history of services without engines, of which no records are kept. It is updated with registrations.
	Plain *builds.History
	// Store keeps the records, Topic is the name of their topic.
	Store builds.Store
	Topic string
	// FirstStart is set if this process started with the whole deployment for the first time.
	FirstStart bool
	// Started returns the time at which a process with an incarnation started.
	Started func(incarnation uint64) time.Time
}

// Ingress serves callers in the adapter's wire format.
type Ingress interface {
	http.Handler
	// ServeReadiness answers the platform's readiness checks.
	ServeReadiness(w http.ResponseWriter, r *http.Request)
	// Drain makes readiness checks fail and closes keep-alive connections.
	Drain()
}

// Events are the callbacks by which an adapter updates the node.
type Events struct {
	// EntryVMs replaces the list of entry VMs that have announced themselves.
	EntryVMs func([]fleet.EntryVM)
}

const (
	startTimeout = 10 * time.Second
	// stopMargin is the part of the grace period reserved for stopping background
	// work.
	stopMargin = 400 * time.Millisecond
)

// Node is the process of one entry VM.
type Node struct {
	app     *fx.App
	metrics *metrics.Registry
}

// New wires a node; Start starts it.
func New(options Options) *Node {
	n := &Node{}
	n.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(options.Grace),
		fx.Supply(&options),
		peersModule,
		relayModule,
		serversModule,
		fx.Populate(&n.metrics),
	)
	return n
}

// Metrics returns the node's counters.
func (n *Node) Metrics() *metrics.Registry { return n.metrics }

// Start starts the node. It returns once all listeners are open.
func (n *Node) Start(ctx context.Context) error {
	if err := n.app.Err(); err != nil {
		return err
	}
	return n.app.Start(ctx)
}

// Stop shuts the node down gracefully.
func (n *Node) Stop(ctx context.Context) error { return n.app.Stop(ctx) }

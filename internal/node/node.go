// Package node assembles the process of an entry VM that relays requests
// unchanged to endpoints which register themselves.
//
// The wire formats towards callers, endpoints and the platform are given to it
// by an adapter. Order of a graceful shutdown: readiness goes off; requests are
// served until the platform sends none any more; the listener closes and
// requests in flight finish; background work ends.
package node

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/relay"
	"github.com/ospreyshed/ospreyshed/internal/roles"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// Options are the settings of a Node.
type Options struct {
	// VM, Zone and Incarnation name this process.
	VM, Zone    string
	Incarnation uint64
	// CallerAddress, ReadinessAddress, PeerAddress and MetricsAddress are listened on.
	CallerAddress, ReadinessAddress, PeerAddress, MetricsAddress string
	// Seeds are addresses of other entry VMs, some of which may be stale.
	Seeds []string
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the repeats of a service over all entry VMs.
	RetryRatio, RetrySlack float64
	// Fleet is the state that the adapter keeps up to date.
	Fleet   *fleet.Store
	Dialect relay.Dialect
	Log     *decisionlog.Log
	// Ingress makes the adapter's handler of callers.
	Ingress func(*relay.Relay) Ingress
	// Journal and Orders let this process change the roles of engines.
	Journal roles.Journal
	Orders  func(*upstream.Client) roles.Orders
	// HandoverDelay is the time within which two VMs may not both give orders.
	HandoverDelay time.Duration
	// Clock also counts the time in which the machine stood still.
	Clock func() time.Time
	// Vars are the adapter's own values by group.
	Vars map[string]*expvar.Map
	// Background runs from the start to the stop of the process.
	Background []func(ctx context.Context, events Events)
}

// Ingress serves callers in the adapter's wire format.
type Ingress interface {
	http.Handler
	// ServeReadiness answers whether callers may be sent here.
	ServeReadiness(w http.ResponseWriter, r *http.Request)
	// Drain turns readiness off and has kept connections closed.
	Drain()
}

// Events are what an adapter tells the node.
type Events struct {
	// EntryVMs takes the processes of this kind that have announced themselves.
	EntryVMs func([]fleet.EntryVM)
}

const (
	startTimeout = 10 * time.Second
	// stopMargin is kept of the grace for the end of background work.
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

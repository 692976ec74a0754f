package daemon

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/canceller"
	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/forward"
	"github.com/ospreyshed/ospreyshed/internal/gateway"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/membership/swim"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/reservation"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// pathModule provides the request path, from the gateway to the engines.
var pathModule = fx.Module("path",
	fx.Provide(
		newPool,
		newEndpoints,
		fx.Annotate(
			func(r *endpoint.Registry) func(vmlist.List) { return r.ApplyList },
			fx.ResultTags(`group:"vmlist"`),
		),
		newCanceller,
		newReservation,
		func(s *reservation.Service) completion.Reserver { return s },
		asPeerHandler(func(s *reservation.Service) peer.Handler { return s.Handler() }),
		newRunner,
		newForwarder,
		newGateway,
	),
	fx.Invoke(runLoadPoller),
)

func newPool(lifecycle fx.Lifecycle, store *configuration.Store, registry *metrics.Registry) *openai.Pool {
	pool := openai.NewPool(store)
	registry.Mount("engine_connections", metrics.Fields(&pool.Upstream.Counters))
	background.Run(lifecycle, pool.Run)
	return pool
}

func newEndpoints(events timeline.Recorder, registry *metrics.Registry) *endpoint.Registry {
	endpoints := endpoint.NewRegistry(events)
	registry.Mount("endpoint", metrics.Fields(&endpoints.Counters))
	return endpoints
}

// flushTimeout limits the wait for cancels and outcomes at a shutdown.
const flushTimeout = 10 * time.Second

func newCanceller(lifecycle fx.Lifecycle, pool *openai.Pool, events timeline.Recorder, registry *metrics.Registry) *canceller.Canceller {
	c := canceller.New(pool, events)
	registry.Mount("canceller", metrics.Fields(&c.Counters))
	onStop(lifecycle, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		c.Close(ctx)
	})
	return c
}

func newReservation(lifecycle fx.Lifecycle, view membership.View, dialer peer.Dialer, store *configuration.Store, endpoints *endpoint.Registry, leases *lease.Manager, registry *metrics.Registry) *reservation.Service {
	service := reservation.New(reservation.Params{
		View:   view,
		Dialer: dialer,
		Fleet:  func() reservation.Fleet { return fleetOf(store) },
		Conditions: func(name string) reservation.Condition {
			leaving := endpoints.Leaving(name) || leases.Excluded(name)
			return reservation.Condition{Leaving: leaving, Ejected: !leaving && !endpoints.Usable(name)}
		},
	})
	registry.Mount("reservation", metrics.Fields(service.Counters()))
	registry.Mount("scheduling", service.SchedulingVars())
	background.Run(lifecycle, service.Run)
	return service
}

// fleetOf returns the configuration in force, an empty one while there is none.
func fleetOf(store *configuration.Store) reservation.Fleet {
	if snapshot := store.Snapshot(); snapshot != nil {
		return snapshot
	}
	return emptyFleet{}
}

// emptyFleet is the fleet of a VM without a configuration.
type emptyFleet struct{}

func (emptyFleet) Known() bool                                                          { return false }
func (emptyFleet) Engines(string, configuration.Role, string) []*configuration.Endpoint { return nil }
func (emptyFleet) Model(string) (*configuration.Model, bool)                            { return nil, false }
func (emptyFleet) Models() []string                                                     { return nil }
func (emptyFleet) EntryVMs(string) []string                                             { return nil }
func (emptyFleet) Link(string, string) (*configuration.Link, bool)                      { return nil, false }

// runnerParams are the dependencies of the completion path.
type runnerParams struct {
	fx.In
	Identity  Identity
	Reserver  completion.Reserver
	Pool      *openai.Pool
	Canceller *canceller.Canceller
	Endpoints *endpoint.Registry
	Store     *configuration.Store
	Events    timeline.Recorder
	Metrics   *metrics.Registry
}

func newRunner(p runnerParams) *completion.Runner {
	runner := completion.New(completion.Options{
		VM:            p.Identity.VM,
		Incarnation:   p.Identity.Incarnation,
		Zone:          p.Identity.Zone,
		Reserver:      p.Reserver,
		Engines:       p.Pool,
		Canceller:     p.Canceller,
		Endpoints:     p.Endpoints,
		Configuration: p.Store,
		Events:        p.Events,
	})
	p.Metrics.Mount("completion", metrics.Fields(&runner.Counters))
	return runner
}

func newForwarder(lifecycle fx.Lifecycle, id Identity, endpoints *endpoint.Registry, store *configuration.Store, events timeline.Recorder, registry *metrics.Registry) *forward.Forwarder {
	forwarder := forward.New(id.Zone, endpoints, store, events)
	registry.Mount("forward", metrics.Fields(&forwarder.Counters))
	registry.Mount("plain_connections", metrics.Fields(&forwarder.Upstream.Counters))
	background.Run(lifecycle, forwarder.Run)
	return forwarder
}

// gatewayParams are the dependencies of the gateway.
type gatewayParams struct {
	fx.In
	Identity  Identity
	Settings  *settings.Settings
	Runner    *completion.Runner
	Forwarder *forward.Forwarder
	Keys      *keys
	Store     *configuration.Store
	Members   *swim.Service
	Events    timeline.Recorder
	Metrics   *metrics.Registry
}

func newGateway(p gatewayParams) *gateway.Gateway {
	g := gateway.New(gateway.Options{
		VM:            p.Identity.VM,
		Incarnation:   p.Identity.Incarnation,
		Completer:     p.Runner,
		Forwarder:     p.Forwarder,
		Claims:        p.Keys,
		Answers:       p.Keys,
		Configuration: p.Store,
		Joined:        p.Members.Joined,
		Events:        p.Events,
		BodyBytes:     p.Settings.Limits.BodyBytes,
		WriteTimeout:  p.Settings.Limits.WriteTimeout.D(),
	})
	p.Metrics.Mount("gateway", metrics.Fields(&g.Counters))
	return g
}

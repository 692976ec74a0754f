package daemon

import (
	"context"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/order"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// ordersModule provides the leases and runs the reconciler, which sends orders to
// engines.
var ordersModule = fx.Module("orders",
	fx.Provide(newLeases),
	fx.Invoke(runReconciler),
)

// leaseParams are the dependencies of the lease manager.
type leaseParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Log       logservice.Service
	Appender  *logservice.Appender
	View      membership.View
	Events    timeline.Recorder
	Metrics   *metrics.Registry
}

func newLeases(p leaseParams) *lease.Manager {
	leases := lease.NewManager(lease.Dependencies{
		Log:      p.Log,
		Appender: p.Appender,
		View:     p.View,
		Events:   p.Events,
	}, lease.DefaultTerms())
	p.Metrics.Mount("lease", metrics.Fields(&leases.Counters))
	background.Run(p.Lifecycle, func(ctx context.Context) { _ = leases.Run(ctx) })
	return leases
}

// reconcilerParams are the dependencies of the reconciler, which stops before the
// lease manager does.
type reconcilerParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Identity  Identity
	Leases    *lease.Manager
	Pool      *openai.Pool
	Store     *configuration.Store
	Events    timeline.Recorder
	Metrics   *metrics.Registry
}

func runReconciler(p reconcilerParams) {
	reconciler := order.New(order.Options{
		Zone:          p.Identity.Zone,
		Leases:        p.Leases,
		Engines:       func(name string) (order.Engine, bool) { return orderedEngine(p.Pool, name) },
		Configuration: p.Store,
		Events:        p.Events,
	})
	p.Metrics.Mount("order", metrics.Fields(&reconciler.Counters))
	background.Run(p.Lifecycle, func(ctx context.Context) { _ = reconciler.Run(ctx) })
}

// orderedEngine returns the client of an engine if its adapter supports orders.
func orderedEngine(pool *openai.Pool, name string) (order.Engine, bool) {
	client, found := pool.Engine(name)
	if !found {
		return nil, false
	}
	ordered, ok := client.(order.Engine)
	return ordered, ok
}

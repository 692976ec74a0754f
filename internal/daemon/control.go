package daemon

import (
	"context"
	"math/rand/v2"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/configuration/peersync"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/timeline/timelinerpc"
)

// controlModule provides the configuration store, the registries of idempotency keys
// and the handlers that serve them and the timeline to peers.
var controlModule = fx.Module("control",
	fx.Provide(
		newStore,
		newKeys,
		asPeerHandler(timelinerpc.NewHandler),
		asPeerHandler(func(store *configuration.Store, view membership.View) peer.Handler {
			return peersync.NewServer(store, view).Handler()
		}),
		asPeerHandler(func(k *keys) peer.Handler { return k.claimHandler() }),
		asPeerHandler(func(k *keys) peer.Handler { return k.answerHandler() }),
	),
	fx.Invoke(runReappender, runSyncer, func(*vmlist.Poller) {}),
)

// asPeerHandler annotates the constructor of a peer.Handler, so that the listener
// for peers serves the handler.
func asPeerHandler(constructor any) any {
	return fx.Annotate(constructor, fx.ResultTags(`group:"peer"`))
}

// newStore returns the configuration store, kept up to date from the log.
func newStore(lifecycle fx.Lifecycle, log logservice.Service, events timeline.Recorder, registry *metrics.Registry) *configuration.Store {
	store := configuration.NewStore(events)
	tailer := logservice.NewTailer(log, logservice.TailerOptions{Stream: configuration.Stream})
	registry.Mount("configuration", store.Vars())
	registry.Mount("log_tail", tailer.Vars())
	background.Run(lifecycle, func(ctx context.Context) { _ = tailer.Run(ctx, store.ApplyBatch) })
	return store
}

func runReappender(lifecycle fx.Lifecycle, store *configuration.Store, view membership.View, appender *logservice.Appender, registry *metrics.Registry) {
	reappender := configuration.NewReappender(store, view, appender)
	registry.Mount("configuration_reappend", reappender.Vars())
	background.Run(lifecycle, func(ctx context.Context) { _ = reappender.Run(ctx) })
}

func runSyncer(lifecycle fx.Lifecycle, store *configuration.Store, view membership.View, dialer peer.Dialer, registry *metrics.Registry) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	syncer := peersync.NewSyncer(store, view, dialer, random)
	registry.Mount("configuration_sync", syncer.Vars())
	background.Run(lifecycle, func(ctx context.Context) { _ = syncer.Run(ctx) })
}

package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// keys holds the registries of idempotency keys. Their periods are taken from the
// configuration, so they are created once a configuration is in force. Later changes
// of these periods take effect when the daemon is started again.
type keys struct {
	store   *configuration.Store
	deps    keyDependencies
	current atomic.Pointer[registries]

	mu      sync.Mutex
	stopped bool
}

type registries struct {
	claims  *claim.Claims
	answers *claim.AnswerRegistry
}

type keyDependencies struct {
	fx.In
	Log    logservice.Service
	View   membership.View
	Dialer peer.Dialer
	Events timeline.Recorder
	// Metrics gets the counters when the registries are created.
	Metrics *metrics.Registry
}

func newKeys(lifecycle fx.Lifecycle, store *configuration.Store, deps keyDependencies) *keys {
	k := &keys{store: store, deps: deps}
	onStop(lifecycle, func(context.Context) { k.stop() })
	return k
}

// get returns the registries, nil while there is no configuration or once the
// daemon has stopped.
func (k *keys) get() *registries {
	if r := k.current.Load(); r != nil {
		return r
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current.Load() == nil && !k.stopped && k.store.Snapshot() != nil {
		k.createRegistries()
	}
	return k.current.Load()
}

func (k *keys) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	if r := k.current.Swap(nil); r != nil {
		r.claims.Stop()
		r.answers.Stop()
	}
}

// createRegistries creates the registries from the configuration in force.
func (k *keys) createRegistries() {
	periods := claim.SettingsFrom(k.store.Snapshot().Fleet().Times)
	peers := claim.NewConnectPeers(k.deps.Dialer)
	claims, err := claim.New(claim.Dependencies{
		Log: k.deps.Log, View: k.deps.View, Peers: peers, Timeline: k.deps.Events,
	}, periods)
	if err != nil {
		return
	}
	answers, err := claim.NewAnswerRegistry(claim.AnswerDependencies{
		View: k.deps.View, Peers: peers, Zones: k.zones,
	}, periods)
	if err != nil {
		claims.Stop()
		return
	}
	k.deps.Metrics.Mount("claim", claims.Metrics())
	k.deps.Metrics.Mount("answers", answers.Metrics())
	k.current.Store(&registries{claims: claims, answers: answers})
}

func (k *keys) zones() []string {
	zones := k.store.Snapshot().Fleet().Zones
	names := make([]string, len(zones))
	for i := range zones {
		names[i] = zones[i].Name
	}
	return names
}

// flush waits until outcomes are recorded or the context ends.
func (k *keys) flush(ctx context.Context) {
	if r := k.current.Load(); r != nil {
		_ = r.claims.Flush(ctx)
		_ = r.answers.Flush(ctx)
	}
}

// Claim implements gateway.Claims.
func (k *keys) Claim(ctx context.Context, key claim.Key) (claim.Decision, error) {
	r := k.get()
	if r == nil {
		return claim.Decision{}, claim.LogUnavailable.New("no configuration yet")
	}
	return r.claims.Claim(ctx, key)
}

// Begin implements gateway.Answers.
func (k *keys) Begin(ctx context.Context, key claim.Key) (claim.AnswerDecision, error) {
	r := k.get()
	if r == nil {
		return claim.AnswerDecision{}, claim.OwnerUnavailable.New("no configuration yet")
	}
	return r.answers.Begin(ctx, key)
}

// claimHandler serves claims to peers.
func (k *keys) claimHandler() peer.Handler {
	return k.handlerOnceReady((&claim.Claims{}).Peer().Path, func(r *registries) http.Handler { return r.claims.Peer().Handler })
}

// answerHandler serves the answer registry to peers.
func (k *keys) answerHandler() peer.Handler {
	return k.handlerOnceReady((&claim.AnswerRegistry{}).Peer().Path, func(r *registries) http.Handler { return r.answers.Peer().Handler })
}

// handlerOnceReady returns a handler that answers 503 until the registries exist.
func (k *keys) handlerOnceReady(path string, handlerOf func(*registries) http.Handler) peer.Handler {
	serve := func(w http.ResponseWriter, req *http.Request) {
		r := k.get()
		if r == nil {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
			return
		}
		handlerOf(r).ServeHTTP(w, req)
	}
	return peer.Handler{Path: path, Handler: http.HandlerFunc(serve)}
}

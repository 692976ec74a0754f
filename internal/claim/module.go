package claim

import (
	"context"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Zones returns the names of the configured availability zones.
type Zones func() []string

// Module provides Claims and AnswerRegistry and their peer handlers. It
// requires Settings, Zones, a logservice.Service, a membership.View, a
// peer.Dialer and a timeline.Recorder. When the app stops, outcomes are
// recorded before the components stop.
var Module = fx.Module("claim",
	fx.Provide(
		NewConnectPeers,
		provideClaims,
		provideAnswers,
		fx.Annotate((*Claims).Peer, fx.ResultTags(`group:"peer"`)),
		fx.Annotate((*AnswerRegistry).Peer, fx.ResultTags(`group:"peer"`)),
	),
)

func provideClaims(
	lifecycle fx.Lifecycle,
	settings Settings,
	log logservice.Service,
	view membership.View,
	peers *ConnectPeers,
	recorder timeline.Recorder,
) (*Claims, error) {
	c, err := New(Dependencies{Log: log, View: view, Peers: peers, Timeline: recorder}, settings)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error { return flushAndStop(ctx, c) }))
	return c, nil
}

func provideAnswers(
	lifecycle fx.Lifecycle,
	settings Settings,
	view membership.View,
	peers *ConnectPeers,
	zones Zones,
) (*AnswerRegistry, error) {
	r, err := NewAnswerRegistry(AnswerDependencies{View: view, Peers: peers, Zones: zones}, settings)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(func(ctx context.Context) error { return flushAndStop(ctx, r) }))
	return r, nil
}

// flusher is a component with background work to flush before it stops.
type flusher interface {
	Flush(ctx context.Context) error
	Stop()
}

// flushAndStop stops a component once its background work is done or the
// context ends.
func flushAndStop(ctx context.Context, f flusher) error {
	defer f.Stop()
	return f.Flush(ctx)
}

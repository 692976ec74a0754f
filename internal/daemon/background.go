package daemon

import (
	"context"

	"go.uber.org/fx"
)

// onStop registers a function to run when the application stops.
func onStop(lifecycle fx.Lifecycle, stop func(ctx context.Context)) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		stop(ctx)
		return nil
	}})
}

package daemon

import (
	"context"

	"go.uber.org/fx"
)

// onStop runs a function at the stop of the application.
func onStop(lifecycle fx.Lifecycle, stop func(ctx context.Context)) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		stop(ctx)
		return nil
	}})
}

package daemon

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// background runs a function from the start of the application to its stop.
func background(lifecycle fx.Lifecycle, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

// onStop runs a function at the stop of the application.
func onStop(lifecycle fx.Lifecycle, stop func(ctx context.Context)) {
	lifecycle.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		stop(ctx)
		return nil
	}})
}

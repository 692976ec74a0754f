// Package background runs work beside an fx application and waits within it.
package background

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
)

// Run runs a function from the start of an application to its stop.
func Run(lifecycle fx.Lifecycle, run func(ctx context.Context)) {
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

// Pause waits for a time unless ctx ends first.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

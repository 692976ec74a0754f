// Package background runs background goroutines within the lifecycle of an fx
// application.
package background

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
)

// Run runs a function in a goroutine from the start of an application to its stop.
// At the stop its context is cancelled, and the stop waits until it returns.
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

// Pause sleeps for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

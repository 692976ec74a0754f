// Package ctxtime waits for durations that a context may cut short.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

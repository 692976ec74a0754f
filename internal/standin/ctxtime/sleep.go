// Package ctxtime provides a sleep that a context can interrupt.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done and reports whether d has elapsed.
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

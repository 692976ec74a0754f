package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/ospreyshed/ospreyshed/internal/background"
)

// Bounds of the delay between attempts.
const (
	outboxFirstRetry = 50 * time.Millisecond
	outboxLastRetry  = 5 * time.Second
)

// outbox runs tasks that no caller waits for. Each task is retried with
// exponential backoff until it succeeds or its key's window has passed. The
// number of tasks is bounded by the calls in flight and those that were refused
// in doubt.
type outbox struct {
	ctx      context.Context
	settings *Settings
	counters *counters
	running  sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	waiting int
	// idle is closed when waiting falls to 0; nil if no flush is in progress.
	idle chan struct{}
}

func newOutbox(ctx context.Context, settings *Settings, counters *counters) *outbox {
	return &outbox{ctx: ctx, settings: settings, counters: counters}
}

// add starts a task in the background; try reports whether it succeeded. After
// stop the task is dropped.
func (o *outbox) add(try func(context.Context) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		o.counters.dropped.Add(1)
		return
	}
	o.waiting++
	o.running.Go(func() {
		o.retry(try)
		o.remove()
	})
}

// retry runs a task until it succeeds, its key's window has passed or the
// context ends.
func (o *outbox) retry(try func(context.Context) bool) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = outboxFirstRetry
	delays.MaxInterval = outboxLastRetry
	limit := time.Now().Add(o.settings.KeyWindow + o.settings.ClockSkew)
	for o.ctx.Err() == nil && time.Now().Before(limit) {
		if o.tryOnce(try) {
			return
		}
		background.Pause(o.ctx, delays.NextBackOff())
	}
	o.counters.dropped.Add(1)
}

func (o *outbox) tryOnce(try func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(o.ctx, o.settings.ClaimTimeout)
	defer cancel()
	return try(ctx)
}

func (o *outbox) remove() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting--
	if o.waiting == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
}

// flush waits until no task is left or the context ends.
func (o *outbox) flush(ctx context.Context) error {
	idle := o.idleSignal()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleSignal returns a channel that is closed when the outbox becomes empty, or
// nil if it is already empty.
func (o *outbox) idleSignal() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == 0 {
		return nil
	}
	if o.idle == nil {
		o.idle = make(chan struct{})
	}
	return o.idle
}

// stop rejects further tasks and waits for the running ones; the context must
// have ended.
func (o *outbox) stop() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.running.Wait()
}

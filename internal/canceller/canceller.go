// Package canceller makes sure that engines release the resources of an abandoned
// attempt: it retries each cancel with exponential backoff until the engine
// acknowledges it or is known to be gone.
package canceller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const (
	callTimeout  = 2 * time.Second
	initialDelay = 20 * time.Millisecond
	maxDelay     = 2 * time.Second
	// maxRetryDuration bounds how long a cancel is retried. An engine that is
	// unreachable for longer has dropped the attempt together with its connection.
	maxRetryDuration = time.Minute
)

// Clients finds engine clients by endpoint name.
type Clients interface {
	Engine(name string) (engine.Client, bool)
}

// Counters count cancels. The zero value is ready to use.
type Counters struct {
	// Sent counts calls, Confirmed acknowledged cancels, Abandoned cancels that
	// were never acknowledged.
	Sent, Confirmed, Abandoned atomic.Int64
	// Pending is the number of cancels not yet acknowledged.
	Pending atomic.Int64
}

// Canceller cancels attempts in the background. It is safe for concurrent use.
type Canceller struct {
	// Counters are exported as metrics.
	Counters Counters

	clients Clients
	events  timeline.Recorder
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// New returns a canceller that finds engines through clients.
func New(clients Clients, events timeline.Recorder) *Canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &Canceller{clients: clients, events: events, ctx: ctx, stop: stop}
}

// Cancel cancels an attempt on the named engines and calls done once each engine has
// acknowledged or its retries have ended. It returns immediately. Empty names are
// skipped.
func (c *Canceller) Cancel(id engine.AttemptID, request string, names []string, done func()) {
	c.Counters.Pending.Add(1)
	c.running.Go(func() {
		defer c.Counters.Pending.Add(-1)
		var calls sync.WaitGroup
		for _, name := range names {
			if name != "" {
				calls.Go(func() { c.cancelOn(id, request, name) })
			}
		}
		calls.Wait()
		done()
	})
}

// cancelOn retries the cancel on one engine until it is acknowledged.
func (c *Canceller) cancelOn(id engine.AttemptID, request, name string) {
	c.events.Record(timeline.CancelSent, request, name)
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialDelay
	policy.MaxInterval = maxDelay
	_, err := backoff.Retry(c.ctx, func() (struct{}, error) { return struct{}{}, c.call(id, name) },
		backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(maxRetryDuration))
	if err != nil {
		c.Counters.Abandoned.Add(1)
		return
	}
	c.Counters.Confirmed.Add(1)
	c.events.Record(timeline.CancelConfirmed, request, name)
}

// call sends one cancel. A response that reports held memory is not an
// acknowledgement.
func (c *Canceller) call(id engine.AttemptID, name string) error {
	client, found := c.clients.Engine(name)
	if !found {
		return backoff.Permanent(errUnknownEngine.New("%s", name))
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	c.Counters.Sent.Add(1)
	result, err := client.Cancel(ctx, id)
	if err != nil {
		return err
	}
	if result.HeldPieces > 0 {
		return errStillHeld.New("%s holds %d pieces", name, result.HeldPieces)
	}
	return nil
}

// Close waits for pending cancels until the context ends, then abandons those that
// are still pending.
func (c *Canceller) Close(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		c.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	c.stop()
	<-finished
}

var namespace = errorx.NewNamespace("canceller").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	errUnknownEngine = namespace.NewType("unknown-engine")
	errStillHeld     = namespace.NewType("still-held")
)

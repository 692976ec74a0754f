package completion

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/prefix"
)

const (
	// textBytesPerToken and minTextBytes bound the whole text of an answer, which is kept so that another engine can
	// resume it. Single tokens may be longer than the bound for one.
	textBytesPerToken = 64
	minTextBytes      = 4 << 10
)

// maxTextBytes returns the longest text of an answer of a number of tokens.
func maxTextBytes(tokens int) int { return minTextBytes + textBytesPerToken*tokens }

// prefillLimit bounds a prefill's duration, based on the model's prefill rate.
func (a *attempt) prefillLimit() time.Duration {
	model, found := a.options.Configuration.Snapshot().Model(a.request.Class.Model)
	if !found || model.PrefillTokensPerSecond <= 0 {
		return prefillFloor
	}
	seconds := float64(prefix.Tokens(len(a.request.PromptText))) / model.PrefillTokensPerSecond
	return prefillFloor + stallFactor*time.Duration(seconds*float64(time.Second))
}

// transferLimit bounds a KV transfer's duration, based on the decode engine's link.
func (a *attempt) transferLimit() time.Duration {
	snapshot := a.options.Configuration.Snapshot()
	model, found := snapshot.Model(a.request.Class.Model)
	if !found {
		return a.options.StallFloor
	}
	decode, found := snapshot.Endpoint(a.grant.Decode)
	if !found || decode.LinkBytesPerSecond <= 0 {
		return a.options.StallFloor
	}
	bytes := float64(model.KVBytesPerToken) * float64(a.promptTokens)
	seconds := bytes / float64(decode.LinkBytesPerSecond)
	return a.options.StallFloor + stallFactor*time.Duration(seconds*float64(time.Second))
}

// tokenLimit bounds the time between two tokens.
func (a *attempt) tokenLimit() time.Duration {
	return max(a.options.StallFloor, tokenStallFactor*a.request.Class.Targets.BetweenTokens.D())
}

// watchdog cancels a phase that makes no progress.
type watchdog struct {
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
}

// newWatchdog returns a context that is cancelled when the limit passes without a
// reset.
func newWatchdog(ctx context.Context, limit time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(limit, w.expire)
	return ctx, w
}

func (w *watchdog) expire() {
	w.expired.Store(true)
	w.cancel()
}

func (w *watchdog) reset(limit time.Duration) { w.timer.Reset(limit) }

func (w *watchdog) fired() bool { return w.expired.Load() }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// phaseError returns the error of a phase, wrapped as stalled if the watchdog
// cancelled the phase.
func (w *watchdog) phaseError(err error) error {
	if !w.fired() {
		return err
	}
	return stalled.Wrap(err, "no progress within the limit")
}

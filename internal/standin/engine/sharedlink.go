package engine

import (
	"context"
	"time"
)

// Link is a link that the imports of several engines share equally, for example
// the one between two availability zones. It is safe for concurrent use.
type Link struct {
	shared link
	delay  time.Duration
}

// NewLink returns a link with a rate, 0 for no limit, and a one-way delay.
func NewLink(bytesPerSecond int64, delay time.Duration) *Link {
	return &Link{shared: link{rate: float64(bytesPerSecond)}, delay: delay}
}

// Close stops the link's timer. Transfers in flight do not complete.
func (l *Link) Close() { l.shared.close() }

// LinkSelector returns the shared link for imports from a prefill engine's address,
// an IP address and port, or nil if only the decode engine's own link is used.
type LinkSelector func(address string) *Link

// SetLinkSelector sets the selector for the engine's imports. It must be called
// before the first import.
func (e *Engine) SetLinkSelector(selector LinkSelector) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.selectLink = selector
}

// linkFrom returns the shared link for imports from an address, nil if there is
// none.
func (e *Engine) linkFrom(address string) *Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.selectLink == nil {
		return nil
	}
	return e.selectLink(address)
}

// transferKV waits until a KV cache has been transferred over the engine's own link
// and, concurrently, over the shared one. It returns false if the attempt ends
// first.
func (e *Engine) transferKV(ctx context.Context, a *attempt, bytes int64, shared *Link) bool {
	if shared != nil && !e.delay(ctx, a, shared.delay) {
		return false
	}
	ownTransfer := e.link.start(bytes)
	defer e.link.stop(ownTransfer)
	if shared != nil {
		sharedTransfer := shared.shared.start(bytes)
		defer shared.shared.stop(sharedTransfer)
		if !await(ctx, e, a, sharedTransfer.done) {
			return false
		}
	}
	return await(ctx, e, a, ownTransfer.done)
}

// delay waits for a duration. It returns false if the attempt ends first.
func (e *Engine) delay(ctx context.Context, a *attempt, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return await(ctx, e, a, timer.C)
}

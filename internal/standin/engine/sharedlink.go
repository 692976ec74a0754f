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

// Close stops the link's timer. Transfers that run do not end by themselves.
func (l *Link) Close() { l.shared.close() }

// LinkSelector returns the link on the way from a prefill engine's address, an IP
// number and port, or nil if only the decode engine's own link counts.
type LinkSelector func(address string) *Link

// SetLinkSelector sets the router for the engine's imports. Call it before the first one.
func (e *Engine) SetLinkSelector(selector LinkSelector) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.selectLink = selector
}

// linkFrom returns the shared link from an address, nil if there is none.
func (e *Engine) linkFrom(address string) *Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.selectLink == nil {
		return nil
	}
	return e.selectLink(address)
}

// transferKV waits until a KV cache has passed the engine's own link and the shared
// one, both of which work at the same time. It returns false if the attempt
// ended before.
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

// delay waits for a duration. It returns false if the attempt ended before.
func (e *Engine) delay(ctx context.Context, a *attempt, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return await(ctx, e, a, timer.C)
}

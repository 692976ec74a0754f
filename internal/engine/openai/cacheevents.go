package openai

import (
	"context"
	"strconv"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/prefix"
)

// cacheEventsResponse is an engine's page of prefix cache events.
type cacheEventsResponse struct {
	Next   uint64           `json:"next"`
	Events []cacheEventWire `json:"events"`
}

type cacheEventWire struct {
	Seq         uint64   `json:"seq"`
	Type        string   `json:"type"`
	BlockHashes []string `json:"block_hashes"`
}

// CacheEvents returns the prefix cache events from a sequence number on. If Next of
// the result is below from, the engine was restarted.
func (c *Client) CacheEvents(ctx context.Context, from uint64) (engine.CacheEvents, error) {
	var response cacheEventsResponse
	if err := c.get(ctx, "/v1/cache/events?from="+strconv.FormatUint(from, 10), &response, "next"); err != nil {
		return engine.CacheEvents{}, err
	}
	page := engine.CacheEvents{Next: response.Next}
	expected := from
	for _, e := range response.Events {
		page.Gap = page.Gap || e.Seq != expected
		expected = e.Seq + 1
		event := engine.CacheEvent{Kind: engine.CacheEventKind(e.Type)}
		for _, text := range e.BlockHashes {
			hash, err := prefix.ParseHex(text)
			if err != nil {
				return engine.CacheEvents{}, engine.Unavailable.Wrap(err, "prefix cache event %d", e.Seq)
			}
			event.Blocks = append(event.Blocks, hash)
		}
		page.Events = append(page.Events, event)
	}
	page.Gap = page.Gap || expected != response.Next
	return page, nil
}

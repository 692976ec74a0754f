package daemon

import (
	"context"
	"sync"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// cacheReader reads the prefix cache events of one engine.
type cacheReader interface {
	CacheEvents(ctx context.Context, from uint64) (engine.CacheEvents, error)
}

// cacheEventPositions holds the next sequence number to read from each engine.
type cacheEventPositions struct {
	mu   sync.Mutex
	next map[string]uint64
}

func (c *cacheEventPositions) get(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next[name]
}

func (c *cacheEventPositions) set(name string, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next[name] = next
}

// pollCacheEvents fetches the new prefix cache events of a prefill engine and passes
// them to the reservation service.
func (p *loadPoller) pollCacheEvents(ctx context.Context, e *configuration.Endpoint) {
	client, found := p.pool.Engine(e.Name)
	if !found {
		return
	}
	reader, ok := client.(cacheReader)
	if !ok {
		return
	}
	from := p.positions.get(e.Name)
	page, err := reader.CacheEvents(ctx, from)
	if err != nil {
		return
	}
	p.positions.set(e.Name, page.Next)
	restarted := page.Next < from
	events := make([]scheduling.CacheEvent, 0, len(page.Events)+1)
	if restarted {
		events = append(events, scheduling.CacheEvent{Kind: scheduling.CacheCleared})
	}
	for _, event := range page.Events {
		events = append(events, scheduling.CacheEvent{Kind: scheduling.CacheEventKind(event.Kind), Blocks: event.Blocks})
	}
	if len(events) > 0 || page.Gap {
		p.service.CacheEvents(e.Name, events, page.Gap && !restarted)
	}
}

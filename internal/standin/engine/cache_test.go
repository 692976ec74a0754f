package engine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// block returns the text of one block of the prefix cache.
func block(letter string) string { return strings.Repeat(letter, blockBytes) }

func TestBlockHashesAreChained(t *testing.T) {
	first := fmt.Sprintf("%016x", xxhash.Sum64String(block("a")))
	second := fmt.Sprintf("%016x", xxhash.Sum64String(first+block("b")))
	assert.DeepEqual(t, BlockHashes(block("a")+block("b")+"rest"), []string{first, second})
}

func TestCachedPrefixIsNotComputedAgain(t *testing.T) {
	p := startPair(t, unchanged)
	p.runPrefill("vm-1.1.1.1", block("a")+block("b"))
	response := p.runPrefill("vm-1.1.2.1", block("a")+block("c"))
	assert.Equal(t, response.Usage.PromptTokens, 2*TokensPerBlock)
	assert.Equal(t, response.Usage.Details.CachedTokens, TokensPerBlock)
	assert.Equal(t, p.prefill.Counts().TokensPrefilled, 3*TokensPerBlock)
	// Even if the whole prompt is cached, its last token is computed.
	response = p.runPrefill("vm-1.1.3.1", block("a"))
	assert.Equal(t, response.Usage.Details.CachedTokens, TokensPerBlock-1)
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(2)
	c.store([]string{"1", "2"})
	assert.Equal(t, c.match([]string{"1"}), 1)
	stored, removed := c.store([]string{"3"})
	assert.DeepEqual(t, stored, []string{"3"})
	assert.DeepEqual(t, removed, []string{"2"})
	assert.Equal(t, c.match([]string{"2"}), 0)
}

func TestCacheEventsReportChanges(t *testing.T) {
	p := startPair(t, func(prefill, _ *Options) { prefill.CacheBlocks = 1 })
	p.runPrefill("vm-1.1.1.1", block("a"))
	p.runPrefill("vm-1.1.2.1", block("b"))
	p.prefill.Crash()
	var response eventsResponse
	p.callJSON(p.prefill, http.MethodGet, "/v1/cache/events?from=1", &response)
	a, b := BlockHashes(block("a")), BlockHashes(block("b"))
	assert.DeepEqual(t, response, eventsResponse{Next: 4, Events: []CacheEvent{
		{Seq: 1, Type: EventStored, BlockHashes: b, TokensPerBlock: TokensPerBlock},
		{Seq: 2, Type: EventRemoved, BlockHashes: a, TokensPerBlock: TokensPerBlock},
		{Seq: 3, Type: EventCleared, BlockHashes: []string{}, TokensPerBlock: TokensPerBlock},
	}})
	assert.Equal(t, p.runPrefill("vm-1.1.3.1", block("b")).Usage.Details.CachedTokens, 0)
}

func TestCacheEventsAreDelayedAndMayBeLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RolePrefill)
		o.CacheEventLag = configuration.Duration(time.Second)
		e := New(o)
		defer e.Close()
		add := func(hash string, lost float64) {
			e.SetFaults(Faults{LoseCacheEvents: lost})
			e.mu.Lock()
			defer e.mu.Unlock()
			e.addEvent(EventStored, []string{hash})
		}
		add("0", 0)
		add("1", 1)
		add("2", 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second-1)
		defer cancel()
		assert.Equal(t, len(e.readEvents(ctx, 0).Events), 0)
		response := e.readEvents(t.Context(), 0)
		assert.Equal(t, len(response.Events), 2)
		assert.Equal(t, response.Events[1].Seq, uint64(2))
		assert.Equal(t, response.Next, uint64(3))
	})
}

package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// TestNothingIsHeldAfterConcurrentWork runs many attempts, some of which are
// cancelled or closed at random stages, while the engine crashes occasionally. It
// checks that each complete answer belongs to its request and that all memory is
// freed.
func TestNothingIsHeldAfterConcurrentWork(t *testing.T) {
	p := startPair(t, func(prefill, decode *Options) {
		prefill.QueueLimit, decode.QueueLimit = 50, 50
		decode.Slots = 4
		decode.MemoryPieces = 30
		prefill.KVRetention = configuration.Duration(50 * time.Millisecond)
	})
	var group sync.WaitGroup
	for worker := range uint64(8) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, worker))
			for request := range 20 {
				p.runRequest(random, fmt.Sprintf("vm-%d.1.%d.1", worker, request))
			}
		})
	}
	group.Wait()
	for _, server := range []*Server{p.prefill, p.decode} {
		eventually(t, server.Engine, "nothing held", func(c Counts) bool {
			return c.PiecesHeld == 0 && c.Active+c.Importing+c.Queued+c.Kept == 0
		})
	}
	assert.Assert(t, p.decode.Counts().AnswersFinished > 0)
}

// runRequest runs a request and abandons it after a random time.
func (p *pair) runRequest(random *rand.Rand, id string) {
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Duration(random.IntN(100))*time.Millisecond)
	defer cancel()
	switch random.IntN(10) {
	case 0:
		p.decode.Crash()
	case 1:
		p.cancel(p.decode, id)
	}
	prefilled, ok := p.tryPrefill(ctx, id)
	if !ok {
		return
	}
	response, err := p.post(ctx, p.decode, "/v1/completions", id, decodeCall(id, prefilled.KV))
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if events, done := readEvents(p.t, response.Body); done {
		assert.Check(p.t, text(events) == NewAnswer(id, Range{Min: 20, Max: 40}, 0).Text())
	}
}

func (p *pair) tryPrefill(ctx context.Context, id string) (prefilled prefillResponse, ok bool) {
	response, err := p.post(ctx, p.prefill, "/v1/completions", id, prefillCall(id))
	if err != nil {
		return prefilled, false
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&prefilled)
	return prefilled, err == nil && response.StatusCode == http.StatusOK
}

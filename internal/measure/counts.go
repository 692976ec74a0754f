package measure

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/standin"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

// counts holds the sums of the counters of all stand-ins.
type counts struct {
	// prefilled, cached and wasted are numbers of prompt tokens.
	prefilled, cached, wasted int
	// piecesHeld is the number of pieces of KV cache memory that engines hold.
	piecesHeld int
	// byKey and byRequest count executions of plain services by idempotency key
	// and by request id. An execution of an engine is counted in byRequest, under
	// the request of its attempt.
	byKey, byRequest map[string]int
}

// countSource reads the counters of the stand-ins.
type countSource interface {
	read(ctx context.Context) (counts, error)
}

func newCounts() counts {
	return counts{byKey: make(map[string]int), byRequest: make(map[string]int)}
}

func (c *counts) addEngine(e *engine.Counts) {
	c.prefilled += e.TokensPrefilled
	c.cached += e.TokensCached
	c.wasted += e.PrefillTokensWasted
	c.piecesHeld += e.PiecesHeld
	for attempt, n := range e.Executions {
		c.byRequest[requestOf(attempt)] += n
	}
}

func (c *counts) addPlain(p *plain.Counts) {
	addCounts(c.byKey, p.ByKey)
	addCounts(c.byRequest, p.ByRequest)
}

func addCounts(to, from map[string]int) {
	for name, n := range from {
		to[name] += n
	}
}

// requestOf returns the request id of an attempt id.
func requestOf(attempt string) string {
	return attempt[:max(strings.LastIndexByte(attempt, '.'), 0)]
}

// localCounts reads the counters of the stand-ins of this process.
type localCounts struct{ platform *standin.Platform }

func (l localCounts) read(context.Context) (counts, error) {
	sum := newCounts()
	for _, server := range l.platform.Plain {
		c := server.Counts()
		sum.addPlain(&c)
	}
	for _, server := range l.platform.Engines {
		c := server.Counts()
		sum.addEngine(&c)
	}
	return sum, nil
}

// remoteCounts reads the counters of the stand-ins of a running system over HTTP.
type remoteCounts struct {
	engines, plain []string
}

// countsPath is the path at which stand-ins serve their counters.
const countsPath = "/standin/counts"

func (r remoteCounts) read(ctx context.Context) (counts, error) {
	sum := newCounts()
	for _, address := range r.engines {
		var c engine.Counts
		if err := fetchCounts(ctx, address, &c); err != nil {
			return sum, err
		}
		sum.addEngine(&c)
	}
	for _, address := range r.plain {
		var c plain.Counts
		if err := fetchCounts(ctx, address, &c); err != nil {
			return sum, err
		}
		sum.addPlain(&c)
	}
	return sum, nil
}

func fetchCounts(ctx context.Context, address string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+countsPath, http.NoBody)
	if err != nil {
		return NoCounts.Wrap(err, "%s", address)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return NoCounts.Wrap(err, "%s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return NoCounts.New("%s: %s", address, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return NoCounts.Wrap(err, "%s", address)
	}
	return nil
}

package engine

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/standin/lagged"
)

// Engine simulates a model engine in memory. It is safe for concurrent use.
type Engine struct {
	options    Options
	link       *link
	client     *http.Client
	selectLink LinkSelector

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	counts Counts
	closed bool
	// running tracks the goroutine that decodes the batch.
	running sync.WaitGroup

	state   orderState
	reports lagged.Value[LoadReport]

	attempts       map[string]*attempt
	nextArrivalSeq uint64
	// endCauses maps the ids of recently ended attempts, except rejected ones, to
	// the causes of their end. It includes attempts that were cancelled before
	// they arrived.
	endCauses  *boundedMap[string, cause]
	piecesHeld int

	prefillQueue []*attempt
	prefilling   *attempt
	cache        *prefixCache
	events       *eventLog
	kept         map[uint64]*keptKV
	nextBlock    uint64

	decodeQueue []*attempt
	// slotsUsed is the number of attempts in the stages import and decode.
	slotsUsed int
	batch     []*attempt
	batching  bool
	// stopped is closed by Close.
	stopped chan struct{}
}

// New returns an Engine. An idle Engine runs no goroutines.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:   options,
		link:      &link{rate: float64(options.LinkBytesPerSecond)},
		client:    newKVClient(),
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
		counts:    Counts{Received: make(map[string]int), Executions: make(map[string]int)},
		state:     newOrderState(&options),
		attempts:  make(map[string]*attempt),
		endCauses: newBoundedMap[string, cause](),
		cache:     newPrefixCache(options.CacheBlocks),
		events:    newEventLog(options.CacheEventLag.D()),
		kept:      make(map[uint64]*keptKV),
		nextBlock: 1,
		stopped:   make(chan struct{}),
	}
	e.recordLoad()
	return e
}

// Crash closes all connections and clears slots, memory and caches.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.counts.Crashes++
	e.reset()
}

// reset ends all attempts and clears the queues, the prefix cache and the record of
// ended attempts.
func (e *Engine) reset() {
	// Queues are cleared first, so that no release starts a queued attempt.
	e.prefillQueue, e.decodeQueue = nil, nil
	for _, a := range slices.Collect(maps.Values(e.attempts)) {
		e.release(a, causeCrashed)
	}
	e.endCauses = newBoundedMap[string, cause]()
	e.cache.clear()
	e.addEvent(EventCleared, []string{})
}

// addEvent records a cache event. Events without hashes are skipped, except
// EventCleared.
func (e *Engine) addEvent(kind EventType, hashes []string) {
	if kind != EventCleared && len(hashes) == 0 {
		return
	}
	lossProbability := e.options.CacheEventLoss + e.faults.LoseCacheEvents
	e.events.add(kind, hashes, e.chance(lossProbability))
}

// chance returns true with the given probability.
func (e *Engine) chance(probability float64) bool {
	return probability > 0 && e.random.Float64() < probability
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crashes := faults.Down && !e.faults.Down
	e.faults = faults
	e.link.stall(faults.StallTransfers)
	if crashes {
		e.crash()
	}
	e.recordLoad()
}

// Counts returns the gauges and counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Received = maps.Clone(counts.Received)
	counts.Executions = maps.Clone(counts.Executions)
	counts.OrdersAccepted = append([]string{}, counts.OrdersAccepted...)
	counts.PiecesHeld = e.piecesHeld
	counts.Active = len(e.batch)
	counts.Importing = e.slotsUsed - len(e.batch)
	counts.Queued = len(e.prefillQueue) + len(e.decodeQueue)
	counts.Kept = len(e.kept)
	return counts
}

// Close ends all attempts and waits for the engine's goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		close(e.stopped)
		e.reset()
		e.state.stop()
	}
	e.mu.Unlock()
	e.link.close()
	e.client.CloseIdleConnections()
	e.running.Wait()
}

// scaled multiplies a duration by the fault Slow.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.faults.slowdown())
}

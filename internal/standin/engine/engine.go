package engine

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/lagged"
)

// Engine is a model engine in memory. It is safe for concurrent use.
type Engine struct {
	options Options
	link    *link
	client  *http.Client
	router  Router

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	counts Counts
	closed bool
	// running counts the goroutines of the batch.
	running sync.WaitGroup

	state   orderState
	reports lagged.Value[LoadReport]

	attempts map[string]*attempt
	arrivals uint64
	// ended keeps how attempts ended, and those cancelled before they arrived.
	ended                 *recent[string, cause]
	cancelledIncarnations *recent[incarnation, struct{}]
	piecesHeld            int

	prefillQueue []*attempt
	prefilling   *attempt
	cache        *prefixCache
	events       *eventLog
	kept         map[uint64]*keptKV
	nextBlock    uint64

	decodeQueue []*attempt
	// slotsUsed counts attempts in import and decode.
	slotsUsed int
	batch     []*attempt
	batching  bool
	// stopped is closed by Close.
	stopped chan struct{}
}

// New returns an Engine. It holds no goroutines while it has no work.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:               options,
		link:                  &link{rate: float64(options.LinkBytesPerSecond)},
		client:                newKVClient(),
		random:                rand.New(rand.NewPCG(options.Seed, options.Seed)),
		counts:                Counts{Received: make(map[string]int), Executions: make(map[string]int)},
		state:                 newOrderState(&options),
		attempts:              make(map[string]*attempt),
		ended:                 newRecent[string, cause](),
		cancelledIncarnations: newRecent[incarnation, struct{}](),
		cache:                 newPrefixCache(options.CacheBlocks),
		events:                newEventLog(options.CacheEventLag.D()),
		kept:                  make(map[uint64]*keptKV),
		nextBlock:             1,
		stopped:               make(chan struct{}),
	}
	e.recordLoad()
	return e
}

// arrive registers an attempt and puts it into the queue of its role. It
// returns a typed error when the attempt is refused.
func (e *Engine) arrive(a *attempt, model string, role configuration.Role) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Received[a.id]++
	if err := e.refusal(a, model, role); err != nil {
		return err
	}
	e.attempts[a.id] = a
	a.arrival = e.arrivals
	e.arrivals++
	queue := e.queue(role)
	e.enqueue(queue, a)
	e.dispatch()
	if a.stage == stageQueued && len(*queue) > e.options.QueueLimit {
		e.release(a, causeRefused)
		e.counts.RefusedBusy++
		return Busy.New("no slot or memory, and the queue is full")
	}
	e.recordLoad()
	return nil
}

// refusal says why an attempt cannot be taken.
func (e *Engine) refusal(a *attempt, model string, role configuration.Role) error {
	if e.faults.Leaving {
		e.counts.AfterLeaving++
		return Leaving.New("the engine is leaving")
	}
	if e.refusesCancelled(a) {
		e.counts.RefusedCancelled++
		return Cancelled.New("attempt %s was cancelled or is running", a.id)
	}
	current := e.state.current()
	if model != current.Model {
		return UnknownModel.New("model %q is not served here", model)
	}
	if role != current.Role || e.state.busy() {
		e.counts.RefusedBusy++
		return Busy.New("the engine is not in the role %s", role)
	}
	if e.options.MemoryPieces > 0 && a.pieces > e.options.MemoryPieces {
		return Invalid.New("%d memory pieces are needed, the engine has %d", a.pieces, e.options.MemoryPieces)
	}
	return nil
}

// refusesCancelled reports whether the attempt was cancelled or is running.
func (e *Engine) refusesCancelled(a *attempt) bool {
	if _, running := e.attempts[a.id]; running {
		return true
	}
	if ended, ok := e.ended.get(a.id); ok && ended.cancelled() {
		return true
	}
	_, cancelled := e.cancelledIncarnations.get(a.owner)
	return cancelled
}

func (e *Engine) queue(role configuration.Role) *[]*attempt {
	if role == configuration.RolePrefill {
		return &e.prefillQueue
	}
	return &e.decodeQueue
}

func (e *Engine) enqueue(queue *[]*attempt, a *attempt) {
	i, _ := slices.BinarySearchFunc(*queue, a, compareAttempts)
	*queue = slices.Insert(*queue, i, a)
}

// dispatch starts the queued attempts that there is room for, in order.
func (e *Engine) dispatch() {
	for len(e.prefillQueue) > 0 && e.prefilling == nil && e.fits(e.prefillQueue[0]) {
		a := e.prefillQueue[0]
		e.prefillQueue = e.prefillQueue[1:]
		e.prefilling = a
		e.leaveQueue(a, stagePrefill)
	}
	for len(e.decodeQueue) > 0 && e.slotsUsed < e.options.Slots && e.fits(e.decodeQueue[0]) {
		a := e.decodeQueue[0]
		e.decodeQueue = e.decodeQueue[1:]
		e.slotsUsed++
		e.leaveQueue(a, stageImport)
	}
}

func (e *Engine) fits(a *attempt) bool {
	return e.options.MemoryPieces <= 0 || e.piecesHeld+a.pieces <= e.options.MemoryPieces
}

func (e *Engine) leaveQueue(a *attempt, next stage) {
	a.stage = next
	e.piecesHeld += a.pieces
	close(a.ready)
}

// release ends an attempt and frees all that it holds. Only the first call for
// an attempt has an effect.
func (e *Engine) release(a *attempt, why cause) {
	if a.released {
		return
	}
	a.released = true
	a.cause = why
	e.leaveStage(a)
	if a.stage != stageQueued {
		e.piecesHeld -= a.pieces
	}
	delete(e.attempts, a.id)
	if why != causeRefused {
		e.ended.set(a.id, why)
	}
	if why.cancelled() {
		e.counts.Cancelled++
	}
	close(a.ended)
	e.dispatch()
	e.recordLoad()
}

// leaveStage removes an attempt from what its stage keeps.
func (e *Engine) leaveStage(a *attempt) {
	same := func(other *attempt) bool { return other == a }
	switch a.stage {
	case stageQueued:
		e.prefillQueue = slices.DeleteFunc(e.prefillQueue, same)
		e.decodeQueue = slices.DeleteFunc(e.decodeQueue, same)
	case stagePrefill:
		e.prefilling = nil
	case stageKept:
		e.dropKept(a)
	case stageImport:
		e.slotsUsed--
	case stageDecode:
		e.slotsUsed--
		e.batch = slices.DeleteFunc(e.batch, same)
	}
}

// end is release for callers that do not hold the lock.
func (e *Engine) end(a *attempt, why cause) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(a, why)
}

// Crash cuts all connections and empties slots, memory and caches.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.counts.Crashes++
	e.reset()
}

// reset ends all attempts and forgets all that is in memory.
func (e *Engine) reset() {
	// Queues are emptied first, so that no release starts a queued attempt.
	e.prefillQueue, e.decodeQueue = nil, nil
	for _, a := range slices.Collect(maps.Values(e.attempts)) {
		e.release(a, causeCrashed)
	}
	e.ended = newRecent[string, cause]()
	e.cancelledIncarnations = newRecent[incarnation, struct{}]()
	e.cache.clear()
	e.addEvent(EventCleared, []string{})
}

// addEvent records a cache event unless there is nothing to record.
func (e *Engine) addEvent(kind EventType, hashes []string) {
	if kind != EventCleared && len(hashes) == 0 {
		return
	}
	share := e.options.CacheEventLoss + e.faults.LoseCacheEvents
	e.events.add(kind, hashes, e.chance(share))
}

// chance draws true with a probability.
func (e *Engine) chance(probability float64) bool {
	return probability > 0 && e.random.Float64() < probability
}

// Faults returns the faults that are set.
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

// Counts returns what the engine holds and has done.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Received = maps.Clone(counts.Received)
	counts.Executions = maps.Clone(counts.Executions)
	counts.OrdersAccepted = slices.Clone(counts.OrdersAccepted)
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

package claim

import (
	"context"
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/api/claim/v1/claimv1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Peers calls the claim service of other entry VMs.
type Peers interface {
	// Submit sends a record to the shard owner at the given address.
	Submit(ctx context.Context, address string, request *claimv1.SubmitRequest) (*claimv1.SubmitResponse, error)
}

// Dependencies are the components that Claims uses.
type Dependencies struct {
	Log      logservice.Service
	View     membership.View
	Peers    Peers
	Timeline timeline.Recorder
}

// Claims decides which attempt of a call that must not be repeated may execute.
// It is safe for concurrent use.
type Claims struct {
	deps         Dependencies
	settings     Settings
	counters     *counters
	bound        *boundKeys
	outbox       *outbox
	sequence     atomic.Uint64
	failedOwners failedOwners

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	shards  map[int]*shard
}

// New returns Claims that run until Stop. Errors are of type BadSettings.
func New(deps Dependencies, settings Settings) (*Claims, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claims{
		deps:     deps,
		settings: settings,
		counters: newCounters(),
		ctx:      ctx,
		cancel:   cancel,
		shards:   make(map[int]*shard),
	}
	c.bound = newBoundKeys(&c.settings)
	c.outbox = newOutbox(ctx, &c.settings, c.counters)
	c.running.Go(c.openOwned)
	return c, nil
}

// openOwned periodically opens the shards that this VM owns, so that their
// streams are read before the first claim.
func (c *Claims) openOwned() {
	ticker := time.NewTicker(openInterval)
	defer ticker.Stop()
	for c.ctx.Err() == nil {
		members := c.deps.View.Members()
		for number := range Shards {
			if ownerOf(number, members).VM == c.deps.View.Self().VM {
				c.open(number)
			}
		}
		select {
		case <-c.ctx.Done():
		case <-ticker.C:
		}
	}
}

// Stop cancels all background work and waits for it to end. Later claims are
// refused.
func (c *Claims) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
	c.outbox.stop()
}

// Flush waits until all outcomes are recorded or the context ends.
func (c *Claims) Flush(ctx context.Context) error { return c.outbox.flush(ctx) }

// Metrics returns the counters.
func (c *Claims) Metrics() *expvar.Map { return c.counters.vars }

// Claim decides whether an attempt of a call may execute. Errors have the trait
// NotRun and are of the types LogUnavailable, NotSettled, KeyMalformed,
// KeyExpired, KeyFuture, Full and Stopped.
func (c *Claims) Claim(ctx context.Context, key Key) (Decision, error) {
	decision, err := c.claim(ctx, key)
	if err != nil {
		c.counters.refusedWith("refused_", err)
		return Decision{}, err
	}
	c.counters.decided("decided_", decision.Kind)
	if decision.Kind == Run {
		c.deps.Timeline.Record(timeline.ClaimWon, "", decision.Ticket.name())
	} else {
		c.deps.Timeline.Record(timeline.ClaimLost, "", decision.Kind.String())
	}
	return decision, nil
}

func (c *Claims) claim(ctx context.Context, key Key) (Decision, error) {
	parsed, err := ParseKey(key)
	if err != nil {
		return Decision{}, err
	}
	switch parsed.Form {
	case FormBound:
		return c.claimBound(parsed)
	case FormHomed:
		return Decision{}, KeyMalformed.New("a key homed in a zone cannot name a call that may not be repeated")
	}
	return c.claimLogged(ctx, parsed)
}

// claimLogged claims a key by appending a claim record; the log's order
// decides.
func (c *Claims) claimLogged(ctx context.Context, key ParsedKey) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ClaimTimeout)
	defer cancel()
	writer := c.newWriter()
	result := c.submit(ctx, claimRecord(key.Key, writer), key.Issued)
	switch result.status {
	case claimv1.Settlement_SETTLEMENT_SETTLED:
		return c.decide(ctx, key, writer, result.state)
	case claimv1.Settlement_SETTLEMENT_NOT_APPENDED:
		return Decision{}, LogUnavailable.New("the log cannot be appended to; nothing was recorded")
	case claimv1.Settlement_SETTLEMENT_KEY_FUTURE:
		return Decision{}, KeyFuture.New("the key is more than %s in the future", c.settings.ClockSkew)
	case claimv1.Settlement_SETTLEMENT_KEY_EXPIRED:
		if result.state != nil {
			c.close(key, writer)
		}
		return Decision{}, KeyExpired.New("the key is older than the window of %s", c.settings.KeyWindow)
	default:
		c.counters.givenUp.Add(1)
		c.close(key, writer)
		return Decision{}, NotSettled.New("the claim's place on the log could not be read in time")
	}
}

// newWriter returns a writer identity with the next sequence number of this
// incarnation.
func (c *Claims) newWriter() *claimv1.Writer {
	self := c.deps.View.Self()
	return &claimv1.Writer{Vm: self.VM, Incarnation: self.Incarnation, Sequence: c.sequence.Add(1)}
}

// close records that an abandoned claim will never be executed.
func (c *Claims) close(key ParsedKey, writer *claimv1.Writer) {
	outcome := &claimv1.Outcome{Execution: claimv1.Execution_EXECUTION_NOT_RUN}
	c.record(outcomeRecord(key.Key, writer, outcome), key.Issued)
}

// finish records the outcome of a ticket.
func (c *Claims) finish(ticket *Ticket, outcome Outcome) {
	c.deps.Timeline.Record(timeline.ClaimOutcome, "", ticket.name())
	c.record(outcomeRecord(ticket.key.Key, ticket.writer, outcome.message()), ticket.key.Issued)
}

// record appends a record in the background.
func (c *Claims) record(record *claimv1.Record, issued time.Time) {
	c.outbox.add(func(ctx context.Context) bool {
		return c.submit(ctx, record, issued).status == claimv1.Settlement_SETTLEMENT_SETTLED
	})
}

// shardOf returns the shard of a key.
func shardOf(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// streamOf returns the name of a shard's stream.
func streamOf(shard int) string { return "claims-" + strconv.Itoa(shard) }

// submitLocally submits a record through this VM's own shard.
func (c *Claims) submitLocally(ctx context.Context, record *claimv1.Record, issued time.Time) settlement {
	refused := settlement{status: claimv1.Settlement_SETTLEMENT_NOT_APPENDED}
	p, err := newPending(record, issued)
	if err != nil {
		return refused
	}
	s := c.enqueue(p)
	if s == nil {
		return refused
	}
	return s.wait(ctx, p)
}

// enqueue adds a record to the queue of its shard, opening the shard if
// necessary. It returns nil after Stop.
func (c *Claims) enqueue(p *pending) *shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.openLocked(shardOf(p.key))
	if s != nil {
		s.enqueue(p)
	}
	return s
}

// open opens a shard unless it is already open.
func (c *Claims) open(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openLocked(number)
}

// openLocked returns a shard, opening it if necessary, or nil after Stop. The
// caller holds c.mu.
func (c *Claims) openLocked(number int) *shard {
	if c.stopped {
		return nil
	}
	s, ok := c.shards[number]
	if !ok {
		s = newShard(streamOf(number), c.deps.Log, &c.settings, c.counters)
		c.shards[number] = s
		c.running.Go(func() { s.run(c.ctx, func() bool { return c.retire(number) }) })
	}
	return s
}

// retire removes a shard unless records are queued, and reports whether it did.
func (c *Claims) retire(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.shards[number].empty() {
		return false
	}
	delete(c.shards, number)
	return true
}

// name returns the ticket's identity for the timeline.
func (t *Ticket) name() string {
	if t.writer == nil {
		return t.key.Key.Key
	}
	return fmt.Sprintf("%s.%d.%d", t.writer.GetVm(), t.writer.GetIncarnation(), t.writer.GetSequence())
}

// Peer returns the handler for calls from other entry VMs.
func (c *Claims) Peer() peer.Handler {
	path, handler := claimv1connect.NewClaimServiceHandler(claimHandler{claims: c}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

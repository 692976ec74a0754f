package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// Timing and limits of a shard's access to its stream.
const (
	// appendBurst is the number of appends that a shard may make without delay.
	appendBurst = 3
	// pageLimit bounds the records of one read.
	pageLimit = 500
	// stateMaxAge is how long the state of an unfinished key is used without
	// another read.
	stateMaxAge = 250 * time.Millisecond
	// clockMaxAge is how long the log service's clock is extrapolated from the
	// last read.
	clockMaxAge = 30 * time.Second
	// retryDelay is the delay after a failed read, a throttled append or one in
	// doubt.
	retryDelay = 20 * time.Millisecond
)

// settlement is the result of submitting a record.
type settlement struct {
	status claimv1.Settlement
	state  *claimv1.KeyState
}

// pending is a submitted record that is not settled yet.
type pending struct {
	record *claimv1.Record
	key    string
	issued time.Time
	entry  logservice.Entry
	// sent is set once an append with the record may have taken effect,
	// withdrawn once the submitter stopped waiting. Both are guarded by the
	// shard's mutex.
	sent      bool
	withdrawn bool
	done      chan settlement
}

// settle sends the settlement to the submitter.
func (p *pending) settle(status claimv1.Settlement, state *claimv1.KeyState) {
	p.done <- settlement{status: status, state: state}
}

// settleFailed settles a record without a further append: as in doubt if an
// earlier append may have taken effect, otherwise as not appended.
func (p *pending) settleFailed() {
	if p.sent {
		p.settle(claimv1.Settlement_SETTLEMENT_IN_DOUBT, nil)
		return
	}
	p.settle(claimv1.Settlement_SETTLEMENT_NOT_APPENDED, nil)
}

// shard reads one stream of claims from its start and appends to it in batches.
// One goroutine does both, so that records are applied to the index in the
// order of the log.
type shard struct {
	stream   string
	log      logservice.Service
	settings *Settings
	counters *counters
	limiter  *rate.Limiter

	mu     sync.Mutex
	queue  []*pending
	notify chan struct{}

	// The fields below are used only by the goroutine of run.

	index *index
	// next is the offset of the next record to apply.
	next uint64
	// synced is false until the stream was read to its end, and again while an
	// append is in doubt.
	synced bool
	// clock is the log service's clock in the last read's response, and
	// readSentAt is when that read was sent.
	clock      time.Time
	readSentAt time.Time
}

func newShard(stream string, log logservice.Service, settings *Settings, counters *counters) *shard {
	share := settings.AppendsPerSecond / Shards
	return &shard{
		stream:   stream,
		log:      log,
		settings: settings,
		counters: counters,
		limiter:  rate.NewLimiter(rate.Limit(share), appendBurst),
		notify:   make(chan struct{}, 1),
		index:    newIndex(),
	}
}

// newPending prepares a record for a shard's queue.
func newPending(record *claimv1.Record, issued time.Time) (*pending, error) {
	entry, err := encodeRecord(record)
	if err != nil {
		return nil, err
	}
	return &pending{
		record: record,
		key:    recordKey(record),
		issued: issued,
		entry:  entry,
		done:   make(chan settlement, 1),
	}, nil
}

// wait waits for the settlement of an enqueued record.
func (s *shard) wait(ctx context.Context, p *pending) settlement {
	select {
	case result := <-p.done:
		return result
	case <-ctx.Done():
		return s.withdraw(p)
	}
}

// enqueue queues a record for the goroutine of run.
func (s *shard) enqueue(p *pending) {
	s.mu.Lock()
	s.queue = append(s.queue, p)
	s.mu.Unlock()
	s.signal()
}

func (s *shard) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// withdraw removes a record from the queue, if it is still queued, because its
// submitter stops waiting.
func (s *shard) withdraw(p *pending) settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, queued := range s.queue {
		if queued == p {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			p.settleFailed()
			break
		}
	}
	select {
	case result := <-p.done:
		return result
	default:
		p.withdrawn = true
		return settlement{status: claimv1.Settlement_SETTLEMENT_IN_DOUBT}
	}
}

// run serves the queue until the context ends, or until the shard is idle and
// retire returns true.
func (s *shard) run(ctx context.Context, retire func() bool) {
	s.synced = s.catchUp(ctx)
	idle := time.NewTimer(s.settings.ShardIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			s.failAll()
			return
		case <-idle.C:
			if retire() {
				return
			}
		case <-s.notify:
			s.drain(ctx)
		}
		idle.Reset(s.settings.ShardIdle)
	}
}

// drain serves the queue until it is empty.
func (s *shard) drain(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.awaitBatch(ctx) {
			return
		}
		s.serve(ctx)
	}
}

// empty reports whether nothing is queued.
func (s *shard) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0
}

// awaitBatch waits until the queue is due and reports whether it holds records.
// Records that no caller waits for are held back to share the append of a later
// claim.
func (s *shard) awaitBatch(ctx context.Context) bool {
	if s.empty() {
		return false
	}
	if !s.anyUrgent() {
		s.awaitUrgent(ctx)
	}
	return true
}

// anyUrgent reports whether a caller is waiting for a queued record.
func (s *shard) anyUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		if urgent(p.record) {
			return true
		}
	}
	return false
}

// awaitUrgent waits for an urgent record, but at most for OutcomeDelay.
func (s *shard) awaitUrgent(ctx context.Context) {
	timer := time.NewTimer(s.settings.OutcomeDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.notify:
			if s.anyUrgent() {
				return
			}
		}
	}
}

package claim

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// serve settles the queued records that the index decides and appends a batch
// of the others.
func (s *shard) serve(ctx context.Context) {
	if !s.synced {
		s.synced = s.catchUp(ctx)
	}
	if !s.synced {
		s.failUnsent()
		background.Pause(ctx, retryDelay)
		return
	}
	s.refresh(ctx)
	s.settleKnown()
	if s.empty() || s.limiter.Wait(ctx) != nil {
		return
	}
	if batch := s.takeBatch(); len(batch) > 0 {
		s.append(ctx, batch)
	}
}

// catchUp reads the stream up to its end and reports whether it succeeded.
func (s *shard) catchUp(ctx context.Context) bool {
	for {
		sentAt := time.Now()
		page, err := s.read(ctx)
		if err != nil || page.NextOffset < s.next {
			s.counters.readFailed()
			return false
		}
		if !s.applyPage(sentAt, page) {
			return false
		}
		if s.next >= page.NextOffset {
			return true
		}
	}
}

func (s *shard) read(ctx context.Context) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.AppendTimeout)
	defer cancel()
	return s.log.Read(ctx, s.stream, s.next, pageLimit, 0)
}

// applyPage applies the records of a page whose read was sent at the given time
// and reports whether they continue the records that were read before.
func (s *shard) applyPage(sentAt time.Time, page logservice.Page) bool {
	s.clock = page.Time
	s.readSentAt = sentAt
	expired := page.Time.Add(-s.settings.LogRetention)
	if page.FirstOffset > s.next {
		s.next = page.FirstOffset
		s.index.markIncomplete(expired)
	}
	s.index.evict(expired)
	if s.index.lost(page.FirstOffset) {
		s.counters.retentionShort.Add(1)
	}
	start := s.next
	for i := range page.Records {
		record := &page.Records[i]
		if record.Offset < s.next {
			continue
		}
		if record.Offset > s.next {
			return false
		}
		s.applyData(record.Offset, record.Time, record.Data)
	}
	return s.next > start || s.next >= page.NextOffset
}

// applyData applies one encoded record. A record that cannot be decoded was not
// written by this system and has no effect.
func (s *shard) applyData(offset uint64, at time.Time, data []byte) {
	s.next = offset + 1
	record := &claimv1.Record{}
	if proto.Unmarshal(data, record) != nil {
		s.counters.undecodable.Add(1)
		return
	}
	s.index.apply(offset, at, record)
}

// refresh reads the stream if the clock or an unfinished key's state is stale.
func (s *shard) refresh(ctx context.Context) {
	age := time.Since(s.readSentAt)
	if age > clockMaxAge || age > stateMaxAge && s.needsRefresh() {
		s.catchUp(ctx)
	}
}

// needsRefresh reports whether a caller is waiting for the state of a key that
// may have changed since it was read.
func (s *shard) needsRefresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		if e := s.index.entries[p.key]; e != nil && urgent(p.record) && !e.terminal() {
			return true
		}
	}
	return false
}

// settleKnown settles the queued records that need no append.
func (s *shard) settleKnown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.queue[:0]
	for _, p := range s.queue {
		if !p.withdrawn && !s.settleIfKnown(p) {
			kept = append(kept, p)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// settleIfKnown settles a record if the index or the key's time already decides
// it, and reports whether it did.
func (s *shard) settleIfKnown(p *pending) bool {
	e := s.index.entries[p.key]
	switch {
	case e != nil && e.reflects(s.index.id(p.record.GetWriter()), p.record):
		s.settle(p, e)
	case e == nil && p.record.GetClaim() != nil:
		return s.refuseByTime(p)
	default:
		return false
	}
	return true
}

// settle settles a record with the state of its key. A winning claim is refused
// if the log may have removed an earlier claim before the index was read.
func (s *shard) settle(p *pending, e *entry) {
	won := p.record.GetClaim() != nil && e.claimant == s.index.id(p.record.GetWriter())
	if won && !s.index.covers(p.issued, s.settings.ClockSkew) {
		p.settle(claimv1.Settlement_SETTLEMENT_KEY_EXPIRED, e.state())
		return
	}
	p.settle(claimv1.Settlement_SETTLEMENT_SETTLED, e.state())
}

// refuseByTime settles a claim whose key's time is not acceptable, and reports
// whether it did.
func (s *shard) refuseByTime(p *pending) bool {
	err := s.settings.checkTime(p.issued, s.now())
	acceptable := err == nil && s.index.covers(p.issued, s.settings.ClockSkew)
	switch {
	case acceptable:
		return false
	case p.sent:
		p.settle(claimv1.Settlement_SETTLEMENT_IN_DOUBT, nil)
	case errorx.IsOfType(err, KeyFuture):
		p.settle(claimv1.Settlement_SETTLEMENT_KEY_FUTURE, nil)
	default:
		p.settle(claimv1.Settlement_SETTLEMENT_KEY_EXPIRED, nil)
	}
	return true
}

// now returns the latest possible time of the log service's clock, extrapolated
// from the last read. It may be ahead by the duration of that read, which
// Margin covers. If it were behind, a key issued a moment ago would be refused
// as being in the future.
func (s *shard) now() time.Time { return s.clock.Add(time.Since(s.readSentAt)) }

// takeBatch removes the next batch from the queue.
func (s *shard) takeBatch() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.queue), s.settings.MaxBatch)
	batch := append([]*pending(nil), s.queue[:count]...)
	s.queue = append([]*pending(nil), s.queue[count:]...)
	return batch
}

// append appends a batch and settles its records.
func (s *shard) append(ctx context.Context, batch []*pending) {
	entries := make([]logservice.Entry, len(batch))
	for i, p := range batch {
		entries[i] = p.entry
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.AppendTimeout)
	defer cancel()
	first, err := s.log.Append(callCtx, s.stream, entries)
	s.counters.appended(entries, err)
	switch {
	case err == nil && first == s.next:
		s.applyOwn(batch)
	case errorx.IsOfType(err, logservice.Throttled):
		s.requeue(batch)
		background.Pause(ctx, retryDelay)
	case errorx.HasTrait(err, logservice.NotAppended):
		s.fail(batch)
	default:
		s.readBack(ctx, batch, err)
	}
}

// applyOwn applies an appended batch that directly follows the applied records.
func (s *shard) applyOwn(batch []*pending) {
	at := s.now()
	for _, p := range batch {
		s.index.apply(s.next, at, p.record)
		s.next++
	}
	s.settleApplied(batch)
}

// readBack reads the stream after an append whose records follow records of
// other VMs, or that failed and may have taken effect. Records that are not
// found are appended again under the same ids.
func (s *shard) readBack(ctx context.Context, batch []*pending, appendErr error) {
	s.mu.Lock()
	for _, p := range batch {
		p.sent = true
	}
	s.mu.Unlock()
	s.synced = s.catchUp(ctx)
	if appendErr == nil && s.synced {
		s.settleApplied(batch)
		return
	}
	s.settleOrRequeue(batch)
	if appendErr != nil {
		s.counters.inDoubt.Add(1)
		background.Pause(ctx, retryDelay)
		s.synced = false
	}
}

// settleApplied settles a batch that the index contains.
func (s *shard) settleApplied(batch []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range batch {
		e := s.index.entries[p.key]
		switch {
		case e != nil:
			s.settle(p, e)
		case createsEntry(p.record):
			p.settle(claimv1.Settlement_SETTLEMENT_IN_DOUBT, nil)
		default:
			p.settle(claimv1.Settlement_SETTLEMENT_SETTLED, nil)
		}
	}
}

// settleOrRequeue settles the records that the index reflects and queues the
// others again.
func (s *shard) settleOrRequeue(batch []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []*pending
	for _, p := range batch {
		e := s.index.entries[p.key]
		switch {
		case p.withdrawn:
		case e != nil && e.reflects(s.index.id(p.record.GetWriter()), p.record):
			s.settle(p, e)
		default:
			rest = append(rest, p)
		}
	}
	s.queue = append(rest, s.queue...)
}

// requeue puts records back at the front of the queue.
func (s *shard) requeue(batch []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(append([]*pending(nil), batch...), s.queue...)
}

// fail settles a batch whose append certainly had no effect.
func (s *shard) fail(batch []*pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range batch {
		p.settleFailed()
	}
}

// failUnsent settles the queued records that are certainly not on the log.
func (s *shard) failUnsent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []*pending
	for _, p := range s.queue {
		switch {
		case p.withdrawn:
		case p.sent:
			rest = append(rest, p)
		default:
			p.settleFailed()
		}
	}
	s.queue = rest
}

// failAll settles all queued records without an append, because the shard
// stops.
func (s *shard) failAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		p.settleFailed()
	}
	s.queue = nil
}

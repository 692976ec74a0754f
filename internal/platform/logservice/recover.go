package logservice

import (
	"context"
	"time"
)

// resolveInDoubt determines the outcome of a batch whose append is in doubt. It
// reads the stream from the position that the queue had before the append. A batch
// that is not found within ReadBackTimeout is sent again with the same ids. Once an
// append is in doubt, only reading back decides its outcome, even if the append sent
// again succeeds: an earlier copy may have a lower offset than its response.
func (a *Appender) resolveInDoubt(q *queue, b *batch, cause error) {
	search := &search{appender: a, stream: q.stream, id: b.pending[0].entry.ID, from: b.position}
	for b.hasWaiters() && a.ctx.Err() == nil {
		first, found := search.run(a.options.ReadBackTimeout, b)
		if found {
			a.counters.recovered.Add(1)
			b.succeed(first)
			return
		}
		if !b.hasWaiters() || a.limiter.wait(a.ctx, q.purpose) != nil {
			break
		}
		a.counters.resent.Add(1)
		if _, err := a.appendOnce(q, b); err != nil {
			_ = pause(a.ctx, max(readBackRetryDelay, RetryAfter(err)))
		}
	}
	b.fail(InDoubt.Wrap(cause, "reading back an append"))
}

// search looks for the first record with an id in a stream.
type search struct {
	appender *Appender
	stream   string
	id       string
	// from is the next offset to read; below it the id was not found.
	from uint64
}

// run searches until the id is found, period has passed or no caller waits any more.
func (s *search) run(period time.Duration, b *batch) (uint64, bool) {
	end := time.Now().Add(period)
	for b.hasWaiters() && s.appender.ctx.Err() == nil {
		page, err := s.read(time.Until(end))
		if err != nil {
			_ = pause(s.appender.ctx, readBackRetryDelay)
		}
		if offset, found := s.find(page); found {
			return offset, true
		}
		if !time.Now().Before(end) {
			return 0, false
		}
	}
	return 0, false
}

func (s *search) read(wait time.Duration) (Page, error) {
	wait = max(0, wait)
	ctx, cancel := context.WithTimeout(s.appender.ctx, wait+s.appender.options.AppendTimeout)
	defer cancel()
	return s.appender.service.Read(ctx, s.stream, s.from, readBackLimit, wait)
}

func (s *search) find(page Page) (uint64, bool) {
	for _, record := range page.Records {
		if record.ID == s.id {
			return record.Offset, true
		}
		s.from = max(s.from, record.Offset+1)
	}
	return 0, false
}

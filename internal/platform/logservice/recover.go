package logservice

import (
	"context"
	"time"
)

// resolveInDoubt finds out what became of a batch whose answer was lost. It reads the
// stream back from before the append. A batch that stays missing for the doubt
// period is sent again. Once an append is in doubt only a read back decides,
// because an earlier copy may have a lower offset than the answer names.
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
	b.fail(InDoubt.Wrap(cause, "looking for a lost append"))
}

// search looks for the first record of an id in a stream.
type search struct {
	appender *Appender
	stream   string
	id       string
	// from is the offset up to which the id was not found.
	from uint64
}

// run searches until the id is found, the period is over or nobody waits.
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

package logservice

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Appender appends entries of many callers in groups. It is safe for concurrent
// use.
//
// Entries of one stream and purpose that arrive within a short delay share one
// append. The delay is 0 while entries arrive more slowly than the purpose's
// guaranteed rate and grows with the observed rate, so that the number of
// appends stays below it.
//
// An append whose answer was lost is recovered by reading back the entry's id.
// If the entry is not found it is sent again with the same id, so a stream may
// hold several records of one id; readers treat ids as idempotent and the
// record with the lowest offset decides.
type Appender struct {
	service  Service
	options  AppenderOptions
	limiter  *appendLimiter
	counters appendCounters

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	queues       map[queueKey]*queue
	arrivalRates map[Purpose]*observedRate
}

type queueKey struct {
	stream  string
	purpose Purpose
}

type appendCounters struct {
	entries, appends, throttled, inDoubt, recovered, resent expvar.Int
}

// NewAppender returns a running Appender; Close ends it.
func NewAppender(service Service, options AppenderOptions) (*Appender, error) {
	options = options.withDefaults()
	limiter, err := newAppendLimiter(options.AppendsPerSecond, options.Shares)
	if err != nil {
		return nil, err
	}
	a := &Appender{
		service:      service,
		options:      options,
		limiter:      limiter,
		queues:       make(map[queueKey]*queue),
		arrivalRates: make(map[Purpose]*observedRate),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a, nil
}

// Vars returns the counters of the Appender.
func (a *Appender) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("entries", &a.counters.entries)
	vars.Set("appends", &a.counters.appends)
	vars.Set("throttled", &a.counters.throttled)
	vars.Set("in_doubt", &a.counters.inDoubt)
	vars.Set("recovered", &a.counters.recovered)
	vars.Set("resent", &a.counters.resent)
	return vars
}

// SetRate changes this VM's part of the append limit, appends per second. Values
// of 0 and below are ignored.
func (a *Appender) SetRate(appendsPerSecond float64) {
	if appendsPerSecond > 0 {
		a.limiter.setRate(appendsPerSecond)
	}
}

// Close stops all appends. Entries that were not sent end with NotSent, others
// with InDoubt. It waits for all of the Appender's goroutines.
func (a *Appender) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.goroutines.Wait()
}

// Append adds an entry to a stream and returns its offset. Errors with the trait
// NotAppended mean that the entry is not in the stream and never will be; an
// InDoubt error means that it may be or become part of it. A Throttled append is
// retried, an Outage is returned at once.
func (a *Appender) Append(ctx context.Context, stream string, purpose Purpose, entry Entry) (uint64, error) {
	p := newPendingEntry(entry)
	q, err := a.enqueue(stream, purpose, p)
	if err != nil {
		return 0, err
	}
	return a.await(ctx, q, p)
}

// await waits for the outcome of a queued entry.
func (a *Appender) await(ctx context.Context, q *queue, p *pendingEntry) (uint64, error) {
	select {
	case result := <-p.done:
		return result.offset, result.err
	case <-ctx.Done():
		return a.abandon(ctx, q, p)
	}
}

// abandon ends a wait early. An outcome that is already known counts.
func (a *Appender) abandon(ctx context.Context, q *queue, p *pendingEntry) (uint64, error) {
	close(p.abandoned)
	if q.withdraw(p) {
		return 0, NotSent.Wrap(ctx.Err(), "waiting to append")
	}
	select {
	case result := <-p.done:
		return result.offset, result.err
	default:
		return 0, InDoubt.Wrap(ctx.Err(), "waiting for an append")
	}
}

func (a *Appender) enqueue(stream string, purpose Purpose, group ...*pendingEntry) (*queue, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, NotSent.New("the appender is closed")
	}
	now := time.Now()
	a.purposeRate(purpose).add(now, len(group))
	q := a.queueOf(stream, purpose)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivalRate.add(now, len(group))
	q.waiting = append(q.waiting, group...)
	a.counters.entries.Add(int64(len(group)))
	if !q.running {
		q.running = true
		a.goroutines.Go(func() { a.flush(q) })
	}
	return q, nil
}

func (a *Appender) purposeRate(purpose Purpose) *observedRate {
	observed, ok := a.arrivalRates[purpose]
	if !ok {
		observed = new(observedRate)
		a.arrivalRates[purpose] = observed
	}
	return observed
}

func (a *Appender) queueOf(stream string, purpose Purpose) *queue {
	key := queueKey{stream, purpose}
	q, ok := a.queues[key]
	if !ok {
		q = newQueue(stream, purpose)
		a.queues[key] = q
	}
	return q
}

// delay returns how long entries of a queue wait for others. With s the queue's
// rate, p the purpose's rate and t the targeted appends per second, the queue is
// due t*s/p appends per second; the time until the next entry, 1/s, passes
// anyway.
func (a *Appender) delay(q *queue) time.Duration {
	now := time.Now()
	a.mu.Lock()
	purposeRate := a.purposeRate(q.purpose).at(now)
	a.mu.Unlock()
	q.mu.Lock()
	queueRate := q.arrivalRate.at(now)
	q.mu.Unlock()
	target := targetUtilization * a.limiter.guaranteedRate(q.purpose)
	if purposeRate <= target || queueRate <= 0 {
		return 0
	}
	seconds := purposeRate / queueRate * (1/target - 1/purposeRate)
	return min(a.options.MaxDelay, time.Duration(seconds*float64(time.Second)))
}

// flush sends batches of a queue until it is empty or the Appender closes.
func (a *Appender) flush(q *queue) {
	for {
		if err := a.awaitSend(q); err != nil {
			a.failWaiting(q)
			return
		}
		b := q.take(a.options.MaxEntries, a.options.MaxBytes)
		if b == nil {
			<-q.inFlight
			return
		}
		a.goroutines.Go(func() {
			defer func() { <-q.inFlight }()
			a.deliver(q, b)
		})
	}
}

// awaitSend waits for the batch delay, a slot in flight and the append limit.
func (a *Appender) awaitSend(q *queue) error {
	if err := pause(a.ctx, a.delay(q)); err != nil {
		return err
	}
	select {
	case q.inFlight <- struct{}{}:
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
	a.fetchPosition(q)
	if err := a.limiter.wait(a.ctx, q.purpose); err != nil {
		<-q.inFlight
		return err
	}
	return nil
}

func (a *Appender) failWaiting(q *queue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = false
	b := batch{pending: q.waiting}
	q.waiting = nil
	b.fail(NotSent.New("the appender is closed"))
}

// fetchPosition learns the stream's next offset once. Without it a lost append is
// looked for from the oldest record on.
func (a *Appender) fetchPosition(q *queue) {
	if q.hasPosition() {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.options.AppendTimeout)
	defer cancel()
	page, err := a.service.Read(ctx, q.stream, 0, 1, 0)
	if err == nil {
		q.advancePosition(page.NextOffset)
	}
}

// deliver appends a batch and reports the outcome to its callers.
func (a *Appender) deliver(q *queue, b *batch) {
	for {
		first, err := a.appendOnce(q, b)
		if err == nil {
			b.succeed(first)
			return
		}
		if !errorx.HasTrait(err, NotAppended) {
			a.resolveInDoubt(q, b, err)
			return
		}
		if !errorx.IsOfType(err, Throttled) || !b.hasWaiters() {
			b.fail(err)
			return
		}
		if pause(a.ctx, RetryAfter(err)) != nil {
			b.fail(err)
			return
		}
	}
}

func (a *Appender) appendOnce(q *queue, b *batch) (uint64, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.options.AppendTimeout)
	defer cancel()
	a.counters.appends.Add(1)
	first, err := a.service.Append(ctx, q.stream, b.entries())
	switch {
	case err == nil:
		q.advancePosition(first + uint64(len(b.pending)))
	case errorx.IsOfType(err, Throttled):
		a.counters.throttled.Add(1)
	case !errorx.HasTrait(err, NotAppended):
		a.counters.inDoubt.Add(1)
	}
	return first, err
}

// pause waits for a period or the end of the context.
func pause(ctx context.Context, period time.Duration) error {
	if period <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

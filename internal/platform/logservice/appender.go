package logservice

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Appender batches the entries of many callers into appends. It is safe for
// concurrent use.
//
// Entries of one stream and purpose that arrive within a short delay are sent in
// one append. The delay is 0 while entries arrive more slowly than the purpose's
// guaranteed rate, and grows with the observed rate so that the number of appends
// stays below the guaranteed rate.
//
// If the outcome of an append is in doubt, the Appender reads the stream and looks
// for the entry's id. If the id is not found, the entry is sent again with the same
// id. A stream may therefore hold several records with one id; readers must treat
// ids as idempotency keys and use the record with the lowest offset.
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

// NewAppender returns a running Appender. Close must be called to stop it.
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

// SetRate sets this VM's part of the append limit, in appends per second. Values of
// 0 and below are ignored.
func (a *Appender) SetRate(appendsPerSecond float64) {
	if appendsPerSecond > 0 {
		a.limiter.setRate(appendsPerSecond)
	}
}

// Close stops all appends and waits for the Appender's goroutines. Entries that
// were not sent end with NotSent, other pending ones with InDoubt.
func (a *Appender) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.goroutines.Wait()
}

// Append adds an entry to a stream and returns its offset. An error with the trait
// NotAppended means that the entry is not in the stream and never will be. An
// InDoubt error means that the entry may be in the stream or may still be added. A
// Throttled append is retried; an Outage is returned at once.
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

// abandon stops waiting for an entry because ctx is done. If the outcome is already
// known, abandon returns it.
func (a *Appender) abandon(ctx context.Context, q *queue, p *pendingEntry) (uint64, error) {
	close(p.abandoned)
	if q.withdraw(p) {
		return 0, NotSent.Wrap(ctx.Err(), "waiting to send the append")
	}
	select {
	case result := <-p.done:
		return result.offset, result.err
	default:
		return 0, InDoubt.Wrap(ctx.Err(), "waiting for the append response")
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

// delay returns how long the entries of a queue wait for further ones. With s as the
// queue's rate, p as the purpose's rate and t as the targeted appends per second,
// the queue may use t*s/p appends per second, that is one append per p/(t*s). The
// next entry arrives only after 1/s anyway, which is subtracted.
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

// flush sends batches from a queue until it is empty or the Appender is closed.
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

// awaitSend waits for the batch delay, for a free slot among the appends in flight
// and for the append limiter.
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

// fetchPosition reads the stream's next offset once. If it is not known, reading
// back starts at the oldest record.
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

// deliver appends a batch and reports the outcome to the waiting callers.
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

// pause waits until period has passed or ctx is done.
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

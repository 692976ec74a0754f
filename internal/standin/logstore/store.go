// Package logstore is a stand-in for the platform's append-only log service.
//
// Store is an in-memory log that implements logservice.Service; Server serves it
// over HTTP in the wire format of docs/PROTOCOLS.md.
package logstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/standin/ctxtime"
)

// Options configure a Store.
type Options struct {
	// AppendsPerSecond is the append limit over all streams; 0 means no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// Burst is the number of appends allowed at once; 0 means the appends
	// of a tenth of a second, at least 1.
	Burst int `json:"burst"`
	// Retention is how long a record is kept; 0 means forever.
	Retention configuration.Duration `json:"retention"`
	// Seed makes the choice of lost responses reproducible.
	Seed uint64 `json:"seed"`
}

// defaultReadLimit is the page size in records of a read without a limit.
const defaultReadLimit = 500

// burstsPerSecond determines the default burst: the appends of a second divided by
// this number.
const burstsPerSecond = 10

// Store is an in-memory log service. It is safe for concurrent use.
type Store struct {
	retention time.Duration
	limiter   *rate.Limiter

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	counts  Counts
	streams map[string]*stream
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	closed        bool
	delayed       map[*time.Timer]struct{}
}

var _ logservice.Service = (*Store)(nil)

// New returns an empty Store.
func New(options Options) *Store {
	return &Store{
		retention:     options.Retention.D(),
		limiter:       newLimiter(options),
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)),
		streams:       make(map[string]*stream),
		faultsChanged: make(chan struct{}),
		delayed:       make(map[*time.Timer]struct{}),
	}
}

func newLimiter(options Options) *rate.Limiter {
	if options.AppendsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := options.Burst
	if burst <= 0 {
		burst = max(1, int(options.AppendsPerSecond/burstsPerSecond))
	}
	return rate.NewLimiter(rate.Limit(options.AppendsPerSecond), burst)
}

// Append implements logservice.Service. Once admitted, an append takes effect even
// if ctx ends during the latency, before its response.
func (s *Store) Append(ctx context.Context, name string, entries []logservice.Entry) (uint64, error) {
	admitted, err := s.admit()
	if err != nil {
		return 0, err
	}
	entries = cloneEntries(entries)
	if !ctxtime.Sleep(ctx, admitted.latency/2) {
		s.appendLater(name, entries, admitted.latency/2+admitted.effectDelay)
		return 0, logservice.InDoubt.Wrap(ctx.Err(), "append to %s", name)
	}
	if admitted.loseResponse {
		s.appendLater(name, entries, admitted.effectDelay)
		return 0, logservice.InDoubt.New("response to the append to %s lost", name)
	}
	first := s.append(name, entries)
	if !ctxtime.Sleep(ctx, admitted.latency-admitted.latency/2) {
		return 0, logservice.InDoubt.Wrap(ctx.Err(), "append to %s", name)
	}
	return first, nil
}

// admission describes how an admitted append is handled.
type admission struct {
	latency      time.Duration
	loseResponse bool
	effectDelay  time.Duration
}

// admit rejects an append during an outage or above the append limit. Otherwise
// it determines the faults of the append.
func (s *Store) admit() (admission, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage || s.closed {
		s.counts.RefusedByOutage++
		return admission{}, logservice.Outage.New("the log service is away")
	}
	if !s.limiter.Allow() {
		s.counts.Throttled++
		return admission{}, logservice.Throttled.New("append limit reached")
	}
	admitted := admission{latency: s.faults.Latency.D(), loseResponse: s.drawResponseLoss()}
	if admitted.loseResponse {
		s.counts.AnswersLost++
		admitted.effectDelay = s.faults.EffectDelay.D()
	}
	return admitted, nil
}

// drawResponseLoss decides by the faults whether the response to an append is lost.
func (s *Store) drawResponseLoss() bool {
	if s.faults.LoseNextAnswers > 0 {
		s.faults.LoseNextAnswers--
		return true
	}
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

func (s *Store) append(name string, entries []logservice.Entry) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Appends++
	s.counts.Records += uint64(len(entries))
	return s.stream(name).append(time.Now(), entries)
}

// appendLater appends after a delay, at once if there is none.
func (s *Store) appendLater(name string, entries []logservice.Entry, delay time.Duration) {
	if delay <= 0 {
		s.append(name, entries)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		s.removeDelayed(&timer)
		s.append(name, entries)
	})
	s.delayed[timer] = struct{}{}
}

// removeDelayed removes the timer of a delayed append. It takes a pointer to the
// timer variable, which is assigned, under the lock, after the timer was started.
func (s *Store) removeDelayed(timer **time.Timer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.delayed, *timer)
}

// Read implements logservice.Service.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	if limit <= 0 {
		limit = defaultReadLimit
	}
	if !ctxtime.Sleep(ctx, s.Faults().Latency.D()) {
		return logservice.Page{}, logservice.Unreadable.Wrap(ctx.Err(), "read of %s", name)
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for expired := wait <= 0; ; {
		page, changed, faultsChanged, err := s.read(name, from, limit)
		if err != nil || expired || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			return logservice.Page{}, logservice.Unreadable.Wrap(ctx.Err(), "read of %s", name)
		}
	}
}

// read returns a page, a channel that is closed by the next append to the stream
// and one that is closed when the faults change.
func (s *Store) read(name string, from uint64, limit int) (page logservice.Page, changed, faultsChanged <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage || s.closed {
		s.counts.RefusedByOutage++
		return page, nil, nil, logservice.Unreadable.New("the log service is away")
	}
	s.counts.Reads++
	now := time.Now()
	found := s.stream(name)
	found.expire(now, s.retention)
	page = found.page(from, limit)
	page.Time = now
	return page, found.changed, s.faultsChanged, nil
}

// stream returns a stream and creates it if it does not exist.
func (s *Store) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{changed: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Counts returns the counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Close drops delayed appends and makes all further calls fail.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for timer := range s.delayed {
		timer.Stop()
	}
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func cloneEntries(entries []logservice.Entry) []logservice.Entry {
	cloned := slices.Clone(entries)
	for i := range cloned {
		cloned[i].Data = slices.Clone(cloned[i].Data)
	}
	return cloned
}

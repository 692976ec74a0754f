// Package logtest provides an in-memory log service for tests, with rate limits,
// outages, lost requests and responses, and retention. It can be used with
// testing/synctest.
package logtest

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// Fault is the fault to inject into one append.
type Fault struct {
	// Outage rejects the append; nothing is appended.
	Outage bool
	// LoseAnswer appends the entries, but returns an InDoubt error.
	LoseAnswer bool
	// LoseRequest appends nothing and returns an InDoubt error.
	LoseRequest bool
	// Delay postpones the append after LoseAnswer has returned its error.
	Delay time.Duration
}

// Options configure a Log. Zero values mean no limit, delay or fault.
type Options struct {
	// AppendsPerSecond is the append limit.
	AppendsPerSecond float64
	// Retention is how long records are retained.
	Retention time.Duration
	// Latency is the duration of each append and read.
	Latency time.Duration
	// Faults is called before each append.
	Faults func(stream string, entries []logservice.Entry) Fault
}

// Log is an in-memory log service. It is safe for concurrent use.
type Log struct {
	options Options
	limiter *rate.Limiter

	mu          sync.Mutex
	unavailable bool
	appends     int
	streams     map[string]*stream
}

type stream struct {
	first   uint64
	records []logservice.Record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

var _ logservice.Service = (*Log)(nil)

// New returns an empty log.
func New(options Options) *Log {
	limit := rate.Inf
	if options.AppendsPerSecond > 0 {
		limit = rate.Limit(options.AppendsPerSecond)
	}
	return &Log{
		options: options,
		limiter: rate.NewLimiter(limit, max(1, int(options.AppendsPerSecond/10))),
		streams: make(map[string]*stream),
	}
}

// SetAway starts or ends an outage that affects appends and reads.
func (l *Log) SetAway(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// Appends returns the number of appends that reached the log, including failed ones.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes all records of a stream below an offset.
func (l *Log) Trim(name string, below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.first < below {
		s.records = s.records[1:]
		s.first++
	}
}

// Append implements logservice.Service.
func (l *Log) Append(ctx context.Context, name string, entries []logservice.Entry) (uint64, error) {
	if err := sleep(ctx, l.options.Latency); err != nil {
		return 0, logservice.InDoubt.Wrap(err, "append")
	}
	fault := l.admit(name, entries)
	switch {
	case fault.Outage:
		return 0, logservice.Outage.New("outage")
	case !l.limiter.Allow():
		return 0, logservice.NewThrottled(time.Second)
	case fault.LoseRequest:
		return 0, logservice.InDoubt.New("request lost")
	case fault.LoseAnswer && fault.Delay > 0:
		time.AfterFunc(fault.Delay, func() { l.add(name, entries) })
		return 0, logservice.InDoubt.New("response lost")
	}
	first := l.add(name, entries)
	if fault.LoseAnswer {
		return 0, logservice.InDoubt.New("response lost")
	}
	return first, nil
}

func (l *Log) admit(name string, entries []logservice.Entry) Fault {
	l.mu.Lock()
	l.appends++
	unavailable := l.unavailable
	l.mu.Unlock()
	if unavailable {
		return Fault{Outage: true}
	}
	if l.options.Faults == nil {
		return Fault{}
	}
	return l.options.Faults(name, entries)
}

func (l *Log) add(name string, entries []logservice.Entry) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next()
	for _, entry := range entries {
		s.records = append(s.records, logservice.Record{Offset: s.next(), Time: time.Now(), Entry: entry})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// stream returns a stream after removing its expired records.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	if l.options.Retention > 0 {
		s.expire(time.Now().Add(-l.options.Retention))
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) expire(before time.Time) {
	for len(s.records) > 0 && s.records[0].Time.Before(before) {
		s.records = s.records[1:]
		s.first++
	}
}

// Read implements logservice.Service.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	if err := sleep(ctx, l.options.Latency); err != nil {
		return logservice.Page{}, logservice.Unreadable.Wrap(err, "read")
	}
	deadline := time.Now().Add(wait)
	for {
		page, changed, err := l.page(name, from, limit)
		left := time.Until(deadline)
		if err != nil || len(page.Records) > 0 || left <= 0 {
			return page, err
		}
		if err := await(ctx, changed, left); err != nil {
			return logservice.Page{}, logservice.Unreadable.Wrap(err, "read")
		}
	}
}

func (l *Log) page(name string, from uint64, limit int) (logservice.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return logservice.Page{}, nil, logservice.Unreadable.New("outage")
	}
	s := l.stream(name)
	page := logservice.Page{FirstOffset: s.first, NextOffset: s.next(), Time: time.Now()}
	from = max(from, s.first)
	if from < s.next() {
		kept := s.records[from-s.first:]
		page.Records = append(page.Records, kept[:min(limit, len(kept))]...)
	}
	return page, s.changed, nil
}

// await waits until changed is closed, period has passed or ctx is done.
func await(ctx context.Context, changed <-chan struct{}, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

func sleep(ctx context.Context, period time.Duration) error {
	if period <= 0 {
		return ctx.Err()
	}
	return await(ctx, nil, period)
}

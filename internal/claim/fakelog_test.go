package claim

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// faults are the probabilities of faults of appends and reads.
type faults struct {
	// lostApplied, lostDelayed and lostUnapplied lose the response of an append
	// that took effect, takes effect later, or never does.
	lostApplied, lostDelayed, lostUnapplied float64
	throttled                               float64
	// duplicated appends the records twice and returns the first offset.
	duplicated float64
	// slow delays the response beyond the caller's timeout.
	slow float64
	// unreadable fails reads.
	unreadable float64
}

// fakeLog is an in-memory log service on the clock of a synctest bubble.
type fakeLog struct {
	latency time.Duration
	// readResponseDelay is the time that the response of a read is in transit.
	readResponseDelay time.Duration
	retention         time.Duration
	maxApplyDelay     time.Duration

	mu          sync.Mutex
	random      *rand.Rand
	faults      faults
	unavailable bool
	streams     map[string]*fakeStream
	appends     int
	bytes       int
}

type fakeStream struct {
	first   uint64
	records []logservice.Record
}

func newFakeLog(seed int64) *fakeLog {
	return &fakeLog{
		random:        rand.New(rand.NewSource(seed)),
		retention:     2 * time.Hour,
		maxApplyDelay: 300 * time.Millisecond,
		latency:       2 * time.Millisecond,
		streams:       make(map[string]*fakeStream),
	}
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

func (l *fakeLog) setFaults(f faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *fakeLog) stream(name string) *fakeStream {
	s, ok := l.streams[name]
	if !ok {
		s = &fakeStream{}
		l.streams[name] = s
	}
	for len(s.records) > 0 && time.Since(s.records[0].Time) >= l.retention {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

// add appends entries; the caller holds the lock.
func (l *fakeLog) add(name string, entries []logservice.Entry) uint64 {
	s := l.stream(name)
	first := s.first + uint64(len(s.records))
	for i, entry := range entries {
		s.records = append(s.records, logservice.Record{Offset: first + uint64(i), Time: time.Now(), Entry: entry})
		l.bytes += len(entry.ID) + len(entry.Data)
	}
	return first
}

func (l *fakeLog) Append(ctx context.Context, name string, entries []logservice.Entry) (uint64, error) {
	background.Pause(ctx, l.latency/2)
	first, err := l.decide(name, entries)
	background.Pause(ctx, l.latency/2+l.responseDelay())
	if err == nil && ctx.Err() != nil {
		err = logservice.InDoubt.Wrap(ctx.Err(), "no response")
	}
	return first, err
}

// responseDelay returns how long the response of an append is delayed.
func (l *fakeLog) responseDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() < l.faults.slow {
		return 2 * defaultClaimTimeout
	}
	return 0
}

func (l *fakeLog) decide(name string, entries []logservice.Entry) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.unavailable {
		return 0, logservice.Outage.New("outage")
	}
	f := l.faults
	draw := l.random.Float64()
	below := func(p float64) bool {
		draw -= p
		return draw < 0
	}
	switch {
	case below(f.throttled):
		return 0, logservice.Throttled.New("limit")
	case below(f.lostApplied):
		l.add(name, entries)
		return 0, logservice.InDoubt.New("lost")
	case below(f.lostUnapplied):
		return 0, logservice.InDoubt.New("lost")
	case below(f.lostDelayed):
		time.AfterFunc(time.Duration(1+l.random.Int63n(int64(l.maxApplyDelay))), func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(name, entries)
		})
		return 0, logservice.InDoubt.New("lost")
	case below(f.duplicated):
		first := l.add(name, entries)
		l.add(name, entries)
		return first, nil
	}
	return l.add(name, entries), nil
}

func (l *fakeLog) Read(ctx context.Context, name string, from uint64, limit int, _ time.Duration) (logservice.Page, error) {
	background.Pause(ctx, l.latency)
	page, err := l.page(name, from, limit)
	if l.readResponseDelay > 0 {
		background.Pause(ctx, l.readResponseDelay)
	}
	return page, err
}

// page returns the records of a stream as of now.
func (l *fakeLog) page(name string, from uint64, limit int) (logservice.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable || l.random.Float64() < l.faults.unreadable {
		return logservice.Page{}, logservice.Unreadable.New("outage")
	}
	s := l.stream(name)
	next := s.first + uint64(len(s.records))
	page := logservice.Page{FirstOffset: s.first, NextOffset: next, Time: time.Now()}
	from = min(max(from, s.first), next)
	rest := s.records[from-s.first:]
	page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	return page, nil
}

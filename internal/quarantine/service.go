package quarantine

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

const (
	// expirePeriod is the time between two checks for facts whose retention is over.
	expirePeriod = time.Second
	// soundRetention is how long sound answers seen here are remembered.
	soundRetention = 30 * time.Second
	// maxOwnSounds limits the subjects with sound answers that are remembered.
	maxOwnSounds = 8192
	// maxClearDelay is the longest time before a VM tells others of a sound answer that
	// clears a part. The delay is random, so that one VM tells before the others do.
	maxClearDelay = 150 * time.Millisecond
)

// Engines tells whether processes of engines have ended.
type Engines interface {
	// Refuses reports whether nothing listens at an address.
	Refuses(ctx context.Context, address string) bool
	// Replaced reports whether an engine's process is registered no more and another one has its
	// address.
	Replaced(engine, address string) bool
}

// Params are the inputs of a Service.
type Params struct {
	View    membership.View
	Peers   Peers
	Engines Engines
	// Archive keeps verdicts beyond the end of all VMs' processes; nil if nothing does.
	Archive Archive
	Log     *decisionlog.Log
	// WallClock is the time of day, by which the age of archived verdicts is known.
	WallClock func() time.Time
	// Clock also advances while the machine is suspended.
	Clock func() time.Time
	// Random is the source of random delays. It is used under a lock.
	Random *rand.Rand
}

// Service holds back requests with parts on which engines crash. It is safe for
// concurrent use.
type Service struct {
	params   Params
	counters Counters
	started  time.Time
	sharer   *sharer
	archive  *archivist
	// wake signals Run that clearings are due.
	wake chan struct{}
	// running are confirmations of crashes; stopping is cancelled to end them.
	running  sync.WaitGroup
	stopping context.Context
	stop     context.CancelFunc

	mu sync.Mutex
	// stopped is set when Run ends; no goroutine starts after it.
	stopped bool
	ledger  *ledger
	// inForce are the verdicts on the facts in the ledger.
	inForce []*verdict
	// own are the times at which the latest sound answers seen here were requested.
	own map[subject]time.Duration
	// suspected are the subjects that may have caused a crash.
	suspected map[subject]bool
	// clearing are the times at which others are told of a sound answer seen here.
	clearing map[subject]time.Duration
	ends     map[crashKey]*engineEnd
	// trials are the times at which trials in flight end at the latest, by verdict.
	trials map[string]time.Duration
}

// New returns a service that shares facts once Run is called.
func New(params Params) *Service {
	s := &Service{
		params:   params,
		started:  params.Clock(),
		wake:     make(chan struct{}, 1),
		ledger:   newLedger(),
		own:      make(map[subject]time.Duration),
		clearing: make(map[subject]time.Duration),
		ends:     make(map[crashKey]*engineEnd),
		trials:   make(map[string]time.Duration),
	}
	s.stopping, s.stop = context.WithCancel(context.Background())
	s.sharer = newSharer(shareParams{
		view: params.View, peers: params.Peers, store: s, log: params.Log, clock: params.Clock,
		random: rand.New(rand.NewPCG(params.Random.Uint64(), params.Random.Uint64())),
	})
	s.archive = newArchivist(archiveParams{
		View: params.View, Archive: params.Archive, Log: params.Log, WallClock: params.WallClock, Retention: Retention,
		Restore: func(f Facts) { s.merge(f) }, Verdicts: s.verdicts,
		Random: rand.New(rand.NewPCG(params.Random.Uint64(), params.Random.Uint64())),
	})
	return s
}

// Handler returns the handler for the peer listener.
func (s *Service) Handler() peer.Handler { return s.sharer.Handler() }

// now returns the time since the start of the service.
func (s *Service) now() time.Duration { return s.params.Clock().Sub(s.started) }

// Run shares facts until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) {
	defer s.end()
	s.running.Go(func() { s.sharer.run(ctx) })
	if s.params.Archive != nil {
		s.running.Go(func() { s.archive.run(ctx) })
	}
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	due := time.NewTimer(expirePeriod)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.confirmReplaced()
			s.expire()
		case <-s.wake:
		case <-due.C:
		}
		if wait, pending := s.clear(); pending {
			due.Reset(wait)
		}
	}
}

// end waits for all goroutines.
func (s *Service) end() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.stop()
	s.running.Wait()
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// expire drops what no longer counts.
func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.ledger.expire(now)
	for key, at := range s.own {
		if now-at >= soundRetention {
			delete(s.own, key)
		}
	}
	for key, end := range s.ends {
		if !end.pending() && now-end.at >= endRetention {
			delete(s.ends, key)
		}
	}
	for key, until := range s.trials {
		if now >= until {
			delete(s.trials, key)
		}
	}
	s.decide(now)
}

// merge implements factStore.
func (s *Service) merge(f Facts) Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	news := s.ledger.merge(now, f)
	for _, sound := range f.Sounds {
		delete(s.clearing, subject{sound.Service, sound.Part})
	}
	if !news.Empty() {
		s.applySounds(now)
		s.decide(now)
	}
	return news
}

// all implements factStore.
func (s *Service) all() Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.all(s.now())
}

// digest implements factStore.
func (s *Service) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.digest()
}

// observe merges facts that this VM saw and shares them.
func (s *Service) observe(f Facts) {
	if news := s.merge(f); !news.Empty() {
		s.sharer.publish(news)
	}
}

// decide computes the verdicts again and logs changes. The lock must be held.
func (s *Service) decide(now time.Duration) {
	before := s.inForce
	s.inForce = s.ledger.verdicts()
	s.suspected = s.ledger.suspected()
	for _, v := range s.inForce {
		if !containsVerdict(before, v) {
			s.counters.Quarantined.Add(1)
			s.archive.notify()
			s.params.Log.Change(quarantinedMessage(v), logrus.Fields{
				"service": v.service, "parts": v.parts, "crashes": len(v.crashes), "last_crash_ms": (now - v.lastCrash()).Milliseconds(),
			})
		}
	}
	for _, v := range before {
		if !containsVerdict(s.inForce, v) {
			s.archive.notify()
			s.params.Log.Change("quarantine lifted", logrus.Fields{"service": v.service, "parts": v.parts})
		}
	}
}

// verdicts returns the verdicts in force with the crashes that led to them.
func (s *Service) verdicts() []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	verdicts := make([]Verdict, 0, len(s.inForce))
	for _, v := range s.inForce {
		verdicts = append(verdicts, Verdict{Service: v.service, Parts: v.parts, Facts: v.facts(now)})
	}
	return verdicts
}

func containsVerdict(verdicts []*verdict, wanted *verdict) bool {
	return slices.ContainsFunc(verdicts, func(v *verdict) bool { return v.key() == wanted.key() })
}

// sound records that an answer to a request with some subjects began well.
func (s *Service) sound(service string, parts []string, requested time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected := false
	for _, part := range parts {
		key := subject{service, part}
		s.own[key] = max(s.own[key], requested)
		suspected = suspected || s.suspected[key]
	}
	if len(s.own) > maxOwnSounds {
		s.dropOldestSounds()
	}
	now := s.now()
	if suspected && s.applySounds(now) {
		s.decide(now)
	}
}

// dropOldestSounds forgets the older half of the sound answers seen here. Only those shortly before a
// crash count for it. The lock must be held.
func (s *Service) dropOldestSounds() {
	times := slices.Sorted(maps.Values(s.own))
	middle := times[len(times)/2]
	maps.DeleteFunc(s.own, func(_ subject, at time.Duration) bool { return at <= middle })
}

// applySounds clears parts of crashes with the sound answers seen here, and reports whether
// it did. Run tells others of them. The lock must be held.
func (s *Service) applySounds(now time.Duration) bool {
	applied := false
	for _, c := range s.ledger.crashes {
		for _, part := range c.subjects {
			key := subject{c.service, part}
			at, seen := s.own[key]
			if !seen || !s.ledger.clears(key, at) || !s.ledger.addSound(now, &Sound{Service: c.service, Part: part, Age: now - at}) {
				continue
			}
			applied = true
			s.clearing[key] = now + time.Duration(s.params.Random.Int64N(int64(maxClearDelay)))
			s.signal()
		}
	}
	return applied
}

// clear tells others of the sound answers that are due. It returns the time until the next
// ones are due, false if there are none.
func (s *Service) clear() (time.Duration, bool) {
	due, wait, pending := s.takeClearing()
	if !due.Empty() {
		s.counters.Cleared.Add(int64(len(due.Sounds)))
		s.sharer.publish(due)
	}
	return wait, pending
}

// takeClearing removes and returns the sound answers that are due.
func (s *Service) takeClearing() (due Facts, wait time.Duration, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for key, at := range s.clearing {
		if at > now {
			if !pending || at-now < wait {
				wait, pending = at-now, true
			}
			continue
		}
		delete(s.clearing, key)
		if seen, ok := s.ledger.sounds[key]; ok {
			due.Sounds = append(due.Sounds, Sound{Service: key.service, Part: key.part, Age: now - seen})
		}
	}
	return due, wait, pending
}

// quarantinedMessage returns the log message for a verdict that has come into force.
func quarantinedMessage(v *verdict) string {
	if v.whole() {
		return "request quarantined"
	}
	return "parts of prompts quarantined"
}

// describe names the parts of a verdict in a refusal.
func (v *verdict) describe() string { return strings.Join(v.parts, ", ") }

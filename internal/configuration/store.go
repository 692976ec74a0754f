package configuration

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Store holds the configuration in force and keeps it up to date from the log
// and from peers. Requests read it without locks.
//
// No snapshot is published before the state is complete, that is, before the log
// was read up to its head or the complete state of a peer was applied: a VM that
// has just started must not serve superseded versions.
type Store struct {
	recorder timeline.Recorder
	current  atomic.Pointer[Snapshot]
	counters storeCounters

	mu       sync.Mutex
	fold     *Fold
	complete bool
	// caughtUp reports whether the last read of the log reached its head.
	caughtUp bool
	// pending holds the subjects whose accepted version is in no snapshot yet.
	pending map[string]bool
	// appended holds, by subject, the time of the last append of the current
	// version, by the log service's clock.
	appended map[string]time.Time
	clock    logClock
	changed  chan struct{}
}

// eventUnreadable is recorded for a record that could not be decoded and was
// skipped.
const eventUnreadable timeline.Kind = "configuration.unreadable"

type storeCounters struct {
	accepted, known, refused, ahead, unknownFormat, malformed, fromPeers, gaps expvar.Int
}

// logClock estimates the log service's clock between reads, from its time and
// the local time at the last read.
type logClock struct {
	logTime   time.Time
	localTime time.Time
}

func (c logClock) now() time.Time {
	if c.localTime.IsZero() {
		return time.Time{}
	}
	return c.logTime.Add(time.Since(c.localTime))
}

// NewStore returns an empty Store.
func NewStore(recorder timeline.Recorder) *Store {
	return &Store{
		recorder: recorder,
		fold:     NewFold(),
		pending:  make(map[string]bool),
		appended: make(map[string]time.Time),
		changed:  make(chan struct{}),
	}
}

// Snapshot returns the configuration in force, or nil if there is none yet.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Vars returns the counters of the Store.
func (s *Store) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("accepted", &s.counters.accepted)
	vars.Set("known", &s.counters.known)
	vars.Set("refused", &s.counters.refused)
	vars.Set("ahead", &s.counters.ahead)
	vars.Set("unknown_format", &s.counters.unknownFormat)
	vars.Set("malformed", &s.counters.malformed)
	vars.Set("from_peers", &s.counters.fromPeers)
	vars.Set("gaps", &s.counters.gaps)
	vars.Set("generation", expvar.Func(s.generation))
	return vars
}

func (s *Store) generation() any {
	if snapshot := s.Snapshot(); snapshot != nil {
		return snapshot.Generation()
	}
	return 0
}

// Follow keeps the Store up to date from the log until the context ends.
func (s *Store) Follow(ctx context.Context, service logservice.Service) error {
	tailer := logservice.NewTailer(service, logservice.TailerOptions{Stream: Stream})
	return tailer.Run(ctx, s.ApplyBatch)
}

// ApplyBatch applies records of the log. All changes of a batch come into force
// together.
func (s *Store) ApplyBatch(batch logservice.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = logClock{logTime: batch.Time, localTime: time.Now()}
	if batch.Gap != nil {
		s.counters.gaps.Add(1)
	}
	for _, record := range batch.Records {
		s.applyLogged(record)
	}
	s.caughtUp = batch.CaughtUp
	s.complete = s.complete || batch.CaughtUp
	s.publish()
}

func (s *Store) applyLogged(logged logservice.Record) {
	record, err := DecodeRecord(logged.Data)
	if err != nil {
		s.countUnreadable(logged.Offset, err)
		return
	}
	outcome := s.apply(record, logged.Offset)
	s.count(outcome)
	s.noteAppended(record, logged)
}

// noteAppended stores the append time of a record that holds the current version
// of its subject.
func (s *Store) noteAppended(record Record, logged logservice.Record) {
	current, ok := s.fold.Get(record.Subject)
	origin := record.Origin
	if record.Kind == KindPublish {
		origin = logged.Offset
	}
	if ok && current.Position == (Position{record.Version, origin}) {
		s.appended[record.Subject] = logged.Time
	}
}

func (s *Store) apply(record Record, offset uint64) Outcome {
	outcome := s.fold.Apply(record, offset)
	if outcome == Accepted {
		s.pending[record.Subject] = true
		delete(s.appended, record.Subject)
	}
	return outcome
}

func (s *Store) count(outcome Outcome) {
	switch outcome {
	case Accepted:
		s.counters.accepted.Add(1)
	case Known:
		s.counters.known.Add(1)
	case Refused:
		s.counters.refused.Add(1)
	case Ahead:
		s.counters.ahead.Add(1)
	}
}

// countUnreadable counts a record that could not be decoded and adds an event to
// the time line.
func (s *Store) countUnreadable(offset uint64, err error) {
	if errorx.IsOfType(err, UnknownFormat) {
		s.counters.unknownFormat.Add(1)
	} else {
		s.counters.malformed.Add(1)
	}
	s.recorder.Record(eventUnreadable, "", fmt.Sprintf("offset %d: %v", offset, err))
}

// ApplyPeer applies re-appends that were fetched from a peer; it ignores other
// records.
func (s *Store) ApplyPeer(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		if record.Kind == KindReappend && s.apply(record, 0) == Accepted {
			s.counters.fromPeers.Add(1)
		}
	}
	s.publish()
}

// MarkComplete marks the state as complete, so that snapshots are published. The
// caller has applied the whole state of a peer whose own state is complete.
func (s *Store) MarkComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = true
	s.publish()
}

// publish replaces the current snapshot if the state is complete, holds a fleet
// document and has changed.
func (s *Store) publish() {
	_, hasFleet := s.fold.Get(FleetSubject)
	if !s.complete || !hasFleet || len(s.pending) == 0 {
		return
	}
	changes := make([]change, 0, len(s.pending))
	for subject := range s.pending {
		current, _ := s.fold.Get(subject)
		changes = append(changes, current.change())
	}
	clear(s.pending)
	snapshot := s.current.Load().with(changes)
	s.current.Store(snapshot)
	close(s.changed)
	s.changed = make(chan struct{})
	s.recorder.Record(timeline.ConfigurationSet, "", describe(changes))
}

// describe returns the subject and version of a single change, or the number of
// changed subjects.
func describe(changes []change) string {
	if len(changes) == 1 {
		return fmt.Sprintf("%s version %d", changes[0].subject, changes[0].version)
	}
	return fmt.Sprintf("%d subjects", len(changes))
}

// Complete reports whether the state was completed from the log or a peer.
func (s *Store) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// Current returns the current version of a subject.
func (s *Store) Current(subject string) (Current, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Get(subject)
}

// All returns the current versions of all subjects, sorted by subject.
func (s *Store) All() []Current {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.All()
}

// lastAppended returns the current versions of all subjects with the time of
// their last append by the log service's clock, and the current time of that
// clock. A zero append time means that the version was not seen in the log. Both
// results are empty unless the last read of the log reached its head.
func (s *Store) lastAppended() ([]appendedVersion, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caughtUp {
		return nil, time.Time{}
	}
	all := s.fold.All()
	versions := make([]appendedVersion, len(all))
	for i, current := range all {
		versions[i] = appendedVersion{current, s.appended[current.Record.Subject]}
	}
	return versions, s.clock.now()
}

// appendedVersion is a version with the time of its last append.
type appendedVersion struct {
	Current
	appendedAt time.Time
}

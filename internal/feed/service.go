package feed

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// serveGain is the gain in age, as a fraction of MaxAge, for which a follower is
	// answered although nothing has changed. A follower that was not answered for less
	// must not reach sourceAge before the next read.
	serveGain = 0.1
	// wholeBytesPerSecond and wholeBurst limit the whole states that a VM sends, because
	// all VMs of a zone may ask for one at the same time. Whoever gets none asks another
	// VM or the store.
	wholeBytesPerSecond = 1 << 20
	wholeBurst          = 4 << 20
	// maxHold limits the time for which a follower's call is held.
	maxHold = 30 * time.Second
	// followMargin is how much longer than the hold time a call to a source may take.
	followMargin = 50 * time.Millisecond
	// longPollMargin is how much longer than its wait a long poll may take, as a
	// fraction of the smallest MaxAge.
	longPollMargin = 0.3
	// longPollAge is the age, as a fraction of MaxAge, above which a topic is read
	// without waiting, because a long poll confirms the state only when it ends.
	longPollAge = 0.1
	// readTolerance is the factor by which readAge may be exceeded, so that a step that
	// was cut short by a record does not cause further reads.
	readTolerance = 1.1
)

// Params are the inputs of a Service.
type Params struct {
	View  membership.View
	Store Store
	Peers Peers
	Log   *decisionlog.Log
	// Clock also advances while the machine is suspended.
	Clock  func() time.Time
	Topics []Topic
	Random *rand.Rand
	// EraSeen receives each later era of the store; nil if nobody does. It must not block.
	EraSeen func(era uint64)
}

// topicState is a topic with its replica and what is known of its age.
type topicState struct {
	Topic
	replica *replica
	// applied is set once the receiver has been called.
	applied bool
	// confirmed is the latest time at which the store is known to have had nothing
	// beyond the replica's state; zero if unknown.
	confirmed time.Time
	// outage is set from a failed read of this VM until its next listing or the next
	// update of a source.
	outage bool
	// differs is set if the state differs from the source's.
	differs bool
}

// Service keeps the topics up to date. It is safe for concurrent use.
type Service struct {
	params   Params
	counters Counters

	mu     sync.Mutex
	topics []*topicState
	// advanced is closed and replaced when a topic advances.
	advanced chan struct{}
	// stopped is closed when Run ends.
	stopped chan struct{}
	planner *planner
	// wholeStates limits the bytes of whole states.
	wholeStates *rate.Limiter
	// source is the VM that was followed last; empty if this VM read the store.
	source string
	// era is the latest era of the store that is known of any topic.
	era uint64
	// consulted are the VMs that were asked at the start, nil once one has answered or
	// enough were asked.
	consulted map[string]bool
}

// New returns a service whose state is unknown until Run has read it.
func New(params Params) *Service {
	s := &Service{
		params:      params,
		advanced:    make(chan struct{}),
		stopped:     make(chan struct{}),
		wholeStates: rate.NewLimiter(wholeBytesPerSecond, wholeBurst),
		consulted:   make(map[string]bool),
	}
	maxAge := time.Duration(math.MaxInt64)
	for _, topic := range params.Topics {
		s.topics = append(s.topics, &topicState{Topic: topic, replica: newReplica(topic.Meaning)})
		maxAge = min(maxAge, topic.MaxAge)
	}
	s.planner = newPlanner(params.View.Self(), maxAge, params.Random)
	return s
}

// Counters returns the counters of the service.
func (s *Service) Counters() *Counters { return &s.counters }

// Age returns the time since the store is known to have had nothing newer of a topic.
// It is the maximum duration while the topic is unknown.
func (s *Service) Age(topic string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.topicNamed(topic); t != nil {
		return t.age(s.params.Clock())
	}
	return math.MaxInt64
}

func (t *topicState) age(now time.Time) time.Duration {
	if t.confirmed.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(t.confirmed))
}

// relativeAge returns the age as a fraction of MaxAge, infinite if it is unknown.
func (t *topicState) relativeAge(now time.Time) float64 {
	if t.confirmed.IsZero() {
		return math.Inf(1)
	}
	return float64(t.age(now)) / float64(t.MaxAge)
}

// Run keeps the topics up to date until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) {
	defer close(s.stopped)
	for ctx.Err() == nil {
		s.consult(ctx)
		next := s.plan()
		switch next.kind {
		case readForZone, readForSelf:
			s.readStore(ctx, next.kind)
		case follow:
			s.follow(ctx, next)
		case wait:
			background.Pause(ctx, next.until.Sub(s.params.Clock()))
		}
		s.expire()
	}
}

// plan returns the next step and logs a change of the source.
func (s *Service) plan() step {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.params.Clock()
	next := s.planner.plan(now, s.params.View.Members(), s.planningAge(now))
	source := s.source
	switch next.kind {
	case readForZone:
		source = ""
	case follow:
		source = next.source.VM
	}
	if source != s.source {
		s.params.Log.Change("store is read through another VM", logrus.Fields{
			"source": source, "previous": s.source, "age_ms": s.oldest(now).Milliseconds(),
		})
		s.source = source
	}
	return next
}

// planningAge returns the greatest relative age of a topic. Topics with a longer MaxAge
// are renewed along with the others and count only if they are too old all the same.
func (s *Service) planningAge(now time.Time) float64 {
	oldest := 0.0
	for _, t := range s.topics {
		age := t.relativeAge(now)
		if t.MaxAge == s.planner.maxAge || age >= s.planner.rescueAt {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// oldest returns the greatest age of a topic that is known.
func (s *Service) oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, t := range s.topics {
		if !t.confirmed.IsZero() {
			oldest = max(oldest, t.age(now))
		}
	}
	return oldest
}

// expire deletes the keys that did not come back in time after an outage. A key that came
// back may be in records that were not read yet, so that only the time counts up to which the
// state is known to be complete.
func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		s.apply(t, t.replica.expire(t.confirmed))
	}
}

// apply passes changes to the topic's receiver, and calls it once even if the topic is
// empty. The lock must be held.
func (s *Service) apply(t *topicState, changes []Record) {
	if len(changes) > 0 || t.replica.listed && !t.applied {
		t.applied = true
		t.Apply(changes)
	}
}

// signalAdvance wakes the calls of followers. The lock must be held.
func (s *Service) signalAdvance() {
	close(s.advanced)
	s.advanced = make(chan struct{})
}

// readStore reads all topics that are due: at the same time, or one after the other
// while the store fails, so that a failing store gets one call instead of all.
func (s *Service) readStore(ctx context.Context, kind stepKind) {
	due, failing := s.due(kind)
	if len(due) == 0 {
		background.Pause(ctx, time.Duration(readAge*float64(s.planner.maxAge)))
		return
	}
	failed := false
	if failing {
		failed = !s.readOneByOne(ctx, due, kind)
	} else {
		failed = !s.readTogether(ctx, due, kind)
	}
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed {
		s.planner.storeFailed(s.params.Clock(), s.params.View.Members())
		return
	}
	s.planner.storeAnswered()
}

// readOneByOne reads topics until one fails and reports whether none did.
func (s *Service) readOneByOne(ctx context.Context, due []*topicState, kind stepKind) bool {
	for _, t := range due {
		if !s.tryTopic(ctx, t, kind) {
			return false
		}
	}
	return true
}

// readTogether reads topics at the same time and reports whether none failed.
func (s *Service) readTogether(ctx context.Context, due []*topicState, kind stepKind) bool {
	var reads sync.WaitGroup
	var failed atomic.Bool
	for _, t := range due {
		reads.Go(func() {
			if !s.tryTopic(ctx, t, kind) {
				failed.Store(true)
			}
		})
	}
	reads.Wait()
	return !failed.Load()
}

// tryTopic reads a topic and reports whether the store answered.
func (s *Service) tryTopic(ctx context.Context, t *topicState, kind stepKind) bool {
	err := s.readTopic(ctx, t, kind)
	if err == nil || ctx.Err() != nil {
		return true
	}
	s.handleReadError(t, err)
	return errorx.IsOfType(err, Trimmed)
}

// due returns the topics to read, and whether the last reads of the store failed.
func (s *Service) due(kind stepKind) (due []*topicState, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.params.Clock()
	for _, t := range s.topics {
		if kind == readForSelf && t.relativeAge(now) >= sourceAge || kind == readForZone && s.dueForZone(t, now) {
			due = append(due, t)
		}
	}
	return due, s.planner.storeFailing
}

// dueForZone reports whether the reader of the zone reads a topic in this step. A step
// lasts as long as its long polls; a topic that would become too old meanwhile is read
// at its beginning, and so is one that is wanted or whose state is of an earlier era of
// the store.
func (s *Service) dueForZone(t *topicState, now time.Time) bool {
	step := readAge * float64(s.planner.maxAge)
	return t.LongPoll || t.replica.era < s.era || t.Wanted != nil && t.Wanted() || float64(t.age(now))+step > readAge*readTolerance*float64(t.MaxAge)
}

// readTopic reads the records of a topic that follow its state, or all if it has none.
func (s *Service) readTopic(ctx context.Context, t *topicState, kind stepKind) error {
	s.count(kind)
	s.mu.Lock()
	began, next := s.params.Clock(), t.replica.next
	listing := !t.replica.listed || t.outage
	waits := kind == readForZone && t.LongPoll && t.relativeAge(began) < longPollAge
	s.mu.Unlock()
	if listing {
		return s.listTopic(ctx, t, began)
	}
	longPoll := time.Duration(0)
	if waits {
		longPoll = time.Duration(readAge * float64(s.planner.maxAge))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, longPoll+time.Duration(longPollMargin*float64(s.planner.maxAge)))
		defer cancel()
	}
	page, err := s.params.Store.Read(ctx, t.Name, next, longPoll)
	if err != nil {
		return err
	}
	if elapsed := s.params.Clock().Sub(began); len(page.Records) == 0 && elapsed >= longPoll {
		// The store answers a long poll without records no sooner than at its end.
		began = began.Add(longPoll)
	}
	if s.applyRead(t, page, began) {
		return nil
	}
	return s.listTopic(ctx, t, s.params.Clock())
}

// applyRead applies the records of a read. It returns false if they are of another era than
// the state, so that their offsets do not continue it.
func (s *Service) applyRead(t *topicState, page Page, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Era != t.replica.era {
		return false
	}
	s.apply(t, t.replica.applyPage(page))
	s.confirm(t, began)
	return true
}

// listTopic reads the newest record of each key.
func (s *Service) listTopic(ctx context.Context, t *topicState, began time.Time) error {
	page, err := s.params.Store.List(ctx, t.Name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Era < t.replica.era {
		return OlderEra.New("era %d of %s, %d is known", page.Era, t.Name, t.replica.era)
	}
	if t.replica.listed && t.replica.older(page.Era, page.Next) {
		return nil
	}
	var keepUntil time.Time
	if page.Era > t.replica.era && t.applied {
		s.recordEra(t, page.Era, page.Next)
		keepUntil = s.params.Clock().Add(t.LapseGrace)
	}
	if t.outage {
		s.params.Log.Change("store is back", logrus.Fields{"topic": t.Name, "offset": page.Next})
		keepUntil = s.params.Clock().Add(t.LapseGrace)
	}
	s.apply(t, t.replica.applyListing(page, keepUntil))
	s.confirm(t, began)
	return nil
}

func (s *Service) count(kind stepKind) {
	if kind == readForZone {
		s.counters.ReadsForZone.Add(1)
		return
	}
	s.counters.ReadsForSelf.Add(1)
}

// recordEra records that the store came back from an older copy. The lock must be held.
func (s *Service) recordEra(t *topicState, era, next uint64) {
	s.counters.Eras.Add(1)
	s.params.Log.Change("store came back from an older copy", logrus.Fields{
		"topic": t.Name, "era": era, "previous_era": t.replica.era, "offset": next, "previous_offset": t.replica.next,
		"source": s.source,
	})
}

// confirm records that the store had nothing beyond the state at a time. The lock must
// be held.
func (s *Service) confirm(t *topicState, at time.Time) {
	t.outage = false
	if t.replica.era > s.era {
		s.era = t.replica.era
		if s.params.EraSeen != nil {
			s.params.EraSeen(s.era)
		}
	}
	if at.After(t.confirmed) {
		t.confirmed = at
	}
	s.signalAdvance()
}

// handleReadError records a failed read.
func (s *Service) handleReadError(t *topicState, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.ReadsFailed.Add(1)
	fields := logrus.Fields{"topic": t.Name, "offset": t.replica.next, "error": err.Error()}
	if errorx.IsOfType(err, Trimmed) {
		// The next read lists the topic.
		t.replica.listed = false
		t.confirmed = time.Time{}
		s.params.Log.Change("store dropped records that were not read", fields)
		return
	}
	if errorx.IsOfType(err, OlderEra) {
		s.params.Log.Change("response of an earlier era of the store ignored", fields)
		return
	}
	if !t.outage {
		s.params.Log.Change("store is away", fields)
	}
	t.outage = true
}

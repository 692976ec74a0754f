package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// batchTime is the time for which facts are collected before they are sent.
	batchTime = 10 * time.Millisecond
	// callTimeout bounds a call to another VM.
	callTimeout = 300 * time.Millisecond
	// maxQueued bounds the facts that wait to be sent.
	maxQueued = 4 * (maxCrashes + maxSounds)
	// minStep and maxStep bound the time between two steps of run.
	minStep, maxStep = time.Millisecond, time.Second
	// stallTime is the delay of a step from which on the process counts as having been
	// suspended, so that it may have missed facts.
	stallTime = time.Second
	// rejectedLogPeriod is the least time between two log lines on rejected facts.
	rejectedLogPeriod = time.Minute
)

// factStore holds the facts that this VM knows. It is safe for concurrent use, and no
// lock of the sharer is held when it is called.
type factStore interface {
	// merge adds facts and returns those that were new here.
	merge(f Facts) Facts
	// all returns all facts with their present ages: at most maxCrashes and maxSounds,
	// all of them valid.
	all() Facts
	// digest identifies the facts regardless of their ages; equal facts have equal
	// digests. It is 0 if there are none.
	digest() uint64
}

// Message is the request or the response of an exchange between two VMs.
type Message struct {
	Facts Facts
	// Digest identifies all facts that the sender knows; 0 in a request that asks for
	// none.
	Digest uint64
	// Forward asks the called VM to pass on what is new to it to its availability zone.
	Forward bool
}

// Peers are calls to other VMs.
type Peers interface {
	// Exchange gives a message to a member and returns its response. The error is
	// Unserved if the member runs an earlier version.
	Exchange(ctx context.Context, to membership.Member, m Message) (Message, error)
}

// shareParams are the inputs of a sharer.
type shareParams struct {
	view  membership.View
	peers Peers
	store factStore
	log   *decisionlog.Log
	// clock also advances while the machine is suspended.
	clock  func() time.Time
	random *rand.Rand
}

// sharer makes the facts of each VM known to all. It is safe for concurrent use.
type sharer struct {
	shareParams
	counters shareCounters
	// wake signals run that something is due.
	wake chan struct{}
	// running are goroutines of calls.
	running sync.WaitGroup

	mu sync.Mutex
	// started is the time of the start of run, expected that by which its next step
	// begins.
	started, expected time.Time
	queued            queue
	deliveries        []*delivery
	// calls is the number of calls of deliveries in flight.
	calls int
	// calling are the members of the own zone to which one is in flight.
	calling map[string]bool
	// zones are the other zones that have been in view.
	zones map[string]bool
	// unserved are processes of an earlier version.
	unserved map[process]bool
	// ownLane and otherLane are the periodic exchanges with the own zone and with
	// others.
	ownLane, otherLane lane
	// eager is the number of exchanges with the own zone that follow without waiting
	// for the period.
	eager int
	// learned are the facts that only an exchange has brought so far.
	learned keySet
	// rejectedLogged is the time of the last log line on rejected facts.
	rejectedLogged time.Time
}

// process identifies a start of a VM's process.
type process struct {
	vm          string
	incarnation uint64
}

// newSharer returns a sharer that makes calls once run is called.
func newSharer(params shareParams) *sharer {
	return &sharer{
		shareParams: params,
		wake:        make(chan struct{}, 1),
		calling:     make(map[string]bool),
		zones:       make(map[string]bool),
		unserved:    make(map[process]bool),
		learned:     make(keySet),
	}
}

// publish sends facts that were observed here, and are in the store, to all VMs. It
// never blocks.
func (s *sharer) publish(f Facts) {
	valid := s.accept(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Published.Add(s.enqueue(valid, everywhere))
}

// handle takes a message of another VM and returns the response.
func (s *sharer) handle(m Message) Message {
	valid := s.bounded(m.Facts)
	if fresh := s.merge(valid); m.Forward {
		s.forward(fresh, valid)
	} else if m.Digest != 0 {
		s.noteLearned(fresh)
	}
	if m.Digest == 0 {
		return Message{}
	}
	return s.respond(m.Digest)
}

// forward passes on to the own zone what is new of the facts that another zone sent for
// it. What this VM has learned by an exchange may be unknown to the zone as well.
func (s *sharer) forward(fresh, sent Facts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := Facts{Crashes: slices.Clone(fresh.Crashes), Sounds: slices.Clone(fresh.Sounds)}
	due.add(s.learned.take(&sent))
	s.counters.Forwarded.Add(s.enqueue(due, ownZone))
}

// noteLearned notes facts that an exchange brought. They are spread by further exchanges.
func (s *sharer) noteLearned(fresh Facts) {
	if fresh.Empty() {
		return
	}
	s.mu.Lock()
	s.learned.add(&fresh)
	s.mu.Unlock()
	s.hurry()
}

// respond returns the facts of this VM unless the digest is that of its facts.
func (s *sharer) respond(digest uint64) Message {
	response := Message{Digest: wireDigest(s.store.digest())}
	if response.Digest != digest {
		all := s.store.all()
		response.Facts = all.first()
	}
	return response
}

// bounded returns the facts of a message that are within the bounds, and counts the
// others.
func (s *sharer) bounded(f Facts) Facts {
	first := f.first()
	s.reject(f.size() - first.size())
	return s.accept(first)
}

// merge adds valid facts of another VM to the store and returns the new ones.
func (s *sharer) merge(valid Facts) Facts {
	if valid.Empty() {
		return Facts{}
	}
	fresh := s.store.merge(valid)
	s.counters.Received.Add(int64(fresh.size()))
	return fresh
}

// accept returns the facts that are valid and counts the others.
func (s *sharer) accept(f Facts) Facts {
	valid, rejected := f.valid()
	s.reject(rejected)
	return valid
}

func (s *sharer) reject(n int) {
	if n == 0 {
		return
	}
	s.counters.Rejected.Add(int64(n))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.rejectedLogged.IsZero() || now.Sub(s.rejectedLogged) >= rejectedLogPeriod {
		s.rejectedLogged = now
		s.log.Change("facts about crashes are outside of the bounds", logrus.Fields{"rejected": s.counters.Rejected.Load()})
	}
}

func (s *sharer) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run shares facts until ctx ends. It is called once.
func (s *sharer) run(ctx context.Context) {
	defer s.running.Wait()
	s.mu.Lock()
	s.started = s.clock()
	s.mu.Unlock()
	timer := time.AfterFunc(0, s.signal)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			timer.Reset(s.step(ctx))
		}
	}
}

// step begins what is due and returns the time to the next step.
func (s *sharer) step(ctx context.Context) time.Duration {
	known := s.store.digest() != 0
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if !s.expected.IsZero() && now.Sub(s.expected) >= stallTime {
		s.ownLane.restart()
		s.otherLane.restart()
	}
	members := s.view.Members()
	next := s.plan(now, members)
	next = earlier(next, s.deliver(ctx, now, members))
	next = earlier(next, s.exchangeDue(ctx, now, members, known))
	pause := min(maxStep, max(minStep, next.Sub(now)))
	if next.IsZero() {
		pause = maxStep
	}
	s.expected = now.Add(pause)
	return pause
}

// earlier returns the earlier one of two times; zero stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// spawn runs a function in a goroutine that run waits for.
func (s *sharer) spawn(f func()) { s.running.Go(f) }

// call makes one call.
func (s *sharer) call(ctx context.Context, to membership.Member, m Message) (Message, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peers.Exchange(limited, to, m)
}

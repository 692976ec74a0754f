package origin

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// HandOverTime bounds HandOver. It has to fit in what a node reserves for the end of its
// stop.
const HandOverTime = 200 * time.Millisecond

const (
	// sendTimeout bounds a call that carries records. A slower member is replaced.
	sendTimeout = 300 * time.Millisecond
	// avoidTime is how long a member comes last after a failed call.
	avoidTime = 1500 * time.Millisecond
	// maxFailures is the number of failed calls for a record after which it waits for
	// the next periodic check.
	maxFailures = 6
	// maxBatch is the number of records that a call carries at most.
	maxBatch = 256
	// maxCalls bounds the calls with records in flight.
	maxCalls = 64
	// handOverCall bounds a call of HandOver, so that another member can be tried.
	handOverCall = 90 * time.Millisecond
	// maxHeldPlanned is the number of held records that one step of HandOver plans.
	maxHeldPlanned = 1024
	// handOverPause is the time between two steps of HandOver.
	handOverPause = 5 * time.Millisecond
	// handOverAge is the age from which held records are handed over. The VM that made
	// a younger one replaces its holder itself; until then it may still change the build.
	handOverAge = time.Second
)

// batch is the records for one member in one call.
type batch struct {
	to      membership.Member
	records []Copy
	// runs are the runs of the records; nil for those held for others.
	runs []*run
}

// batches collects records by member.
type batches struct {
	open map[string]*batch
	full []*batch
}

func (b *batches) add(to *membership.Member, record Copy, r *run) {
	open := b.open[to.VM]
	if open == nil {
		open = &batch{to: *to}
		b.open[to.VM] = open
	}
	open.records = append(open.records, record)
	open.runs = append(open.runs, r)
	if len(open.records) == maxBatch {
		b.full = append(b.full, open)
		delete(b.open, to.VM)
	}
}

func (b *batches) all() []*batch {
	all := b.full
	for _, open := range b.open {
		all = append(all, open)
	}
	return all
}

// dispatch sends the records that are due. It does not wait for the calls, each of which
// is bounded by the timeout.
func (s *Service) dispatch(ctx context.Context, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	members := s.params.View.Members()
	collected := batches{open: make(map[string]*batch)}
	for len(s.due) > 0 && s.calls+len(collected.full)+len(collected.open) < maxCalls {
		stream := s.due[0]
		s.due = s.due[1:]
		if slot := s.own.get(now, stream); slot != nil {
			s.planRun(now, slot, members, &collected)
		}
	}
	if len(s.due) == 0 {
		s.due = nil
	}
	s.planHeld(now, members, &collected)
	for _, b := range collected.all() {
		s.calls++
		if !s.start(func() { s.send(ctx, b, timeout) }) {
			s.calls--
		}
	}
}

// planRun adds the record of a stream for all holders that lack it.
func (s *Service) planRun(now time.Duration, slot *slot, members []membership.Member, collected *batches) {
	r := slot.run
	r.due = false
	ranks := rank(slot.stream, s.params.View.Self(), members, s.isAvoided(now))
	missing, outdated := r.missing(&ranks), r.outdated()
	r.settled = len(missing) == 0 && len(outdated) == 0
	if r.failures >= maxFailures {
		return
	}
	record := slot.copy(now)
	for i := range missing {
		if !s.isAvoided(now)(missing[i].VM) {
			s.plan(&missing[i].Member, record, r, collected)
		}
	}
	for _, vm := range outdated {
		at := slices.IndexFunc(members, func(m membership.Member) bool { return m.VM == vm })
		if at >= 0 {
			s.plan(&members[at], record, r, collected)
		}
	}
}

// plan adds a record for a member unless a call to it is in flight.
func (s *Service) plan(to *membership.Member, record Copy, r *run, collected *batches) {
	if c := r.find(to.VM); c != nil && c.inFlight {
		return
	}
	if r.sending(to, record.Revision) && len(r.copies) > copies {
		s.counters.Replaced.Add(1)
	}
	collected.add(to, record, r)
}

func (s *Service) isAvoided(now time.Duration) func(string) bool {
	return func(vm string) bool { return s.avoided[vm] > now }
}

// planHeld adds the records held for others that were not yet given to the member that
// follows this VM.
func (s *Service) planHeld(now time.Duration, members []membership.Member, collected *batches) {
	n := min(len(s.heldDue), maxHeldPlanned)
	for _, stream := range s.heldDue[:n] {
		if slot := s.held.get(now, stream); slot != nil {
			s.planHandOver(now, slot, members, collected)
		}
	}
	s.heldDue = s.heldDue[n:]
}

func (s *Service) planHandOver(now time.Duration, slot *slot, members []membership.Member, collected *batches) {
	ranks := rank(slot.stream, s.params.View.Self(), members, s.isAvoided(now))
	next, known := ranks.successor()
	to := process{next.VM, next.Incarnation}
	if !known || s.handed[slot.stream] == to {
		return
	}
	s.handed[slot.stream] = to
	collected.add(&next.Member, slot.copy(now), nil)
}

// send makes one call and notes its outcome.
func (s *Service) send(ctx context.Context, b *batch, timeout time.Duration) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := s.params.Peers.Replicate(limited, b.to, b.records)
	s.counters.Calls.Add(1)
	s.counters.Sent.Add(int64(len(b.records)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if err != nil {
		s.counters.CallsFailed.Add(1)
		s.avoided[b.to.VM] = s.now() + avoidTime
	}
	for i, r := range b.runs {
		s.noteSent(b, i, r, err == nil)
	}
	if len(s.due)+len(s.heldDue) > 0 {
		s.signal()
	}
}

// noteSent notes the outcome of a call for one of its records.
func (s *Service) noteSent(b *batch, i int, r *run, ok bool) {
	record := &b.records[i]
	if r == nil {
		if ok {
			s.counters.HandedOver.Add(1)
		} else {
			delete(s.handed, record.Stream)
			s.heldDue = append(s.heldDue, record.Stream)
		}
		return
	}
	r.sent(&b.to, record.Revision, ok)
	slot := s.own.get(s.now(), record.Stream)
	if slot != nil && slot.run == r && (!ok || record.Revision < r.buildRevision) {
		s.setDue(slot)
	}
}

// HandOver gives what this VM knows to the members that follow it: the records of its
// own streams to holders that lack them, those held for others to the next member. It is
// called when the VM begins to drain, and again when its streams have ended; the second
// call sends only what has changed since. It takes HandOverTime at most.
func (s *Service) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, HandOverTime)
	defer cancel()
	began := s.now()
	sent, failed := s.counters.Sent.Load(), s.counters.CallsFailed.Load()
	s.beginHandOver()
	for ctx.Err() == nil {
		s.dispatch(ctx, handOverCall)
		if s.idle() {
			break
		}
		background.Pause(ctx, handOverPause)
	}
	s.params.Log.Change("records of streams' builds handed over", logrus.Fields{
		"records": s.counters.Sent.Load() - sent, "calls_failed": s.counters.CallsFailed.Load() - failed,
		"ms": (s.now() - began).Milliseconds(), "in_time": ctx.Err() == nil,
	})
}

func (s *Service) beginHandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handed == nil {
		s.handed = make(map[string]process)
	}
	now := s.now()
	s.own.all(now, func(slot *slot) {
		slot.run.failures = 0
		s.setDue(slot)
	})
	s.heldDue = nil
	s.held.all(now, func(slot *slot) {
		if slot.copy(now).Age >= handOverAge && s.own.get(now, slot.stream) == nil {
			s.heldDue = append(s.heldDue, slot.stream)
		}
	})
}

// idle reports whether no record is due and no call is in flight.
func (s *Service) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls == 0 && len(s.due)+len(s.heldDue) == 0
}

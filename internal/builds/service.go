package builds

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// checkPeriod is the time between two checks for records that are to be written.
	checkPeriod = 200 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
	// rankDelay is the time by which each VM in the order waits longer than the one before
	// it. The first VM notices a change up to checkPeriod after the second one, and its record
	// takes nearly a second to reach all VMs.
	rankDelay = 1500 * time.Millisecond
	// startDelay and firstDelay are the times after its start for which a VM writes no
	// record, or none for a service without one, because its view may lack members.
	startDelay, firstDelay = time.Second, 2 * time.Second
	// leftDelay is the time for which a record must have differed if it lacks no build that
	// serves. The registrations of this VM may be a moment older than the record.
	leftDelay = time.Second
	// repeatDelay is the time after a write for which this VM does not write the same builds
	// again. The record arrives within it.
	repeatDelay = 3 * time.Second
	// pauseSpread is the largest random part of a pause after a failed write, as a fraction
	// of the pause.
	pauseSpread = 0.25
)

// writePauses bound the pauses between failed writes. Streams may wait for a record.
var writePauses = cooldown.Bounds{First: 500 * time.Millisecond, Longest: 4 * time.Second}

// Store keeps the records.
type Store interface {
	// Put writes the record of a service. The error is not nil if the record may not be kept,
	// or not in the era that it names. A record that does not cover the one in the store is not
	// written, also if the store carries the write out later.
	Put(ctx context.Context, record Record) error
}

// Params are the inputs of a Service.
type Params struct {
	View    membership.View
	History *History
	Store   Store
	Log     *decisionlog.Log
	// Clock also advances while the machine is suspended.
	Clock func() time.Time
	// FirstStart is set if this process started with the whole deployment for the first time, so
	// that no service can have had other builds before.
	FirstStart bool
	// Started returns the wall-clock time at which a process with an incarnation started.
	Started func(incarnation uint64) time.Time
	// RegistrationsAge and RecordsAge return the times since the registrations of endpoints
	// and the records of builds are known to have been complete.
	RegistrationsAge, RecordsAge func() time.Duration
	// Random spreads the calls of different VMs.
	Random *rand.Rand
}

// Counters count what the service did.
type Counters struct {
	// Writes counts records written, WritesFailed those that the store did not accept.
	Writes, WritesFailed atomic.Int64
	// Interruptions counts the times that builds may have come and gone unseen.
	Interruptions atomic.Int64
}

// Service writes the records of builds. Only Run uses its state.
type Service struct {
	params   Params
	counters Counters
	wake     chan struct{}

	started, checked time.Time
	// written are the last writes by service.
	written map[string]written
	// failures and next pace writes after failures.
	failures cooldown.Cooldown
	next     time.Time
	// interrupted is the time of the last interruption, zero once the records were read again.
	interrupted time.Time
}

// written is a record that this VM wrote.
type written struct {
	record Record
	at     time.Time
}

// NewService returns a service that writes records once Run is called.
func NewService(params Params) *Service {
	s := &Service{params: params, wake: make(chan struct{}, 1), written: make(map[string]written)}
	params.History.OnChange(func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
	return s
}

// Vars returns the counters.
func (s *Service) Vars() *expvar.Map { return metrics.Fields(&s.counters) }

// Run writes records until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) {
	s.started = s.params.Clock()
	s.checked = s.started
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
		s.checkObservation()
		s.write(ctx)
	}
}

// checkObservation notes interruptions of the observation: this process was held up, or its
// registrations are old.
func (s *Service) checkObservation() {
	now := s.params.Clock()
	age, held := s.params.RegistrationsAge(), now.Sub(s.checked)
	s.checked = now
	switch {
	case age > MaxAge || held > MaxAge:
		if !s.params.History.Interrupt(time.Now()) {
			return
		}
		if s.interrupted.IsZero() {
			s.counters.Interruptions.Add(1)
			s.params.Log.Change("observation of builds interrupted", logrus.Fields{
				"registrations_age_ms": age.Milliseconds(), "held_up_ms": held.Milliseconds(),
			})
		}
		s.interrupted = now
	case !s.interrupted.IsZero() && s.params.RecordsAge() < now.Sub(s.interrupted):
		s.interrupted = time.Time{}
		s.params.History.Refreshed()
	}
}

// write writes the records that are due.
func (s *Service) write(ctx context.Context) {
	now := time.Now()
	for _, change := range s.params.History.Changes(now, s.beginning(now)) {
		if ctx.Err() != nil || s.params.Clock().Before(s.next) {
			return
		}
		if s.due(now, &change) {
			s.put(ctx, &change.Record)
		}
	}
}

// beginning reports whether services without a record have just begun.
func (s *Service) beginning(now time.Time) bool {
	return Beginning(now, s.params.FirstStart, s.params.View.Members(), s.params.Started)
}

// Beginning reports whether the deployment has just begun: this process belongs to its first start and none of the VMs in
// view has run for longer than Memory. That all VMs are young does not suffice, as they may have been replaced together.
// Started returns the time at which a process with an incarnation started.
func Beginning(now time.Time, firstStart bool, members []membership.Member, started func(incarnation uint64) time.Time) bool {
	return firstStart && !slices.ContainsFunc(members, func(m membership.Member) bool {
		return m.Incarnation == 0 || !within(now, started(m.Incarnation))
	})
}

// due reports whether this VM writes a record now.
func (s *Service) due(now time.Time, change *Change) bool {
	began := startDelay
	if change.First {
		began = firstDelay
	}
	// All VMs may have started at the same moment, so that their order counts from then on.
	waited := min(now.Sub(change.Differs), s.params.Clock().Sub(s.started)-began)
	last := s.written[change.Service]
	if last.record.sameBuilds(&change.Record) && s.params.Clock().Sub(last.at) < repeatDelay {
		return false
	}
	delay := time.Duration(0)
	if !change.Urgent {
		delay = leftDelay
	}
	view := s.params.View
	rank := rendezvous.Rank("builds\x00"+change.Service, view.Self().VM, view.Members(), membership.Member.Available)
	return waited >= delay+time.Duration(rank)*rankDelay
}

func (s *Service) put(ctx context.Context, record *Record) {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	began := s.params.Clock()
	err := s.params.Store.Put(limited, *record)
	if ctx.Err() != nil {
		return
	}
	now := s.params.Clock()
	if now.Sub(began) < MaxAge {
		// The wait for the store is no interruption.
		s.checked = now
	}
	fields := logrus.Fields{"service": record.Service, "serving": record.Serving, "left": names(record.Left), "era": record.Era}
	if err != nil {
		s.counters.WritesFailed.Add(1)
		s.failures.Extend(now, writePauses)
		pause := s.failures.Until().Sub(now)
		s.next = now.Add(pause + time.Duration(pauseSpread*s.params.Random.Float64()*float64(pause)))
		fields["error"] = err.Error()
		s.params.Log.Change("builds of a service not written", fields)
		return
	}
	s.counters.Writes.Add(1)
	s.failures, s.next = cooldown.Cooldown{}, time.Time{}
	s.written[record.Service] = written{*record, now}
	s.params.Log.Change("builds of a service written", fields)
}

func names(left []Left) []string {
	all := make([]string, len(left))
	for i, l := range left {
		all[i] = l.Build
	}
	return all
}

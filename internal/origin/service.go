package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// batchTime is the time for which records are collected before they are sent.
	batchTime = 10 * time.Millisecond
	// checkPeriod is the time between two checks of the holders.
	checkPeriod = time.Second
	// maxRun is the time after which a stream that was not reported as ended counts as
	// ended.
	maxRun = 10 * time.Minute
	// maxOwn and maxHeld bound the numbers of records of streams served here and of
	// other records.
	maxOwn, maxHeld = 8 << 10, 16 << 10
	// confirmPeriod is the time between two checks of Confirm.
	confirmPeriod = 5 * time.Millisecond
)

// Peers are calls to other VMs.
type Peers interface {
	// Replicate gives records to a member to hold.
	Replicate(ctx context.Context, to membership.Member, records []Copy) error
	// Lookup asks a member for a stream's record; false if it has none.
	Lookup(ctx context.Context, to membership.Member, stream string) (Copy, bool, error)
	// Archive asks a member to append records to the archive.
	Archive(ctx context.Context, to membership.Member, records []Copy) error
}

// Params are the inputs of a Service.
type Params struct {
	View  membership.View
	Peers Peers
	Log   *decisionlog.Log
	// Clock also advances while the machine is suspended.
	Clock func() time.Time
	// Archive keeps records beyond the life of all VMs' processes; nil if nothing does.
	Archive Archive
	// Archived reports whether the records of a service's streams are archived. It must not
	// block. WakeArchive is to be called when it changes.
	Archived func(service string) bool
}

// Service keeps records of the beginnings of streams. It is safe for concurrent use.
type Service struct {
	params   Params
	counters Counters
	started  time.Time
	// wake signals Run that streams are due.
	wake chan struct{}
	// lookups limits the calls of Find in flight.
	lookups chan struct{}
	// running are goroutines of calls, stopping is closed to end searches.
	running  sync.WaitGroup
	stopping chan struct{}

	mu sync.Mutex
	// stopped is set when Run ends; no goroutine starts after it.
	stopped bool
	// own are the records of streams that are or were served here, held all others.
	own, held *table
	// due are the streams of own whose copies must be checked.
	due []string
	// avoided are VMs whose last call failed, with the time until which they come last.
	avoided map[string]time.Duration
	// calls is the number of calls with records in flight.
	calls int
	// members is the view at the last periodic check.
	members []membership.Member
	// handed is the VM's process to which each held record was given on a stop; nil
	// before that.
	handed map[string]process
	// heldDue are the held records that HandOver must give to another VM.
	heldDue []string
	queries map[string]*query
	// dropLogged is the time of the last log line on dropped records.
	dropLogged time.Duration
	sender     archiveSender

	// archiveWake signals runArchive that records may be due.
	archiveWake chan struct{}
	appender    *archiver
	reader      *archiveReader
}

// process identifies a start of a VM's process.
type process struct {
	vm          string
	incarnation uint64
}

// New returns a service that sends records once Run is called.
func New(params Params) *Service {
	s := &Service{
		params:     params,
		started:    params.Clock(),
		wake:       make(chan struct{}, 1),
		lookups:    make(chan struct{}, maxLookups),
		stopping:   make(chan struct{}),
		own:        newTable(maxOwn),
		held:       newTable(maxHeld),
		avoided:    make(map[string]time.Duration),
		queries:    make(map[string]*query),
		dropLogged: -Lifetime,

		sender:      archiveSender{archivers: make(map[string]cooldown.Cooldown)},
		archiveWake: make(chan struct{}, 1),
	}
	s.appender = newArchiver(&s.params, &s.counters)
	s.reader = newArchiveReader(s)
	return s
}

// Counters returns the counters of the service.
func (s *Service) Counters() *Counters { return &s.counters }

// Size returns the number of records in memory.
func (s *Service) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.size() + s.held.size()
}

// now returns the time since the start of the service.
func (s *Service) now() time.Duration { return s.params.Clock().Sub(s.started) }

// Record records the build that begins a stream, or that goes on with it, before the
// request is sent to the engine. It never blocks; copies are sent within batchTime. A
// record of a lower revision than the known one changes nothing but that the stream
// runs here.
func (s *Service) Record(o Origin) {
	if !o.valid() {
		s.counters.Rejected.Add(1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if known := s.held.get(now, o.Stream); known != nil && known.revision > o.Revision {
		o = known.origin()
	}
	previous := ""
	if known := s.own.get(now, o.Stream); known != nil {
		previous = known.build.Value()
	}
	result := s.own.put(now, &o, now+maxRun)
	s.note(now, result)
	slot := result.slot
	r := slot.run
	switch {
	case r == nil:
		s.counters.Recorded.Add(1)
		r = &run{renewed: now, buildRevision: slot.revision}
		slot.run = r
	case slot.build.Value() != previous:
		r.buildRevision = slot.revision
	case !r.ended:
		return
	}
	if r.ended {
		r.ended = false
		r.renew(now)
	}
	s.setDue(slot)
	s.signal()
	if s.needsArchive(slot.service.Value()) && !slot.run.archived.current(slot.run, s.params.Archive.Era()) {
		s.setArchiveDue(slot)
		s.WakeArchive()
	}
}

// note counts conflicts and dropped records.
func (s *Service) note(now time.Duration, result merged) {
	if result.conflict {
		s.counters.Conflicts.Add(1)
	}
	if !result.dropped {
		return
	}
	s.counters.Dropped.Add(1)
	if now-s.dropLogged >= Lifetime {
		s.dropLogged = now
		s.params.Log.Change("records of streams' builds are dropped before their time", logrus.Fields{
			"own": s.own.size(), "held": s.held.size(), "dropped": s.counters.Dropped.Load(),
		})
	}
}

// setDue makes Run check the copies of a stream.
func (s *Service) setDue(slot *slot) {
	if !slot.run.due {
		slot.run.due = true
		s.due = append(s.due, slot.stream)
	}
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// End reports that a stream does not run here any more. The record of a complete stream
// is dropped here and lapses at its holders; that of an incomplete one is kept for
// Lifetime, and its holders with it.
func (s *Service) End(stream string, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	slot := s.own.get(now, stream)
	if slot == nil {
		return
	}
	if complete {
		s.own.delete(stream)
		s.held.delete(stream)
		return
	}
	if !slot.run.ended {
		slot.run.ended = true
		s.own.setExpiry(stream, now+Lifetime)
	}
}

// Confirm returns once no VM may have the record of a stream with a former build. It
// returns at once unless Record has changed the build after a record was sent. The error
// is Unconfirmed if ctx ends before that, for example because a holder has failed.
func (s *Service) Confirm(ctx context.Context, stream string) error {
	for !s.confirmed(stream) {
		background.Pause(ctx, confirmPeriod)
		if ctx.Err() != nil {
			return Unconfirmed.New("stream %s: a holder may have a former build", stream)
		}
	}
	return nil
}

func (s *Service) confirmed(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.own.get(s.now(), stream)
	return slot == nil || len(slot.run.outdated()) == 0
}

// Run sends records and keeps their holders until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) {
	defer s.stop()
	if s.params.Archive != nil {
		var archiving sync.WaitGroup
		defer archiving.Wait()
		archiving.Go(func() { s.runArchive(ctx) })
		archiving.Go(func() { s.appender.run(ctx) })
	}
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			background.Pause(ctx, batchTime)
		case <-ticker.C:
			s.check()
			s.reader.expire()
			s.WakeArchive()
		}
		s.dispatch(ctx, sendTimeout)
	}
}

// stop ends searches and waits for calls in flight.
func (s *Service) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	close(s.stopping)
	s.running.Wait()
}

// start runs a function in a goroutine that stop waits for. It reports false after the
// stop. The lock must be held.
func (s *Service) start(run func()) bool {
	if !s.stopped {
		s.running.Go(run)
	}
	return !s.stopped
}

// check drops records whose lifetime has ended, and makes streams due whose holders may
// have changed or whose copies need to be renewed.
func (s *Service) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.own.expire(now)
	s.held.expire(now)
	for vm, until := range s.avoided {
		if until <= now {
			delete(s.avoided, vm)
		}
	}
	members := s.params.View.Members()
	changed := !slices.Equal(members, s.members)
	s.members = members
	s.own.all(now, func(slot *slot) {
		r := slot.run
		r.failures = 0
		if !r.ended && now-r.renewed >= Lifetime/2 {
			s.counters.Renewed.Add(1)
			r.renew(now)
		}
		if changed || !r.settled {
			s.setDue(slot)
		}
	})
}

// renew makes the record be sent again to all its holders.
func (r *run) renew(now time.Duration) {
	r.renewed, r.settled = now, false
	for i := range r.copies {
		r.copies[i].stale = true
	}
}

// Accept takes records of another VM to hold.
func (s *Service) Accept(records []Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for i := range records {
		c := &records[i]
		if !c.valid() || c.Age < 0 || c.Age >= Lifetime {
			s.counters.Rejected.Add(1)
			continue
		}
		s.counters.Received.Add(1)
		s.note(now, s.held.put(now, &c.Origin, now+Lifetime-c.Age))
	}
}

// Answer returns this VM's record of a stream for another VM; false if it has none.
func (s *Service) Answer(stream string) (Copy, bool) {
	s.counters.Served.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known(stream)
}

// known returns the record of a stream. The lock must be held.
func (s *Service) known(stream string) (Copy, bool) {
	now := s.now()
	own, held := s.own.get(now, stream), s.held.get(now, stream)
	if own == nil && held == nil {
		return Copy{}, false
	}
	if own == nil || held != nil && held.revision > own.revision {
		return held.copy(now), true
	}
	return own.copy(now), true
}

// copy returns the record as it is sent to other VMs. The lifetime of a record begins
// when its stream ends.
func (s *slot) copy(now time.Duration) Copy {
	return Copy{Origin: s.origin(), Age: max(0, Lifetime-(s.expires-now))}
}

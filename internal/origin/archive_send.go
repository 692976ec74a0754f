package origin

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// archiveBatchTime is the time for which records are collected for the archiver.
	archiveBatchTime = 50 * time.Millisecond
	// archiveTimeout bounds a call to an archiver: appendPeriod and the store's second, with
	// a reserve. A slower archiver is passed over.
	archiveTimeout = 1500 * time.Millisecond
	// maxArchiveCalls bounds the calls to archivers in flight.
	maxArchiveCalls = 4
	// archiverKey is hashed with the names of VMs to choose the archiver of a zone.
	archiverKey = "origins"
)

var (
	// archiverPauses bound the time for which an archiver that failed is passed over.
	archiverPauses = cooldown.Bounds{First: 1500 * time.Millisecond, Longest: 12 * time.Second}
	// earlierVersionPause is the same for a VM of an earlier version.
	earlierVersionPause = cooldown.Bounds{First: time.Minute, Longest: time.Minute}
	// archivePauses bound the pauses between calls after one has failed, so that a VM does not
	// go through all VMs of its zone while the store is away.
	archivePauses = cooldown.Bounds{First: 200 * time.Millisecond, Longest: 2 * time.Second}
)

// archiveSender is what a VM holds about the archivers of its zone. The service's lock guards it.
type archiveSender struct {
	// due are the streams whose records wait to be sent.
	due []string
	// calls is the number of calls in flight.
	calls int
	// archivers are the cooldowns of VMs that failed, failures that of all calls.
	archivers map[string]cooldown.Cooldown
	failures  cooldown.Cooldown
}

// archiveBatch is the records of one call to an archiver.
type archiveBatch struct {
	to      membership.Member
	records []Copy
	runs    []*run
}

// WakeArchive makes the service check whether records are to be archived. It never blocks.
func (s *Service) WakeArchive() {
	select {
	case s.archiveWake <- struct{}{}:
	default:
	}
}

// needsArchive reports whether the records of a service's streams are archived.
func (s *Service) needsArchive(service string) bool {
	return s.params.Archive != nil && s.params.Archived(service)
}

// runArchive sends records to the archiver until ctx ends.
func (s *Service) runArchive(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.archiveWake:
		}
		s.checkArchive()
		for s.archiveIsDue() && ctx.Err() == nil {
			background.Pause(ctx, archiveBatchTime)
			s.dispatchArchive(ctx)
		}
	}
}

func (s *Service) archiveIsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sender.due) > 0
}

// checkArchive makes all records due that the archive lacks, also those of streams that ran
// before a second build appeared.
func (s *Service) checkArchive() {
	if s.params.Archive == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	era, needed := s.params.Archive.Era(), make(map[string]bool)
	s.own.all(s.now(), func(slot *slot) {
		service := slot.service.Value()
		if _, asked := needed[service]; !asked {
			needed[service] = s.params.Archived(service)
		}
		if needed[service] && !slot.run.archived.current(slot.run, era) {
			s.setArchiveDue(slot)
		}
	})
}

// setArchiveDue makes a record due for the archive. The lock must be held.
func (s *Service) setArchiveDue(slot *slot) {
	if a := &slot.run.archived; !a.due && !a.inFlight {
		a.due = true
		s.sender.due = append(s.sender.due, slot.stream)
	}
}

// dispatchArchive makes one call with the records that are due. It does not wait for it.
func (s *Service) dispatchArchive(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.params.Clock()
	if s.sender.calls >= maxArchiveCalls || !s.sender.failures.Over(now) {
		return
	}
	to := s.archiver(now)
	if to.VM == "" {
		return
	}
	batch := s.planArchive(to)
	if len(batch.records) == 0 {
		return
	}
	s.sender.calls++
	if !s.start(func() { s.sendArchive(ctx, batch) }) {
		s.sender.calls--
	}
}

// archiver returns the first VM of the zone that has not failed lately, the zero member if
// there is none. The lock must be held.
func (s *Service) archiver(now time.Time) membership.Member {
	zone := s.params.View.Self().Zone
	return rendezvous.First(archiverKey, s.params.View.Members(), func(m membership.Member) bool {
		return m.Zone == zone && m.Available() && s.sender.archivers[m.VM].Over(now)
	})
}

// planArchive takes the records of one call. The lock must be held.
func (s *Service) planArchive(to membership.Member) *archiveBatch {
	batch := &archiveBatch{to: to}
	now := s.now()
	n := 0
	for ; n < len(s.sender.due) && len(batch.records) < maxBatch; n++ {
		slot := s.own.get(now, s.sender.due[n])
		if slot == nil {
			continue
		}
		a := &slot.run.archived
		a.due, a.inFlight = false, true
		if !a.handed {
			a.handed, a.first = true, slot.revision
		}
		batch.records = append(batch.records, slot.copy(now))
		batch.runs = append(batch.runs, slot.run)
	}
	s.sender.due = s.sender.due[n:]
	if len(s.sender.due) == 0 {
		s.sender.due = nil
	}
	return batch
}

// sendArchive makes one call and notes its outcome.
func (s *Service) sendArchive(ctx context.Context, batch *archiveBatch) {
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	// The era is read before the append, so that a later loss makes the records due again.
	era := s.params.Archive.Era()
	var err error
	if batch.to.VM == s.params.View.Self().VM {
		err = s.Archive(limited, batch.records)
	} else {
		err = s.params.Peers.Archive(limited, batch.to, batch.records)
	}
	s.counters.ArchiveCalls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sender.calls--
	s.noteArchiver(batch.to.VM, err)
	for i, r := range batch.runs {
		s.noteArchived(r, &batch.records[i].Origin, era, err == nil)
	}
}

// noteArchiver notes the outcome of a call to an archiver. The lock must be held.
func (s *Service) noteArchiver(vm string, err error) {
	if err == nil {
		delete(s.sender.archivers, vm)
		s.sender.failures = cooldown.Cooldown{}
		return
	}
	s.counters.ArchiveCallsFailed.Add(1)
	now := s.params.Clock()
	earlierVersion := errorx.IsOfType(err, NotServed)
	pauses := archiverPauses
	if earlierVersion {
		pauses = earlierVersionPause
	}
	c := s.sender.archivers[vm]
	c.Extend(now, pauses)
	s.sender.archivers[vm] = c
	if !earlierVersion {
		s.sender.failures.Extend(now, archivePauses)
	}
}

// noteArchived notes the outcome of a call for one of its records. The lock must be held.
func (s *Service) noteArchived(r *run, o *Origin, era uint64, ok bool) {
	a := &r.archived
	a.inFlight = false
	if ok {
		a.kept, a.revision, a.era = true, o.Revision, era
	}
	slot := s.own.get(s.now(), o.Stream)
	if slot != nil && slot.run == r && !a.current(r, era) {
		s.setArchiveDue(slot)
		s.WakeArchive()
	}
}

// Archive appends records of VMs of the zone to the archive, and returns once they are there.
func (s *Service) Archive(ctx context.Context, records []Copy) error {
	if s.params.Archive == nil {
		return NotArchived.New("this VM has no archive")
	}
	origins := make([]Origin, 0, len(records))
	for i := range records {
		if !records[i].valid() {
			s.counters.Rejected.Add(1)
			continue
		}
		origins = append(origins, records[i].Origin)
	}
	if len(origins) == 0 {
		return nil
	}
	_, err := s.appender.append(ctx, origins)
	return err
}

// ConfirmArchived returns once the archive has no former build of a stream as the last one. It
// returns at once unless Record has changed the build after the record was sent to an archiver.
// The error is Unconfirmed if ctx ends before that.
func (s *Service) ConfirmArchived(ctx context.Context, stream string) error {
	for !s.archiveConfirmed(stream) {
		background.Pause(ctx, confirmPeriod)
		if ctx.Err() != nil {
			return Unconfirmed.New("stream %s: the archive may have a former build", stream)
		}
	}
	return nil
}

func (s *Service) archiveConfirmed(stream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.own.get(s.now(), stream)
	return slot == nil || !slot.run.archived.outdated(slot.run)
}

package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// archiveTime is longer than a record takes from its stream's begin to the archive.
const archiveTime = time.Second

// killAll kills all VMs and starts them again.
func killAll(s *sim) {
	for _, vm := range s.vms {
		s.kill(vm)
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
}

// recordAt records a stream at a VM.
func recordAt(s *sim, vm *simVM, stream, build string, revision uint64) {
	s.serviceOf(vm).Record(Origin{Stream: stream, Service: "writer", Build: build, Revision: revision})
}

// findArchived looks a stream up in the archive.
func findArchived(t *testing.T, s *sim, stream string) (Origin, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return s.serviceOf(s.vms[0]).FindArchived(ctx, stream)
}

// All records were lost when all VMs were killed, also those of streams that ran before the
// second build appeared.
func TestArchivedStreamsAreFoundAfterAllVMsWereKilled(t *testing.T) {
	simulate(t, 1, 3, 3, func(t *testing.T, s *sim) {
		builds := make(map[string]string)
		begin := func(n int) {
			for i, vm := range s.vms {
				stream := fmt.Sprintf("%s-%d", vm.name, n)
				builds[stream] = fmt.Sprintf("v%d", 1+(n+i)%2)
				recordAt(s, vm, stream, builds[stream], 1)
			}
		}
		begin(0)
		time.Sleep(archiveTime)
		appends, reads := s.archive.calls()
		assert.Equal(t, appends+reads, 0, "one build serves")
		s.archived.Store(true)
		for _, vm := range s.vms {
			s.serviceOf(vm).WakeArchive()
		}
		begin(1)
		time.Sleep(archiveTime)
		killAll(s)
		for stream, build := range builds {
			found, err := findArchived(t, s, stream)
			assert.NilError(t, err)
			assert.DeepEqual(t, found, Origin{Stream: stream, Service: "writer", Build: build, Revision: 1})
		}
		_, reads = s.archive.calls()
		assert.Equal(t, reads, 1, "records that were read are not read again")
	})
}

// Each call to the store costs: at most five appends a second for a zone, whatever the number
// of its VMs, and none once all records are kept.
func TestArchiverBatchesTheRecordsOfItsZone(t *testing.T) {
	simulate(t, 1, 1, 40, func(t *testing.T, s *sim) {
		s.archived.Store(true)
		const seconds = 5
		for range seconds * 10 {
			for _, vm := range s.vms {
				recordAt(s, vm, s.newStream(), "v1", 1)
			}
			time.Sleep(time.Second / 10)
		}
		time.Sleep(archiveTime)
		appends, _ := s.archive.calls()
		assert.Assert(t, appends <= 5*(seconds+1), "%d appends", appends)
		time.Sleep(Lifetime / 2)
		later, _ := s.archive.calls()
		assert.Equal(t, later, appends)
	})
}

// The records that an archiver has not appended when it fails must reach the archive by another
// VM.
func TestNextArchiverTakesOver(t *testing.T) {
	for name, fail := range map[string]func(*sim, *simVM){
		"killed": func(s *sim, vm *simVM) { s.kill(vm) },
		"silent": func(s *sim, vm *simVM) { silence(s, vm) },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, 1, 4, func(t *testing.T, s *sim) {
				s.archived.Store(true)
				service := s.serviceOf(s.vms[0])
				service.mu.Lock()
				first := service.archiver(time.Now()).VM
				service.mu.Unlock()
				var sender *simVM
				for _, vm := range s.vms {
					if vm.name != first {
						sender = vm
					}
				}
				recordAt(s, sender, "r1", "v1", 1)
				time.Sleep(archiveBatchTime + simNear)
				for _, vm := range s.vms {
					if vm.name == first {
						fail(s, vm)
					}
				}
				time.Sleep(2 * archiveTimeout)
				killAll(s)
				_, err := findArchived(t, s, "r1")
				assert.NilError(t, err)
			})
		})
	}
}

// During an upgrade most VMs of a zone may be of a release that archives nothing.
func TestVMsOfAnEarlierVersionAreNoArchivers(t *testing.T) {
	simulate(t, 1, 1, 30, func(t *testing.T, s *sim) {
		s.archived.Store(true)
		for _, vm := range s.vms[1:] {
			s.mu.Lock()
			vm.earlier = true
			s.mu.Unlock()
		}
		recordAt(s, s.vms[0], "r1", "v1", 1)
		time.Sleep(30*(archiveBatchTime+2*simNear) + archiveTime)
		_, err := findArchived(t, s, "r1")
		assert.NilError(t, err)
	})
}

// A record may be appended after that of the build that brought the first event.
func TestHighestRevisionInTheArchiveWins(t *testing.T) {
	simulate(t, 1, 1, 2, func(t *testing.T, s *sim) {
		at := time.Now()
		for _, o := range []Origin{
			{Stream: "late", Build: "v2", Revision: 2}, {Stream: "late", Build: "v1", Revision: 1},
			{Stream: "early", Build: "v1", Revision: 1}, {Stream: "early", Build: "v2", Revision: 2},
			{Stream: "twice", Build: "v1", Revision: 1}, {Stream: "twice", Build: "v1", Revision: 1},
			{Stream: "torn", Build: "v1", Revision: 1}, {Stream: "torn", Build: "v2", Revision: 1},
		} {
			_, err := s.archive.Append(t.Context(), at, []Origin{o})
			assert.NilError(t, err)
		}
		for stream, want := range map[string]string{"late": "v2", "early": "v2", "twice": "v1"} {
			found, err := findArchived(t, s, stream)
			assert.NilError(t, err)
			assert.Equal(t, found.Build, want, stream)
		}
		_, err := findArchived(t, s, "torn")
		assert.Assert(t, errorx.IsOfType(err, Unknown), "%v", err)
	})
}

// The archive may have a former build if all VMs are killed before it has the present one.
func TestChangedBuildIsConfirmedByTheArchive(t *testing.T) {
	simulate(t, 1, 1, 3, func(t *testing.T, s *sim) {
		s.archived.Store(true)
		service := s.serviceOf(s.vms[0])
		confirm := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), archiveTime)
			defer cancel()
			return service.ConfirmArchived(ctx, "r1")
		}
		recordAt(s, s.vms[0], "r1", "v1", 1)
		time.Sleep(archiveTime)
		assert.NilError(t, confirm())
		s.archive.set(func() { s.archive.away = true })
		recordAt(s, s.vms[0], "r1", "v2", 2)
		assert.Assert(t, errorx.IsOfType(confirm(), Unconfirmed))
		s.archive.set(func() { s.archive.away = false })
		time.Sleep(2 * archiveTimeout)
		assert.NilError(t, confirm())
		found, err := findArchived(t, s, "r1")
		assert.NilError(t, err)
		assert.Equal(t, found.Build, "v2")
	})
}

// The store may be away, be slow, lose answers or its history, or return from an older copy.
func TestArchiveUnderFaultsOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name string
		// fault begins before the record is made, mend ends it; lost is what a search ends
		// with after that, nil if it finds the record.
		fault, mend func(a *simArchive)
		lost        *errorx.Type
	}{
		{"away", func(a *simArchive) { a.away = true }, func(a *simArchive) { a.away = false }, nil},
		{"answers lost", func(a *simArchive) { a.losing = true }, func(a *simArchive) { a.losing = false }, nil},
		{"slow", func(a *simArchive) { a.slow = time.Second }, func(a *simArchive) {}, nil},
		{"still away", func(a *simArchive) {}, func(a *simArchive) { a.away = true }, Incomplete},
		{"too slow", func(a *simArchive) {}, func(a *simArchive) { a.slow = time.Minute }, Incomplete},
		{"history trimmed", func(a *simArchive) {}, func(a *simArchive) { a.first = uint64(len(a.batches)) }, Unknown},
		{"older copy", func(a *simArchive) {}, func(a *simArchive) { a.batches, a.era = a.batches[:1], a.era+1 }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, 1, 2, 3, func(t *testing.T, s *sim) {
				s.archived.Store(true)
				_, err := s.archive.Append(t.Context(), time.Now(), []Origin{{Stream: "r0", Build: "v1"}})
				assert.NilError(t, err)
				_, err = findArchived(t, s, "r0")
				assert.NilError(t, err)
				s.archive.set(func() { c.fault(s.archive) })
				recordAt(s, s.vms[3], "r1", "v2", 1)
				time.Sleep(5 * time.Second)
				s.archive.set(func() { c.mend(s.archive) })
				time.Sleep(5 * time.Second)
				found, err := findArchived(t, s, "r1")
				if c.lost != nil {
					assert.Assert(t, errorx.IsOfType(err, c.lost), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, found.Build, "v2")
			})
		})
	}
}

// While the store is away, neither all VMs of a zone nor one of them may call it without end.
func TestArchiversSpareAStoreThatIsAway(t *testing.T) {
	simulate(t, 1, 1, 40, func(t *testing.T, s *sim) {
		s.archived.Store(true)
		s.archive.set(func() { s.archive.away = true })
		for _, vm := range s.vms {
			recordAt(s, vm, s.newStream(), "v1", 1)
		}
		const seconds = 20
		time.Sleep(seconds * time.Second)
		appends, _ := s.archive.calls()
		assert.Assert(t, appends <= 5*seconds, "%d appends", appends)
		for range 100 {
			_, err := findArchived(t, s, "r1")
			assert.Assert(t, errorx.IsOfType(err, Incomplete), "%v", err)
		}
		_, reads := s.archive.calls()
		assert.Assert(t, reads <= 2, "%d reads", reads)
	})
}

// appendFunc is an Archive of which only Append is used.
type appendFunc func()

func (f appendFunc) Append(context.Context, time.Time, []Origin) (uint64, error) {
	f()
	return 0, nil
}
func (appendFunc) Read(context.Context, uint64) (ArchivePage, error) { return ArchivePage{}, nil }
func (appendFunc) Era() uint64                                       { return 0 }

// A call whose records were taken as the VM stopped got no outcome, so that its caller waited on.
func TestCallsGetAnOutcomeWhenTheArchiverStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var a *archiver
	late := &pendingCall{records: []Origin{{Stream: "r2"}}, done: make(chan appendOutcome, 1)}
	archive := appendFunc(func() {
		if assert.Check(t, a.enqueue(late)) {
			cancel()
		}
	})
	a = newArchiver(&Params{Archive: archive, Clock: time.Now}, new(Counters))
	early := &pendingCall{records: []Origin{{Stream: "r1"}}, done: make(chan appendOutcome, 1)}
	assert.NilError(t, a.enqueue(early))
	a.run(ctx)
	assert.NilError(t, (<-early.done).err)
	assert.Assert(t, errorx.IsOfType((<-late.done).err, NotArchived))
}

package builds

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// fleetStore passes each record to the histories of all VMs a second later, as package feed
// does.
type fleetStore struct {
	mu        sync.Mutex
	era       uint64
	histories []*History
	writes    []Record
	// refused are the VMs that the store turns away.
	refused map[string]bool
}

type vmStore struct {
	*fleetStore
	vm string
}

func (s vmStore) Put(_ context.Context, record Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[s.vm] {
		return errors.New("turned away")
	}
	s.writes = append(s.writes, record)
	for _, h := range s.histories {
		go func() {
			time.Sleep(900 * time.Millisecond)
			_ = h.Apply(time.Now(), record)
		}()
	}
	return nil
}

func (s *fleetStore) latest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// runFleet runs a test beside the services of VMs that start at the same moment.
func runFleet(t *testing.T, vms int, firstStart bool, uptime time.Duration, test func(t *testing.T, s *fleetStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := decisionlog.Discard()
		defer log.Close()
		s := &fleetStore{refused: make(map[string]bool)}
		var members []membership.Member
		for i := range vms {
			members = append(members, membership.Member{VM: fmt.Sprintf("vm-%d", i), State: membership.Alive, Incarnation: 1})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		started := time.Now().Add(-uptime)
		for i := range members {
			h := NewHistory(s.latest)
			h.RecordsKnown()
			s.histories = append(s.histories, h)
			service := NewService(Params{
				View: membership.Static{This: members[i], All: members}, History: h, Store: vmStore{s, members[i].VM}, Log: log,
				Clock: time.Now, FirstStart: firstStart, Started: func(uint64) time.Time { return started }, Random: rand.New(rand.NewPCG(1, uint64(i))),
				RegistrationsAge: func() time.Duration { return 0 }, RecordsAge: func() time.Duration { return 0 },
			})
			running.Go(func() { service.Run(ctx) })
		}
		test(t, s)
		cancel()
		running.Wait()
	})
}

// observe makes all VMs observe builds.
func (s *fleetStore) observe(builds ...string) {
	for _, h := range s.histories {
		h.Observe(time.Now(), map[string][]string{"pool": builds})
	}
}

// written returns the records that were written since the last call.
func (s *fleetStore) written() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := s.writes
	s.writes = nil
	return written
}

// Each call to the store costs, and 195 VMs see each change of builds at the same time.
func TestOneVMWritesEachChange(t *testing.T) {
	runFleet(t, 195, true, 0, func(t *testing.T, s *fleetStore) {
		s.observe("v1")
		time.Sleep(4 * time.Second)
		written := s.written()
		assert.Equal(t, len(written), 1)
		assert.DeepEqual(t, written[0].Serving, []string{"v1"})
		assert.Assert(t, written[0].Since.IsZero(), "the service has just begun")
		time.Sleep(5 * time.Minute)
		assert.Equal(t, len(s.written()), 0, "nothing has changed")
		changed := time.Now()
		s.observe("v1", "v2")
		time.Sleep(MaxAge)
		written = s.written()
		assert.Equal(t, len(written), 1)
		assert.DeepEqual(t, written[0].Serving, []string{"v1", "v2"})
		s.observe("v2")
		time.Sleep(4 * time.Second)
		written = s.written()
		assert.Equal(t, len(written), 1)
		assert.Equal(t, written[0].Left[0].Build, "v1")
		assert.Assert(t, written[0].Left[0].At.Sub(changed) >= MaxAge)
		s.mu.Lock()
		s.era++
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(s.written()), 1, "an older copy of the store may lack the record")
	})
}

// The first VM in the order may be cut off from the store.
func TestNextVMWritesIfTheFirstCannot(t *testing.T) {
	runFleet(t, 5, true, 0, func(t *testing.T, s *fleetStore) {
		for i := range 4 {
			s.refused[fmt.Sprintf("vm-%d", i)] = true
		}
		s.observe("v1")
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(s.written()), 1)
	})
}

// A service without a record may have had other builds: VMs that have run for long are of a release
// that writes none, and all VMs may have been replaced by younger ones.
func TestFirstRecordOfARunningDeploymentProvesNothingYet(t *testing.T) {
	for name, c := range map[string]struct {
		firstStart bool
		uptime     time.Duration
	}{
		"VMs of an earlier release": {true, time.Hour},
		"all VMs replaced":          {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, c.firstStart, c.uptime, testFirstRecordProvesNothingYet)
		})
	}
}

func testFirstRecordProvesNothingYet(t *testing.T, s *fleetStore) {
	s.observe("v1")
	time.Sleep(4 * time.Second)
	written := s.written()
	assert.Equal(t, len(written), 1)
	assert.Assert(t, !written[0].Since.IsZero())
	h := NewHistory(s.latest)
	h.RecordsKnown()
	h.Observe(time.Now(), map[string][]string{"pool": {"v1"}})
	assert.NilError(t, h.Apply(time.Now(), written[0]))
	_, ok := h.Sole(time.Now(), "pool")
	assert.Assert(t, !ok)
	time.Sleep(Memory)
	_, ok = h.Sole(time.Now(), "pool")
	assert.Assert(t, ok)
	assert.Assert(t, !slices.ContainsFunc(s.written(), func(r Record) bool { return len(r.Serving) != 1 }))
}

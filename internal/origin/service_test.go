package origin

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// record records a stream with build v1 at the first VM of a simulation.
func record(s *sim) string {
	stream := s.newStream()
	s.vms[0].service.Record(Origin{Stream: stream, Service: "writer", Build: "v1", Revision: 1})
	return stream
}

// silence makes VMs silent by killing them without a refusal of calls.
func silence(s *sim, vms ...*simVM) {
	for _, vm := range vms {
		s.kill(vm)
		s.mu.Lock()
		vm.silent = true
		s.mu.Unlock()
	}
}

// otherThan returns a running VM that is none of the given ones.
func otherThan(s *sim, vms []*simVM) *simVM {
	for _, vm := range s.vms {
		excluded := s.serviceOf(vm) == nil
		for _, other := range vms {
			excluded = excluded || other == vm
		}
		if !excluded {
			return vm
		}
	}
	return nil
}

// A zone may be lost as a whole, so that a record must not be in one zone only.
func TestHoldersAreInTwoZones(t *testing.T) {
	simulate(t, 1, 3, 4, func(t *testing.T, s *sim) {
		for range 50 {
			stream := record(s)
			time.Sleep(100 * time.Millisecond)
			holders := s.holders(stream)
			assert.Equal(t, len(holders), 3)
			own := 0
			for _, vm := range holders {
				if vm.zone == s.vms[0].zone {
					own++
				}
			}
			assert.Equal(t, own, 2)
		}
	})
}

// In a deployment with one VM a zone no other VM of the own zone can hold the record.
func TestHoldersWithOneVMPerZone(t *testing.T) {
	simulate(t, 1, 3, 1, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(s.holders(stream)), 3)
	})
}

// A draining VM ends soon; a record that only it holds would be lost with the server's.
func TestDrainingVMsHoldNoNewRecords(t *testing.T) {
	simulate(t, 1, 3, 3, func(t *testing.T, s *sim) {
		s.drain(s.vms[1])
		s.drain(s.vms[4])
		time.Sleep(simNews)
		for range 50 {
			stream := record(s)
			time.Sleep(100 * time.Millisecond)
			holders := s.holders(stream)
			assert.Equal(t, len(holders), 3)
			for _, vm := range holders {
				assert.Assert(t, vm != s.vms[1] && vm != s.vms[4])
			}
		}
	})
}

// The stream's VM must notice that a holder is gone, has started again without its
// records, or is about to end, and replace it.
func TestHoldersAreReplaced(t *testing.T) {
	for name, lose := range map[string]func(s *sim, vm *simVM){
		"killed": func(s *sim, vm *simVM) { s.kill(vm) },
		"silent": func(s *sim, vm *simVM) { silence(s, vm) },
		"restarted": func(s *sim, vm *simVM) {
			s.kill(vm)
			s.start(vm)
		},
		"drains": func(s *sim, vm *simVM) {
			s.mu.Lock()
			defer s.mu.Unlock()
			vm.drains = time.Now()
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, 3, 4, func(t *testing.T, s *sim) {
				stream := record(s)
				time.Sleep(100 * time.Millisecond)
				lost := s.holders(stream)[1:]
				for _, vm := range lost {
					lose(s, vm)
				}
				time.Sleep(simGone + 2*checkPeriod)
				holding := 0
				for _, vm := range s.holders(stream) {
					if s.isServing(vm) {
						holding++
					}
				}
				assert.Equal(t, holding, 3)
			})
		})
	}
}

// A large fleet has bytes for changes only.
func TestNothingIsSentWhileNothingChanges(t *testing.T) {
	simulate(t, 1, 3, 13, func(t *testing.T, s *sim) {
		s.begin(100)
		time.Sleep(simKept)
		sent := s.sent()
		time.Sleep(Lifetime/2 - 2*simKept)
		assert.Equal(t, s.sent(), sent)
	})
}

// A stream that runs for longer than Lifetime must not lapse at its holders.
func TestLongStreamsAreRenewed(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(2*Lifetime + Lifetime/3)
		assert.Equal(t, len(s.holders(stream)), 3)
		s.kill(s.vms[0])
		s.mustFindEverywhere([]simStream{{id: stream, build: "v1"}}, "long stream")
		time.Sleep(Lifetime + checkPeriod)
		assert.Equal(t, len(s.holders(stream)), 0)
	})
}

// Records of streams that nobody takes up any more must not fill the memory.
func TestRecordsLapse(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		complete, incomplete := record(s), record(s)
		time.Sleep(5 * time.Second)
		s.vms[0].service.End(complete, true)
		s.vms[0].service.End(incomplete, false)
		_, known := s.vms[0].service.Answer(complete)
		assert.Assert(t, !known)
		time.Sleep(Lifetime - time.Second)
		_, known = s.vms[0].service.Answer(incomplete)
		assert.Assert(t, known)
		time.Sleep(time.Second + 2*checkPeriod)
		for _, vm := range s.vms {
			assert.Equal(t, vm.service.Size(), 0, vm.name)
		}
	})
}

// A complete stream that ended before its record was sent costs nothing.
func TestShortCompleteStreamsAreNotSent(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		stream := record(s)
		s.vms[0].service.End(stream, true)
		time.Sleep(time.Second)
		assert.Equal(t, s.sent(), int64(0))
	})
}

// The build of an engine that declined must not replace that of the one that began.
func TestHighestRevisionWins(t *testing.T) {
	simulate(t, 1, 1, 1, func(t *testing.T, s *sim) {
		service := s.vms[0].service
		newer, older := Origin{Stream: "s", Build: "v2", Revision: 2}, Origin{Stream: "s", Build: "v1", Revision: 1}
		service.Accept([]Copy{{Origin: newer}, {Origin: older}})
		found, known := service.Answer("s")
		assert.Assert(t, known && found.Build == "v2")
		service.Record(older)
		found, _ = service.Answer("s")
		assert.Equal(t, found.Build, "v2")
		service.Record(Origin{Stream: "s", Build: "v3", Revision: 2})
		found, _ = service.Answer("s")
		assert.Equal(t, found.Build, "v2")
		assert.Equal(t, service.Counters().Conflicts.Load(), int64(1))
	})
}

// The first event must not be passed on while a VM that is not reached has the build of
// an engine that declined: it would be found if the serving VM were killed.
func TestConfirmWaitsForHoldersOfAFormerBuild(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(100 * time.Millisecond)
		service := s.vms[0].service
		assert.NilError(t, service.Confirm(t.Context(), stream))
		holder := s.holders(stream)[1]
		s.freeze(holder, time.Second)
		service.Record(Origin{Stream: stream, Service: "writer", Build: "v2", Revision: 2})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		assert.Assert(t, errorx.IsOfType(service.Confirm(ctx, stream), Unconfirmed))
		assert.NilError(t, service.Confirm(t.Context(), stream))
		found, _ := holder.service.Answer(stream)
		assert.Equal(t, found.Build, "v2")
	})
}

// A holder of a former build that is no longer among the holders must be told of the new
// one too.
func TestFormerHoldersLearnTheBuild(t *testing.T) {
	simulate(t, 1, 3, 4, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(100 * time.Millisecond)
		holder := s.holders(stream)[1]
		s.mu.Lock()
		holder.drains = time.Now()
		s.mu.Unlock()
		time.Sleep(simNews)
		service := s.vms[0].service
		service.Record(Origin{Stream: stream, Service: "writer", Build: "v2", Revision: 2})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.NilError(t, service.Confirm(ctx, stream))
		found, _ := holder.service.Answer(stream)
		assert.Equal(t, found.Build, "v2")
	})
}

// The first holders may all fail to respond: the one of the own zone, and two outside.
// The record must reach others within simKept all the same. Failures of one of them once
// kept the other from being replaced.
func TestSeveralSilentHoldersAreReplacedInTime(t *testing.T) {
	simulate(t, 1, 3, 4, func(t *testing.T, s *sim) {
		ranks := rank("s", s.vms[0].member(membership.Alive), simView{s, s.vms[0]}.Members(), noneAvoided)
		own, foreign := ranks.sides()
		for _, c := range []candidate{own[0], foreign[0], foreign[1]} {
			for _, vm := range s.vms {
				if vm.name == c.VM {
					s.freeze(vm, simKept)
				}
			}
		}
		s.vms[0].service.Record(Origin{Stream: "s", Service: "writer", Build: "v1", Revision: 1})
		time.Sleep(simKept - time.Millisecond)
		assert.Equal(t, len(s.holders("s")), 3)
	})
}

// A caller waits for the answer that its stream is not known.
func TestUnknownStreamsAreReportedSoon(t *testing.T) {
	for _, perZone := range []int{2, 13, 40} {
		simulate(t, 1, 3, perZone, func(t *testing.T, s *sim) {
			began := time.Now()
			_, err := s.vms[0].service.Find(t.Context(), "s")
			assert.Assert(t, errorx.IsOfType(err, Unknown), "%v", err)
			assert.Assert(t, time.Since(began) < widenTime)
			assert.Equal(t, s.vms[0].service.Counters().Lookups.Load(), int64(min(3*perZone-1, maxAsked)))
		})
	}
}

// One VM that does not respond must not use up the time of a search when all others
// have responded; if nobody responds, the search ends all the same.
func TestSilentVMsDelayASearchWithinBounds(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		silence(s, s.vms[1])
		began := time.Now()
		_, err := s.vms[0].service.Find(t.Context(), "s")
		assert.Assert(t, errorx.IsOfType(err, Incomplete), "%v", err)
		assert.Assert(t, time.Since(began) <= widenTime+stragglerTime+stepPeriod)
		silence(s, s.vms[2:]...)
		began = time.Now()
		_, err = s.vms[0].service.Find(t.Context(), "s")
		assert.Assert(t, errorx.IsOfType(err, Incomplete), "%v", err)
		assert.Equal(t, time.Since(began), findTimeout)
	})
}

// A holder may be further back in the order than the members that are asked first,
// after many VMs have joined.
func TestFurtherMembersAreAsked(t *testing.T) {
	simulate(t, 1, 3, 13, func(t *testing.T, s *sim) {
		order, _ := searchOrder("s", s.vms[0].member(membership.Alive), simView{s, s.vms[0]}.Members())
		for _, vm := range s.vms {
			if vm.name == order[len(order)-1].VM {
				vm.service.Accept([]Copy{{Origin: Origin{Stream: "s", Build: "v1", Revision: 1}}})
			}
		}
		found, err := s.vms[0].service.Find(t.Context(), "s")
		assert.NilError(t, err)
		assert.Equal(t, found.Build, "v1")
	})
}

// A VM that has just started knows no other member; a caller that comes to it must not
// be told that its stream is unknown.
func TestStartedVMWaitsForMembers(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(simKept)
		s.kill(s.vms[0])
		time.Sleep(simGone)
		s.start(s.vms[0])
		s.mustFind(s.vms[0], []simStream{{id: stream, build: "v1"}}, "just started")
	})
}

// A VM without others must not wait for them at each search.
func TestSettledVMWithoutMembersAnswersAtOnce(t *testing.T) {
	simulate(t, 1, 1, 1, func(t *testing.T, s *sim) {
		s.kill(s.vms[0])
		s.start(s.vms[0])
		began := time.Now()
		_, err := s.vms[0].service.Find(t.Context(), "s")
		assert.Assert(t, errorx.IsOfType(err, Unknown), "%v", err)
		assert.Equal(t, time.Since(began), settleTime)
		began = time.Now()
		_, err = s.vms[0].service.Find(t.Context(), "s")
		assert.Assert(t, errorx.IsOfType(err, Unknown), "%v", err)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Callers that come back together, or twice, must not multiply the calls.
func TestConcurrentFindsShareOneSearch(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(simKept)
		finder := otherThan(s, s.holders(stream))
		var finds sync.WaitGroup
		for range 20 {
			finds.Go(func() {
				found, err := finder.service.Find(context.Background(), stream)
				assert.Check(t, err)
				assert.Check(t, found.Build == "v1")
			})
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := finder.service.Find(ended, stream)
		assert.Assert(t, errorx.IsOfType(err, Incomplete))
		finds.Wait()
		assert.Assert(t, finder.service.Counters().Lookups.Load() < int64(len(s.vms)))
		// What was found is kept.
		_, known := finder.service.Answer(stream)
		assert.Assert(t, known)
	})
}

// The end of the grace leaves little time, whatever happens to the others.
func TestHandOverIsBounded(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		for range 100 {
			record(s)
		}
		time.Sleep(2 * time.Second)
		began, sent := time.Now(), s.vms[0].service.Counters().Calls.Load()
		s.vms[0].service.HandOver(t.Context())
		assert.Assert(t, time.Since(began) < handOverCall)
		assert.Equal(t, s.vms[0].service.Counters().Calls.Load(), sent)
		for range 100 {
			record(s)
		}
		silence(s, s.vms[1:]...)
		began = time.Now()
		s.vms[0].service.HandOver(t.Context())
		assert.Assert(t, time.Since(began) <= HandOverTime)
	})
}

// Records held for others are given to the next VM once, when their holder stops.
func TestHeldRecordsAreHandedOverOnce(t *testing.T) {
	simulate(t, 1, 3, 3, func(t *testing.T, s *sim) {
		stream := record(s)
		time.Sleep(2 * time.Second)
		holder := s.holders(stream)[1]
		s.kill(s.vms[0])
		assert.Equal(t, len(s.holders(stream)), 2)
		s.drain(holder)
		assert.Equal(t, len(s.holders(stream)), 3)
		assert.Equal(t, holder.service.Counters().HandedOver.Load(), int64(1))
		calls := holder.service.Counters().Calls.Load()
		time.Sleep(time.Second)
		holder.service.HandOver(t.Context())
		assert.Equal(t, holder.service.Counters().Calls.Load()-calls, int64(0))
		// The VM to which it was given is lost before the end.
		for _, vm := range s.holders(stream) {
			if vm != holder {
				s.kill(vm)
			}
		}
		time.Sleep(simGone)
		assert.Equal(t, len(s.holders(stream)), 1)
		holder.service.HandOver(t.Context())
		assert.Equal(t, len(s.holders(stream)), 2)
	})
}

// Peers must not make the memory grow without limit, nor displace the records of the
// streams that run here.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := membership.Member{VM: "vm", Zone: "a", State: membership.Alive}
		log := decisionlog.Discard()
		defer log.Close()
		service := New(Params{View: membership.Static{This: self, All: []membership.Member{self}}, Log: log, Clock: time.Now})
		service.Record(Origin{Stream: "own", Build: "v1", Revision: 1})
		for n := range 2 * maxHeld {
			service.Accept([]Copy{{Origin: Origin{Stream: fmt.Sprint(n), Build: "v1", Revision: 1}}})
		}
		assert.Equal(t, service.Size(), maxHeld+1)
		assert.Equal(t, service.Counters().Dropped.Load(), int64(maxHeld))
		_, known := service.Answer("0")
		assert.Assert(t, !known)
		for _, stream := range []string{"own", fmt.Sprint(2*maxHeld - 1)} {
			_, known = service.Answer(stream)
			assert.Assert(t, known, stream)
		}
		for n := range 2 * maxOwn {
			service.Record(Origin{Stream: fmt.Sprint("own", n), Build: "v1", Revision: 1})
		}
		assert.Equal(t, service.Size(), maxHeld+maxOwn)
	})
}

// Peers' records are checked before they take memory.
func TestInvalidRecordsAreRejected(t *testing.T) {
	simulate(t, 1, 1, 1, func(t *testing.T, s *sim) {
		service := s.vms[0].service
		long := strings.Repeat("x", 129)
		for _, c := range []Copy{
			{Origin: Origin{Stream: ""}},
			{Origin: Origin{Stream: long}},
			{Origin: Origin{Stream: "s", Service: long}},
			{Origin: Origin{Stream: "s", Build: long}},
			{Origin: Origin{Stream: "s"}, Age: Lifetime},
		} {
			service.Accept([]Copy{c})
		}
		service.Record(Origin{Stream: long})
		assert.Equal(t, service.Counters().Rejected.Load(), int64(6))
		assert.Equal(t, service.Size(), 0)
	})
}

// The end of a stop leaves less time than a search of a VM that does not reach others.
func TestSearchesDoNotHoldUpTheStop(t *testing.T) {
	simulate(t, 1, 3, 2, func(t *testing.T, s *sim) {
		silence(s, s.vms[1:]...)
		service := New(Params{View: simView{s, s.vms[0]}, Peers: simPeers{s, s.vms[0]}, Log: s.log, Clock: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)
		go func() {
			_, err := service.Find(context.Background(), "s")
			failed <- err
		}()
		time.AfterFunc(stepPeriod, cancel)
		began := time.Now()
		service.Run(ctx)
		assert.Equal(t, time.Since(began), stepPeriod)
		assert.Assert(t, errorx.IsOfType(<-failed, Incomplete))
	})
}

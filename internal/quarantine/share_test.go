package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// simQuick is the time within which a fact has to be known everywhere without
	// greater trouble, simRule that after trouble has ended.
	simQuick, simRule = time.Second, 3 * time.Second
	// simSpread is the time after which all VMs of a zone that gets a fact have been
	// called once.
	simSpread = 4*batchTime + simFar
)

// A VM that does not know of a crash sends requests with the part to further engines. Calls
// that bring facts may be lost or late.
func TestFactsReachAllVMs(t *testing.T) {
	for _, lossy := range []float64{0, 0.1} {
		t.Run(fmt.Sprint("loss ", lossy), func(t *testing.T) {
			forSeeds(t, func(s *sim) {
				s.setLossy(lossy)
				for range 5 {
					s.mustKnow(s.publish(s.vms[s.random.IntN(len(s.vms))]), simQuick, "published")
				}
			})
		})
	}
}

// A zone that was cut off knows nothing of the crashes elsewhere, nor others of its own.
func TestZoneThatWasCutOffCatchesUp(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 8 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			forSeeds(t, func(s *sim) {
				s.cut("zone-0", d)
				time.Sleep(d / 4)
				facts := s.publish(s.zone("zone-0")[0])
				facts.add(s.publish(s.zone("zone-1")[0]))
				time.Sleep(d - d/4)
				s.mustKnow(facts, simRule, "healed")
			})
		})
	}
}

// The VMs that would repeat what they could not deliver to the zone are killed meanwhile, so
// that only exchanges carry the facts over.
func TestZoneThatWasCutOffCatchesUpWithoutTheObserver(t *testing.T) {
	forSeeds(t, func(s *sim) {
		const d = 6 * time.Second
		s.cut("zone-0", d)
		time.Sleep(time.Second)
		inside, outside := s.zone("zone-0")[0], s.zone("zone-1")[0]
		facts := s.publish(inside)
		facts.add(s.publish(outside))
		time.Sleep(time.Second)
		s.kill(inside)
		s.kill(outside)
		time.Sleep(d - 2*time.Second)
		s.mustKnow(facts, simRule, "healed")
	})
}

// A single VM loses its links while facts are published, for less or more time than calls
// to it are repeated.
func TestVMThatWasCutOffCatchesUp(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			forSeeds(t, func(s *sim) {
				s.cut(s.vms[0].name, d)
				time.Sleep(50 * time.Millisecond)
				facts := s.publish(s.vms[1])
				facts.add(s.publish(s.vms[len(s.vms)-1]))
				facts.add(s.publish(s.vms[0]))
				time.Sleep(d - 50*time.Millisecond)
				s.mustKnow(facts, simRule, "healed")
			})
		})
	}
}

// A suspended process misses calls and does not notice the time.
func TestVMThatWasFrozenCatchesUp(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 8 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			forSeeds(t, func(s *sim) {
				s.freeze(s.vms[0], d)
				time.Sleep(50 * time.Millisecond)
				facts := s.publish(s.vms[len(s.vms)-1])
				time.Sleep(d - 50*time.Millisecond)
				s.mustKnow(facts, simRule, "thawed")
			})
		})
	}
}

// A VM that starts when a part is known to crash engines must not send it to one.
func TestStartedVMCatchesUp(t *testing.T) {
	for _, lossy := range []float64{0, 0.1} {
		t.Run(fmt.Sprint("loss ", lossy), func(t *testing.T) {
			forSeeds(t, func(s *sim) {
				s.kill(s.vms[0])
				facts := s.publish(s.vms[1])
				facts.add(s.publish(s.vms[len(s.vms)-1]))
				time.Sleep(10 * time.Second)
				s.setLossy(lossy)
				s.start(s.vms[0])
				time.Sleep(simJoin)
				s.mustKnow(facts, simQuick, "members are in view")
			})
		})
	}
}

// Others do not yet see a VM that has just started when they publish, and it has already
// asked for what they know.
func TestFactsReachVMsThatAreNotYetInView(t *testing.T) {
	forSeeds(t, func(s *sim) {
		vm := s.vms[0]
		s.kill(vm)
		time.Sleep(2 * simGone)
		s.start(vm)
		time.Sleep(simJoin + retryPeriod)
		s.mustKnow(s.publish(s.vms[1]), simRule, "published")
	})
}

// A fact must not depend on the VM that observed it, nor on those that pass it on.
func TestFactsSurviveTheLossOfHalfTheVMs(t *testing.T) {
	forSeeds(t, func(s *sim) {
		facts := s.publish(s.vms[s.random.IntN(len(s.vms))])
		wait := simSpread + time.Duration(s.random.Int64N(int64(100*time.Millisecond)))
		time.Sleep(wait)
		s.killHalf()
		s.mustKnow(facts, simQuick-wait, "half the VMs were killed")
	})
}

// The VMs are killed while the fact is on its way, so that some zones may not have it.
func TestFactsSurviveTheLossOfHalfTheVMsOnTheirWay(t *testing.T) {
	forSeeds(t, func(s *sim) {
		facts := s.publish(s.vms[s.random.IntN(len(s.vms))])
		time.Sleep(batchTime + time.Duration(s.random.Int64N(int64(simSpread))))
		s.killHalf()
		time.Sleep(simSpread)
		if len(s.lacking(&facts)) < len(s.runningVMs()) {
			s.mustKnow(facts, simRule-simSpread, "half the VMs were killed")
		}
	})
}

// Forwarding must not multiply: each fact costs a call per VM, and one more in zones whose
// two receivers both pass it on.
func TestNumberOfCallsForAFactIsBounded(t *testing.T) {
	for _, fleet := range allFleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			simulate(t, 1, fleet, func(t *testing.T, s *sim) {
				s.counts()
				s.mustKnow(s.publish(s.vms[0]), simQuick, "published")
				time.Sleep(5 * time.Second)
				deliveries, _ := s.counts()
				neighbours, zones := fleet.vmsPerZone-1, fleet.zones-1
				assert.Assert(t, deliveries <= neighbours+zones*zoneReceivers*(1+neighbours), "%d calls", deliveries)
				for _, vm := range s.vms {
					assert.Assert(t, vm.most <= maxCalls, "%s makes %d calls at a time", vm.name, vm.most)
				}
			})
		})
	}
}

// Calls in flight are bounded also while many facts are published and many VMs are silent.
func TestCallsInFlightAreBounded(t *testing.T) {
	simulate(t, 1, simFleet{1, 120}, func(t *testing.T, s *sim) {
		for _, vm := range s.vms[60:] {
			s.kill(vm)
			s.mu.Lock()
			vm.silent = true
			s.mu.Unlock()
		}
		for range 10 {
			s.publish(s.vms[0])
			time.Sleep(20 * time.Millisecond)
		}
		s.mustKnow(s.publish(s.vms[0]), simQuick, "published")
		assert.Equal(t, s.vms[0].most, maxCalls)
	})
}

// What is known everywhere must cost no more than the periodic exchanges, and these less
// while there are no facts.
func TestQuietFleetOnlyExchangesPeriodically(t *testing.T) {
	for _, fleet := range allFleets {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			simulate(t, 1, fleet, func(t *testing.T, s *sim) {
				const seconds = 30
				perVM := func() float64 {
					s.counts()
					time.Sleep(seconds * time.Second)
					deliveries, exchanges := s.counts()
					assert.Equal(t, deliveries, 0)
					return float64(exchanges) / float64(len(s.vms))
				}
				idle := seconds / idlePeriod.Seconds()
				assert.Assert(t, perVM() < idle*1.3)
				s.publish(s.vms[0])
				time.Sleep(10 * time.Second)
				known, expected := perVM(), seconds/exchangePeriod.Seconds()
				assert.Assert(t, known > expected*0.8 && known < expected*1.2, "%.1f exchanges", known)
			})
		})
	}
}

// A fact that looks younger than it is would be kept for too long, and could seem to follow
// a later one.
func TestAgesCountTheTimeOnTheWay(t *testing.T) {
	simulate(t, 1, mediumFleet, func(t *testing.T, s *sim) {
		s.cut("zone-0", 4*time.Second)
		began := time.Now()
		facts := s.publish(s.zone("zone-0")[0])
		time.Sleep(4 * time.Second)
		s.mustKnow(facts, simRule, "healed")
		time.Sleep(time.Second)
		for _, vm := range s.vms {
			crash := vm.store.all().Crashes[0]
			age := time.Since(began)
			assert.Assert(t, crash.Age <= age && crash.Age > age-100*time.Millisecond, "%s: %s instead of %s", vm.name, crash.Age, age)
		}
	})
}

// Repeating calls to VMs of an earlier version would go on for the whole upgrade.
func TestVMsOfAnEarlierVersionAreNotCalledAgain(t *testing.T) {
	simulate(t, 1, mediumFleet, func(t *testing.T, s *sim) {
		s.mu.Lock()
		for i, vm := range s.vms {
			if i%3 != 0 {
				vm.earlier = true
				vm.cancel()
			}
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Minute)
		facts := s.publish(s.vms[0])
		time.Sleep(simQuick)
		for _, vm := range s.vms {
			assert.Equal(t, s.knows(vm, &facts), !vm.earlier, vm.name)
		}
		for _, vm := range s.vms {
			assert.Assert(t, vm.sharer.counters.Unserved.Load() <= int64(len(s.vms)), vm.name)
		}
		time.Sleep(10 * time.Second)
		s.counts()
		time.Sleep(10 * time.Second)
		deliveries, _ := s.counts()
		assert.Equal(t, deliveries, 0)
	})
}

// Draining and suspect VMs still have requests whose parts they may send to engines.
func TestDrainingVMsGetFacts(t *testing.T) {
	simulate(t, 1, smallFleet, func(t *testing.T, s *sim) {
		s.mu.Lock()
		s.vms[1].drains, s.vms[3].drains = true, true
		s.mu.Unlock()
		s.mustKnow(s.publish(s.vms[0]), simSpread, "published")
	})
}

// A deployment of one zone, or of one VM, must not be called in vain.
func TestSmallestFleets(t *testing.T) {
	simulate(t, 1, simFleet{1, 1}, func(t *testing.T, s *sim) {
		s.publish(s.vms[0])
		time.Sleep(time.Minute)
		deliveries, exchanges := s.counts()
		assert.Equal(t, deliveries+exchanges, 0)
	})
	simulate(t, 1, simFleet{1, 2}, func(_ *testing.T, s *sim) {
		s.mustKnow(s.publish(s.vms[0]), simSpread, "published")
	})
}

// Two VMs, one of which restarts, have to find each other without any further fact.
func TestFactsSurviveRestartsOneAfterTheOther(t *testing.T) {
	forSeeds(t, func(s *sim) {
		facts := s.publish(s.vms[0])
		time.Sleep(time.Second)
		for at := 0; at < len(s.vms); at += max(1, len(s.vms)/8) {
			s.kill(s.vms[at])
			time.Sleep(200 * time.Millisecond)
			s.start(s.vms[at])
			time.Sleep(2 * time.Second)
		}
		s.mustKnow(facts, simRule, "all were restarted")
	})
}

// Random faults, in any combination. When they have ended, all VMs must know the same.
func TestVMsAgreeAfterRandomFaults(t *testing.T) {
	forSeeds(t, func(s *sim) {
		var published Facts
		var faults sync.WaitGroup
		s.setLossy(0.1)
		for range 30 {
			time.Sleep(time.Duration(s.random.Int64N(int64(500 * time.Millisecond))))
			for range s.random.IntN(3) {
				if running := s.runningVMs(); len(running) > 0 {
					published.add(s.publish(running[s.random.IntN(len(running))]))
				}
			}
			s.disturb(&faults)
		}
		faults.Wait()
		s.heal()
		s.setLossy(0)
		time.Sleep(simRule)
		var known Facts
		for _, vm := range s.runningVMs() {
			all := vm.store.all()
			known.add(all.without(known))
			invented := all.without(published)
			assert.Assert(s.t, invented.Empty(), "%s knows facts that were not published: %v", vm.name, invented)
		}
		s.mustKnow(known, 0, "faults have ended")
	})
}

// disturb begins one trouble.
func (s *sim) disturb(faults *sync.WaitGroup) {
	vm := s.vms[s.random.IntN(len(s.vms))]
	d := time.Duration(s.random.Int64N(int64(6 * time.Second)))
	switch s.random.IntN(5) {
	case 0:
		s.freeze(vm, d)
	case 1:
		s.cut(vm.zone, d)
	case 2:
		s.cut(vm.name, d)
	case 3:
		s.kill(vm)
		faults.Go(func() {
			time.Sleep(d)
			s.start(vm)
		})
	}
}

// heal waits until no VM is frozen and nothing is cut off, and until all are in view.
func (s *sim) heal() {
	s.mu.Lock()
	end := time.Now()
	for _, vm := range s.vms {
		end = later(end, vm.frozenTo)
	}
	end = later(end, s.cutUntil)
	s.mu.Unlock()
	time.Sleep(time.Until(end))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// soundsNamed returns sounds on parts of the given numbers.
func soundsNamed(from, to int) Facts {
	var f Facts
	for n := from; n < to; n++ {
		f.Sounds = append(f.Sounds, Sound{Service: "writer", Part: fmt.Sprintf("%08x", n)})
	}
	return f
}

// A message outside of the bounds must neither take memory nor keep its valid facts out.
func TestFactsOutsideOfTheBoundsAreRejected(t *testing.T) {
	long := strings.Repeat("a", maxNameBytes+1)
	parts := make([]string, maxParts+1)
	for i := range parts {
		parts[i] = fmt.Sprintf("%04x", i)
	}
	valid := Crash{Service: "writer", Engine: "i-1", Parts: parts[:maxParts]}
	rejected := map[string]Crash{
		"long service":    {Service: long, Engine: "i-1", Parts: parts[:1]},
		"long engine":     {Service: "writer", Engine: long, Parts: parts[:1]},
		"long part":       {Service: "writer", Engine: "i-1", Parts: []string{long}},
		"no service":      {Engine: "i-1", Parts: parts[:1]},
		"no engine":       {Service: "writer", Parts: parts[:1]},
		"no part":         {Service: "writer", Engine: "i-1"},
		"empty part":      {Service: "writer", Engine: "i-1", Parts: []string{""}},
		"too many parts":  {Service: "writer", Engine: "i-1", Parts: parts},
		"part not UTF-8":  {Service: "writer", Engine: "i-1", Parts: []string{"a\xff"}},
		"unsorted parts":  {Service: "writer", Engine: "i-1", Parts: []string{"b", "a"}},
		"repeated part":   {Service: "writer", Engine: "i-1", Parts: []string{"a", "a"}},
		"negative age":    {Service: "writer", Engine: "i-1", Parts: parts[:1], Age: -time.Second},
		"service no text": {Service: "\xc0", Engine: "i-1", Parts: parts[:1]},
	}
	for name, crash := range rejected {
		t.Run(name, func(t *testing.T) {
			sharer, store := newTestSharer(t)
			f := Facts{Crashes: []Crash{crash, valid}, Sounds: []Sound{{Service: "writer", Part: long}, {Service: "writer", Part: "0001"}}}
			sharer.handle(Message{Facts: f})
			assert.DeepEqual(t, store.all().Crashes[0].Parts, valid.Parts)
			all := store.all()
			assert.Equal(t, all.size(), 2)
			assert.Equal(t, sharer.counters.Rejected.Load(), int64(2))
		})
	}
}

// Facts beyond the number of a message are rejected, not the first ones.
func TestMessagesWithTooManyFactsAreCutOff(t *testing.T) {
	sharer, store := newTestSharer(t)
	f := soundsNamed(0, maxSounds+3)
	for n := range maxCrashes + 2 {
		f.Crashes = append(f.Crashes, Crash{Service: "writer", Engine: fmt.Sprint("i-", n), Parts: []string{"0001"}})
	}
	sharer.handle(Message{Facts: f})
	all := store.all()
	assert.Equal(t, len(all.Crashes), maxCrashes)
	assert.Equal(t, len(all.Sounds), maxSounds)
	assert.Equal(t, sharer.counters.Rejected.Load(), int64(5))
}

// A VM may observe more facts at once than one message may have.
func TestManyFactsAreSplit(t *testing.T) {
	f := soundsNamed(0, maxSounds+1)
	for n := range 2*maxCrashes + 1 {
		f.Crashes = append(f.Crashes, Crash{Service: "writer", Engine: fmt.Sprint("i-", n), Parts: []string{"0001"}})
	}
	var joined Facts
	messages := f.split()
	assert.Equal(t, len(messages), 3)
	for _, message := range messages {
		assert.Assert(t, len(message.Crashes) <= maxCrashes && len(message.Sounds) <= maxSounds)
		joined.add(message)
	}
	assert.DeepEqual(t, joined, f)
	simulate(t, 1, smallFleet, func(_ *testing.T, s *sim) {
		s.vms[0].store.merge(f)
		s.vms[0].sharer.publish(f)
		s.mustKnow(f, simQuick, "published")
	})
}

// Whoever observes a crash must not wait for other VMs, however many facts there are.
func TestPublishNeitherBlocksNorQueuesWithoutBound(t *testing.T) {
	sharer, _ := newTestSharer(t)
	for n := range 2 * maxQueued {
		sharer.publish(soundsNamed(n, n+1))
	}
	assert.Equal(t, sharer.queued.size, maxQueued)
	assert.Equal(t, sharer.counters.Dropped.Load(), int64(maxQueued))
}

// A VM that knows no facts has to get those of others, although 0 asks for none.
func TestAnswersDependOnTheDigest(t *testing.T) {
	sharer, store := newTestSharer(t)
	store.merge(soundsNamed(0, 3))
	none := sharer.handle(Message{})
	assert.Equal(t, none.Digest, uint64(0))
	assert.Assert(t, none.Facts.Empty())
	empty := sharer.handle(Message{Digest: wireDigest(0)})
	assert.Equal(t, empty.Facts.size(), 3)
	assert.Equal(t, empty.Digest, store.digest())
	same := sharer.handle(Message{Digest: empty.Digest})
	assert.Assert(t, same.Facts.Empty())
	assert.Equal(t, same.Digest, empty.Digest)
}

// directPeers are calls in the same process.
type directPeers map[string]*sharer

// Exchange implements Peers.
func (p directPeers) Exchange(_ context.Context, to membership.Member, m Message) (Message, error) {
	return p[to.VM].handle(m), nil
}

// Observations, calls of others and own calls come at the same time on several processors.
func TestSharersWorkInParallel(t *testing.T) {
	const vms, observers, observations = 4, 4, 50
	members := make([]membership.Member, vms)
	for n := range members {
		members[n] = membership.Member{VM: fmt.Sprint("vm-", n), Zone: fmt.Sprint("zone-", n%2), State: membership.Alive}
	}
	log := decisionlog.Discard()
	defer log.Close()
	peers := make(directPeers)
	stores := make([]*fakeStore, vms)
	for n, m := range members {
		stores[n] = newFakeStore()
		peers[m.VM] = newSharer(shareParams{
			view: membership.Static{This: m, All: members}, peers: peers, store: stores[n], log: log,
			clock: time.Now, random: rand.New(rand.NewPCG(uint64(n), 1)),
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running, observing sync.WaitGroup
	for n, m := range members {
		running.Go(func() { peers[m.VM].run(ctx) })
		for o := range observers {
			observing.Go(func() {
				first := (n*observers + o) * observations
				for at := first; at < first+observations; at++ {
					f := soundsNamed(at, at+1)
					stores[n].merge(f)
					peers[m.VM].publish(f)
				}
			})
		}
	}
	observing.Wait()
	all := soundsNamed(0, vms*observers*observations)
	for _, store := range stores {
		for {
			if lacking := all.without(store.all()); lacking.Empty() {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	running.Wait()
}

// A VM that an exchange reached first would not pass a fact on to its zone, if it forwarded
// only what is new to it, and with two such receivers nobody would.
func TestFactsLearnedByAnExchangeAreForwardedOnce(t *testing.T) {
	sharer, _ := newTestSharer(t)
	f := soundsNamed(0, 2)
	sharer.handle(Message{Facts: f, Digest: emptyDigest})
	assert.Equal(t, sharer.counters.Forwarded.Load(), int64(0))
	for range 2 {
		sharer.handle(Message{Facts: f, Forward: true})
		assert.Equal(t, sharer.counters.Forwarded.Load(), int64(2))
	}
}

// Without calls that forward them, facts spread too slowly by periodic exchanges alone.
func TestExchangesFollowSoonAfterNews(t *testing.T) {
	sharer, _ := newTestSharer(t)
	sharer.handle(Message{Facts: soundsNamed(0, 1)})
	assert.Equal(t, sharer.eager, 0)
	sharer.handle(Message{Facts: soundsNamed(1, 2), Digest: emptyDigest})
	assert.Equal(t, sharer.eager, eagerExchanges)
}

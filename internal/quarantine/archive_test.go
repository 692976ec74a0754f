package quarantine

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			os.Exit(2)
		}
	}
	goleak.VerifyTestMain(m)
}

const (
	// testRetention is the retention of the simulated VMs.
	testRetention = 10 * time.Minute
	// archiveSettleTime is a time in which a verdict is written by all VMs that write it.
	archiveSettleTime = 3 * time.Second
	// clockOffset is how much the clock of some VMs is ahead or behind.
	clockOffset = 5 * time.Second
)

var errAway = errors.New("archive is away")

// archiveCall is a call to the archive that succeeded or failed.
type archiveCall struct {
	vm, operation, key string
	at                 time.Time
	failed             bool
}

// fakeArchive is an archive in memory that all VMs share.
type fakeArchive struct {
	mu      sync.Mutex
	entries map[string]Entry
	calls   []archiveCall
	// away makes all calls fail, hanging makes them wait until their time is over.
	away, hanging bool
	// refused is a key whose writes fail.
	refused string
	// noLoads makes calls that load fail.
	noLoads bool
	// era is the archive's era.
	era uint64
}

func newFakeArchive() *fakeArchive { return &fakeArchive{entries: make(map[string]Entry)} }

func (f *fakeArchive) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// kept returns the keys that are kept, sorted.
func (f *fakeArchive) kept() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.entries))
}

// made returns the calls of an operation so far.
func (f *fakeArchive) made(operation string) []archiveCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	var made []archiveCall
	for _, call := range f.calls {
		if call.operation == operation {
			made = append(made, call)
		}
	}
	return made
}

// do notes a call and applies it unless the archive is away.
func (f *fakeArchive) do(ctx context.Context, vm, operation, key string, apply func()) error {
	f.mu.Lock()
	hanging := f.hanging
	f.mu.Unlock()
	if hanging {
		<-ctx.Done()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := hanging || f.away || f.refused != "" && f.refused == key || f.noLoads && operation == "load"
	f.calls = append(f.calls, archiveCall{vm: vm, operation: operation, key: key, at: time.Now(), failed: failed})
	if failed {
		return errAway
	}
	apply()
	return nil
}

// archiveOf is the archive as one VM uses it.
type archiveOf struct {
	*fakeArchive
	vm string
}

func (a archiveOf) Save(ctx context.Context, key string, entry Entry) error {
	return a.do(ctx, a.vm, "save", key, func() { a.entries[key] = entry })
}

func (a archiveOf) Delete(ctx context.Context, key string) error {
	return a.do(ctx, a.vm, "delete", key, func() { delete(a.entries, key) })
}

func (a archiveOf) Load(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	err := a.do(ctx, a.vm, "load", "", func() { entries = slices.Collect(maps.Values(a.entries)) })
	return entries, err
}

func (a archiveOf) Era() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// archiveVM is a simulated VM. Its verdicts are given by the test, except that restored
// crashes of their own make one each.
type archiveVM struct {
	name string
	*archivist
	stop context.CancelFunc

	mu       sync.Mutex
	verdicts map[string]Verdict
	restored []Facts
	// checks is the number of times that the verdicts were read.
	checks int
}

// archiveSim is a set of VMs that share an archive.
type archiveSim struct {
	archive *fakeArchive
	log     *decisionlog.Log
	running sync.WaitGroup
	vms     []*archiveVM

	mu      sync.Mutex
	members []membership.Member
}

// viewOf is the view of one VM of a simulation.
type viewOf struct {
	*archiveSim
	vm string
}

func (v viewOf) Self() membership.Member {
	for _, member := range v.Members() {
		if member.VM == v.vm {
			return member
		}
	}
	return membership.Member{VM: v.vm, State: membership.Alive}
}

func (v viewOf) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.members)
}

// simulateArchive runs a test in virtual time with a number of VMs.
func simulateArchive(t *testing.T, vms int, test func(t *testing.T, s *archiveSim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &archiveSim{archive: newFakeArchive(), log: decisionlog.Discard()}
		defer s.log.Close()
		defer s.killAll()
		s.startAll(vms)
		test(t, s)
	})
}

func (s *archiveSim) startAll(vms int) {
	s.mu.Lock()
	for n := range vms {
		s.members = append(s.members, membership.Member{VM: fmt.Sprintf("vm-%d", n), State: membership.Alive})
	}
	members := slices.Clone(s.members)
	s.mu.Unlock()
	for _, member := range members {
		s.start(member.VM, 0)
	}
	synctest.Wait()
}

// start starts a VM whose clock is ahead of the others by an offset.
func (s *archiveSim) start(name string, offset time.Duration) *archiveVM {
	vm := &archiveVM{name: name, verdicts: make(map[string]Verdict)}
	vm.archivist = newArchivist(archiveParams{
		View: viewOf{s, name}, Archive: archiveOf{s.archive, name}, Log: s.log,
		WallClock: func() time.Time { return time.Now().Add(offset) },
		Retention: testRetention, Restore: vm.restoreFacts, Verdicts: vm.inForce,
		Random: rand.New(rand.NewPCG(1, rendezvous.Weight("seed", name))),
	})
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	s.running.Go(func() { vm.run(ctx) })
	s.vms = append(s.vms, vm)
	return vm
}

// killAll ends all VMs.
func (s *archiveSim) killAll() {
	for _, vm := range s.vms {
		vm.stop()
	}
	s.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms, s.members = nil, nil
}

// lose ends one VM and takes it out of the others' view.
func (s *archiveSim) lose(name string) {
	for _, vm := range s.vms {
		if vm.name == name {
			vm.stop()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m membership.Member) bool { return m.VM == name })
}

// judge puts a verdict in force at all VMs.
func (s *archiveSim) judge(v Verdict) {
	for _, vm := range s.vms {
		vm.judge(v)
	}
}

// lapse ends a verdict at all VMs.
func (s *archiveSim) lapse(v Verdict) {
	for _, vm := range s.vms {
		vm.mu.Lock()
		delete(vm.verdicts, keyOf(v))
		vm.mu.Unlock()
		vm.notify()
	}
}

// writersOf returns the names of the VMs that write a key, sorted.
func (s *archiveSim) writersOf(key string) []string {
	var writers []string
	for _, member := range s.members {
		if rendezvous.Rank(key, member.VM, s.members, membership.Member.Available) < archiveWriters {
			writers = append(writers, member.VM)
		}
	}
	return writers
}

func (v *archiveVM) judge(verdict Verdict) {
	v.mu.Lock()
	v.verdicts[keyOf(verdict)] = verdict
	v.mu.Unlock()
	v.notify()
}

func (v *archiveVM) inForce() []Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checks++
	return slices.Collect(maps.Values(v.verdicts))
}

func (v *archiveVM) restoreFacts(facts Facts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restored = append(v.restored, facts)
	for _, crash := range facts.Crashes {
		verdict := Verdict{Service: crash.Service, Parts: crash.Parts, Facts: Facts{Crashes: []Crash{crash}, Sounds: facts.Sounds}}
		v.verdicts[keyOf(verdict)] = verdict
	}
}

func (v *archiveVM) facts() []Facts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.restored)
}

func keyOf(v Verdict) string { return archiveKey(v.Service, v.Parts) }

// crashingPart is a verdict on one part after one crash.
func crashingPart(part string) Verdict {
	return Verdict{Service: "pool", Parts: []string{part}, Facts: Facts{
		Crashes: []Crash{{Service: "pool", Engine: "engine of " + part, Parts: []string{part}, Age: time.Minute}},
	}}
}

// pass lets virtual time pass and all goroutines finish what is due then.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func vmsOf(calls []archiveCall) []string {
	vms := make([]string, len(calls))
	for i, call := range calls {
		vms[i] = call.vm
	}
	return slices.Sorted(slices.Values(vms))
}

// An archive that comes back from an older copy must get the verdicts that it lost again, by
// the VMs that write them and once each.
func TestVerdictsAreSavedAgainAfterTheArchiveLostThem(t *testing.T) {
	simulateArchive(t, 5, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		s.judge(verdict)
		pass(archiveSettleTime)
		saved := len(s.archive.made("save"))
		s.archive.set(func() {
			s.archive.era++
			clear(s.archive.entries)
		})
		pass(archiveSettleTime)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(verdict)})
		pass(archiveSettleTime)
		assert.DeepEqual(t, vmsOf(s.archive.made("save")[saved:]), s.writersOf(keyOf(verdict)))
	})
}

// All VMs are killed at once. Without the archive, the crashing part would end engines
// again until it is found once more.
func TestFactsAreBackAfterAllVMsWereKilled(t *testing.T) {
	simulateArchive(t, 3, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		verdict.Facts.Sounds = []Sound{
			{Service: "pool", Part: "bad", Age: 2 * time.Minute},
			{Service: "pool", Part: "in no crash", Age: time.Second},
		}
		s.judge(verdict)
		pass(archiveSettleTime)
		s.killAll()
		pass(20 * time.Second)
		s.startAll(3)
		saved := s.archive.entries[keyOf(verdict)].AsOf
		want := Facts{
			Crashes: []Crash{{
				Service: "pool", Engine: "engine of bad", Parts: []string{"bad"}, Age: time.Minute + time.Since(saved),
			}},
			Sounds: []Sound{{Service: "pool", Part: "bad", Age: 2*time.Minute + time.Since(saved)}},
		}
		assert.Assert(t, time.Since(saved) >= 20*time.Second)
		for _, vm := range s.vms {
			assert.DeepEqual(t, vm.facts(), []Facts{want})
			assert.Equal(t, vm.counters.Restored.Load(), int64(1))
		}
	})
}

// A store that is away when the VMs start must neither be called without a pause nor
// keep the facts away for longer than the longest pause.
func TestArchiveAwayAtTheStartIsLoadedLater(t *testing.T) {
	simulateArchive(t, 3, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		s.judge(verdict)
		pass(archiveSettleTime)
		s.killAll()
		s.archive.set(func() { s.archive.away = true })
		s.startAll(3)
		first := len(s.archive.made("load"))
		pass(time.Minute)
		for _, vm := range s.vms {
			assert.Equal(t, len(vm.facts()), 0)
			loads := vm.counters.Loads.Load()
			assert.Assert(t, loads >= 6 && loads <= 11, "%d loads in a minute", loads)
		}
		times := map[time.Time]bool{}
		for _, call := range s.archive.made("load")[first:] {
			assert.Assert(t, !times[call.at], "VMs retry at the same time")
			times[call.at] = true
		}
		s.archive.set(func() { s.archive.away = false })
		pass(10 * time.Second)
		for _, vm := range s.vms {
			assert.Equal(t, len(vm.facts()), 1)
		}
	})
}

// A verdict that is found while the store is away must not be lost, nor must the store be
// called for it more often than the pauses allow.
func TestVerdictIsSavedOnceTheArchiveIsBack(t *testing.T) {
	simulateArchive(t, 3, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		s.archive.set(func() { s.archive.away = true })
		s.judge(verdict)
		pass(5 * time.Minute)
		assert.Equal(t, len(s.archive.kept()), 0)
		failed := s.archive.made("save")
		assert.Assert(t, len(failed) >= 2*12 && len(failed) <= 2*18, "%d saves in five minutes", len(failed))
		s.archive.set(func() { s.archive.away = false })
		pass(30 * time.Second)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(verdict)})
		saved := s.archive.made("save")[len(failed):]
		assert.DeepEqual(t, vmsOf(saved), s.writersOf(keyOf(verdict)))
		assert.Assert(t, s.archive.entries[keyOf(verdict)].AsOf.Equal(saved[1].at), "the ages hold as of the write")
	})
}

// The store may refuse to read to some VMs. What these find must be kept all the same, and
// what was kept must be used later.
func TestVerdictIsSavedWhileLoadsFail(t *testing.T) {
	simulateArchive(t, 1, func(t *testing.T, s *archiveSim) {
		before, found := crashingPart("before"), crashingPart("found")
		s.judge(before)
		pass(archiveSettleTime)
		s.killAll()
		s.archive.set(func() { s.archive.noLoads = true })
		s.startAll(1)
		s.judge(found)
		pass(time.Second)
		assert.Equal(t, len(s.archive.kept()), 2)
		s.archive.set(func() { s.archive.noLoads = false })
		pass(10 * time.Second)
		assert.Equal(t, len(s.vms[0].inForce()), 2)
		pass(time.Minute)
		assert.Equal(t, len(s.archive.kept()), 2)
		assert.Equal(t, len(s.archive.made("save")), 2)
	})
}

// A store that does not answer must neither hold up a write beyond its time nor the stop.
func TestHangingArchiveHoldsNothingUp(t *testing.T) {
	simulateArchive(t, 1, func(t *testing.T, s *archiveSim) {
		s.archive.set(func() { s.archive.hanging = true })
		s.judge(crashingPart("bad"))
		pass(archiveTimeout)
		assert.Equal(t, len(s.archive.made("save")), 1)
		pass(2 * time.Second)
		assert.Equal(t, len(s.archive.made("save")), 1, "the second one is in flight")
		began := time.Now()
		s.killAll()
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// The clock of the VM that loads may be behind or ahead of that of the VM that saved. A
// fact from the future would have a negative age.
func TestAgesWithClocksThatDiffer(t *testing.T) {
	const apart = 2 * time.Second
	for _, offset := range []time.Duration{-clockOffset, 0, clockOffset} {
		simulateArchive(t, 0, func(t *testing.T, s *archiveSim) {
			verdict := crashingPart("bad")
			s.archive.entries[keyOf(verdict)] = Entry{
				Service: verdict.Service, Parts: verdict.Parts, Facts: verdict.Facts, AsOf: time.Now(),
			}
			pass(apart)
			vm := s.start("vm-0", offset)
			synctest.Wait()
			assert.Equal(t, vm.facts()[0].Crashes[0].Age, time.Minute+max(0, apart+offset))
		})
	}
}

// If one of the two VMs cannot reach the store, the other one keeps the verdict. All VMs
// writing it would cost a call each.
func TestTwoVMsSaveAVerdict(t *testing.T) {
	simulateArchive(t, 5, func(t *testing.T, s *archiveSim) {
		for n := range 20 {
			s.judge(crashingPart(fmt.Sprint("part ", n)))
		}
		pass(time.Minute)
		assert.Equal(t, len(s.archive.kept()), 20)
		saves := s.archive.made("save")
		assert.Equal(t, len(saves), 2*20)
		for _, key := range s.archive.kept() {
			calls := slices.DeleteFunc(slices.Clone(saves), func(c archiveCall) bool { return c.key != key })
			assert.DeepEqual(t, vmsOf(calls), s.writersOf(key))
		}
	})
}

// A VM that is to save a verdict may end before it has done so.
func TestSuccessorSavesWhatALostVMDidNot(t *testing.T) {
	simulateArchive(t, 4, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		s.archive.set(func() { s.archive.away = true })
		s.judge(verdict)
		pass(time.Second)
		for _, name := range s.writersOf(keyOf(verdict)) {
			s.lose(name)
		}
		s.archive.set(func() { s.archive.away = false })
		pass(archiveSettleTime)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(verdict)})
	})
}

// A VM that drains is not counted among the writers by the others, so that it must not
// write either.
func TestDrainingVMDoesNotWrite(t *testing.T) {
	simulateArchive(t, 3, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		draining := s.writersOf(keyOf(verdict))[0]
		s.mu.Lock()
		for i := range s.members {
			s.members[i].Draining = s.members[i].VM == draining
		}
		s.mu.Unlock()
		s.judge(verdict)
		pass(archiveSettleTime)
		saves := vmsOf(s.archive.made("save"))
		assert.Equal(t, len(saves), 2)
		assert.Assert(t, !slices.Contains(saves, draining))
	})
}

// A lapsed verdict that is kept would refuse sound prompts after the next kill.
func TestLapsedVerdictIsDeletedByTwo(t *testing.T) {
	simulateArchive(t, 5, func(t *testing.T, s *archiveSim) {
		verdict, other := crashingPart("bad"), crashingPart("other")
		s.judge(verdict)
		s.judge(other)
		pass(archiveSettleTime)
		s.lapse(verdict)
		pass(archiveDeleteDelay + archiveSettleTime)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(other)})
		assert.DeepEqual(t, vmsOf(s.archive.made("delete")), s.writersOf(keyOf(verdict)))
		for _, vm := range s.vms {
			assert.Equal(t, len(vm.plan.keys), 1, "the lapsed verdict is forgotten")
		}
	})
}

// A verdict that lapses at one VM just before it learns of another crash must stay.
func TestVerdictThatReturnsIsNotDeleted(t *testing.T) {
	simulateArchive(t, 2, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		s.judge(verdict)
		pass(archiveSettleTime)
		for range 3 {
			s.lapse(verdict)
			pass(archiveDeleteDelay - time.Second)
			s.judge(verdict)
			pass(2 * time.Second)
		}
		pass(time.Minute)
		assert.Equal(t, len(s.archive.made("delete")), 0)
		assert.Equal(t, len(s.archive.made("save")), 2)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(verdict)})
	})
}

// Verdicts become narrower. If the wider one was deleted first, a kill between the two
// writes would lose both.
func TestNarrowerVerdictIsSavedBeforeTheWiderOneIsDeleted(t *testing.T) {
	simulateArchive(t, 1, func(t *testing.T, s *archiveSim) {
		wide, narrow := crashingPart("bad"), crashingPart("bad")
		wide.Parts = []string{"bad", "shared"}
		s.judge(wide)
		pass(archiveSettleTime)
		s.archive.set(func() { s.archive.refused = keyOf(narrow) })
		s.lapse(wide)
		s.judge(narrow)
		pass(time.Minute)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(wide)})
		s.archive.set(func() { s.archive.refused = "" })
		pass(time.Minute)
		assert.DeepEqual(t, s.archive.kept(), []string{keyOf(narrow)})
	})
}

// A verdict that the store does not accept must not keep the others from being saved.
func TestRefusedVerdictDoesNotHoldUpOthers(t *testing.T) {
	simulateArchive(t, 1, func(t *testing.T, s *archiveSim) {
		verdicts := []Verdict{crashingPart("a"), crashingPart("b"), crashingPart("c"), crashingPart("d")}
		for _, refused := range verdicts {
			s.archive.set(func() { s.archive.refused = keyOf(refused) })
			for _, v := range verdicts {
				s.judge(v)
			}
			pass(10 * time.Second)
			assert.Equal(t, len(s.archive.kept()), len(verdicts)-1)
			assert.Assert(t, !slices.Contains(s.archive.kept(), keyOf(refused)))
			for _, v := range verdicts {
				s.lapse(v)
			}
			s.archive.set(func() { s.archive.refused = "" })
			pass(time.Minute)
			assert.Equal(t, len(s.archive.kept()), 0)
		}
	})
}

// Each call to the store has a price, and so has each wake-up of a process. Most days see no
// verdict at all.
func TestNoCallsWithoutVerdicts(t *testing.T) {
	simulateArchive(t, 5, func(t *testing.T, s *archiveSim) {
		pass(time.Hour)
		assert.Equal(t, len(s.archive.calls), 5)
		assert.Equal(t, len(s.archive.made("load")), 5)
		for _, vm := range s.vms {
			assert.Equal(t, vm.checks, 1)
		}
		verdict := crashingPart("bad")
		s.judge(verdict)
		pass(archiveSettleTime)
		s.lapse(verdict)
		pass(time.Minute)
		before := len(s.archive.calls)
		pass(time.Hour)
		assert.Equal(t, len(s.archive.calls), before)
	})
}

// A burst of verdicts, or facts that change all the time, must not become a burst of
// writes.
func TestWritesAreBounded(t *testing.T) {
	simulateArchive(t, 3, func(t *testing.T, s *archiveSim) {
		const verdicts, minutes = 30, 10
		for n := range verdicts {
			s.judge(crashingPart(fmt.Sprint("part ", n)))
		}
		pass(time.Minute)
		assert.Equal(t, len(s.archive.kept()), verdicts)
		last := map[string]time.Time{}
		for _, call := range s.archive.made("save") {
			assert.Assert(t, call.at.Sub(last[call.vm]) >= archiveWritePause)
			last[call.vm] = call.at
		}
		before := len(s.archive.made("save"))
		changing := crashingPart("part 0")
		for n := range minutes * 60 {
			changing.Facts.Crashes = append(slices.Clone(changing.Facts.Crashes), Crash{
				Service: "pool", Engine: fmt.Sprint("engine ", n), Parts: []string{"part 0"},
			})
			s.judge(changing)
			pass(time.Second)
		}
		rewrites := len(s.archive.made("save")) - before
		assert.Assert(t, rewrites >= 2*(2*minutes-2) && rewrites <= 2*2*minutes, "%d writes in %d minutes", rewrites, minutes)
	})
}

// Ages advance and facts arrive in any order; none of this must cause a write. A further
// crash prolongs the verdict and must be kept.
func TestOnlyFurtherFactsAreSavedAgain(t *testing.T) {
	simulateArchive(t, 1, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		verdict.Facts.Crashes = append(verdict.Facts.Crashes, Crash{Service: "pool", Engine: "second", Parts: []string{"bad", "other"}})
		s.judge(verdict)
		for range 100 {
			pass(time.Second)
			verdict.Facts = verdict.Facts.aged(time.Second)
			slices.Reverse(verdict.Facts.Crashes)
			s.judge(verdict)
		}
		assert.Equal(t, len(s.archive.made("save")), 1)
		verdict.Facts.Crashes = append(slices.Clone(verdict.Facts.Crashes), Crash{Service: "pool", Engine: "third", Parts: []string{"bad"}})
		s.judge(verdict)
		pass(archiveSettleTime)
		assert.Equal(t, len(s.archive.made("save")), 2)
		assert.Equal(t, len(s.archive.entries[keyOf(verdict)].Facts.Crashes), 3)
	})
}

// After a kill the VMs do not know each other at first, so that each takes itself for the
// writer of all keys. What was loaded must not be written by all of them.
func TestLoadedVerdictsAreNotWrittenByAll(t *testing.T) {
	simulateArchive(t, 1, func(t *testing.T, s *archiveSim) {
		verdict := crashingPart("bad")
		s.judge(verdict)
		pass(archiveSettleTime)
		s.killAll()
		before := len(s.archive.calls)
		for n := range 4 {
			vm := s.start(fmt.Sprint("alone-", n), 0)
			synctest.Wait()
			more := verdict
			more.Facts.Crashes = append(slices.Clone(more.Facts.Crashes), Crash{Service: "pool", Engine: "new", Parts: []string{"bad"}})
			vm.judge(more)
		}
		pass(archiveRewritePeriod - time.Second)
		assert.Equal(t, len(s.archive.calls)-before, 4, "one load each")
	})
}

// One entry that a process of another version or a stranger wrote must not keep the facts
// of the others away.
func TestUnreadableEntriesAreDropped(t *testing.T) {
	good := func() Entry {
		v := crashingPart("bad")
		return Entry{Service: v.Service, Parts: v.Parts, Facts: v.Facts, AsOf: time.Now()}
	}
	spoil := map[string]func(e *Entry){
		"service":           func(e *Entry) { e.Service = "" },
		"parts":             func(e *Entry) { e.Parts = nil },
		"asOf":              func(e *Entry) { e.AsOf = time.Time{} },
		"crashes":           func(e *Entry) { e.Facts.Crashes = nil },
		"crashes[0].parts":  func(e *Entry) { e.Facts.Crashes[0].Parts = nil },
		"crashes[0].engine": func(e *Entry) { e.Facts.Crashes[0].Engine = "" },
		"crashes[0].age":    func(e *Entry) { e.Facts.Crashes[0].Age = -1 },
		"sounds[0].age":     func(e *Entry) { e.Facts.Sounds = []Sound{{Service: "pool", Part: "p", Age: 1 << 62}} },
		"sounds[0].part":    func(e *Entry) { e.Facts.Sounds = []Sound{{Service: "pool"}} },
	}
	simulateArchive(t, 0, func(t *testing.T, s *archiveSim) {
		for path, change := range spoil {
			entry := good()
			change(&entry)
			err := entry.check()
			assert.Assert(t, err != nil && strings.Contains(err.Error(), path+":"), "%s: %v", path, err)
			s.archive.entries[path] = entry
		}
		sound := good()
		assert.NilError(t, sound.check())
		s.archive.entries["usable"] = sound
		vm := s.start("vm-0", 0)
		synctest.Wait()
		assert.DeepEqual(t, vm.facts(), []Facts{sound.Facts})
		assert.Equal(t, vm.counters.Unreadable.Load(), int64(len(spoil)))
		assert.Equal(t, vm.counters.Restored.Load(), int64(1))
	})
}

// A verdict whose VMs were all gone for long is of no use and would stay in the store for
// good if nobody deleted it.
func TestExpiredEntryIsNotRestoredButDeleted(t *testing.T) {
	simulateArchive(t, 3, func(t *testing.T, s *archiveSim) {
		s.judge(crashingPart("bad"))
		pass(archiveSettleTime)
		s.killAll()
		pass(testRetention)
		s.startAll(3)
		pass(archiveDeleteDelay + archiveSettleTime)
		assert.Equal(t, len(s.archive.kept()), 0)
		assert.Equal(t, len(s.archive.made("delete")), 2)
		for _, vm := range s.vms {
			assert.Equal(t, len(vm.facts()), 0)
			assert.Equal(t, vm.counters.Expired.Load(), int64(1))
		}
	})
}

// Keys on which VMs disagree would be written twice and deleted by half.
func TestKeysDependOnServiceAndPartsOnly(t *testing.T) {
	assert.Equal(t, archiveKey("pool", []string{"a", "b"}), archiveKey("pool", []string{"b", "a"}))
	others := map[string]bool{
		archiveKey("pool", []string{"a", "b"}): true, archiveKey("pool", []string{"ab"}): true,
		archiveKey("pool", []string{"a"}): true, archiveKey("other", []string{"a", "b"}): true,
	}
	assert.Equal(t, len(others), 4)
}

// An entry beyond the store's limits would never be saved. One that lacks facts about sound
// parts would put these under quarantine after the next start.
func TestLimitedFactsAcquitTheSameParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a", "b", "c", "a much longer name of a part"})
		service := rapid.SampledFrom([]string{"s", "t"})
		age := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) })
		facts := Facts{
			Crashes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Crash {
				parts := rapid.SliceOfNDistinct(part, 1, 4, rapid.ID[string]).Draw(t, "parts")
				return Crash{Service: service.Draw(t, "service"), Engine: "e", Parts: slices.Sorted(slices.Values(parts)), Age: age.Draw(t, "age")}
			}), 0, 8).Draw(t, "crashes"),
			Sounds: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Sound {
				return Sound{Service: service.Draw(t, "service"), Part: part.Draw(t, "part"), Age: age.Draw(t, "age")}
			}), 0, 8).Draw(t, "sounds"),
		}
		limit := rapid.IntRange(0, 1500).Draw(t, "limit")
		kept := facts.limited(limit)

		size := 0
		for i := range kept.Crashes {
			size += kept.Crashes[i].encodedBytes()
			for _, sound := range facts.Sounds {
				concerned := sound.Service == kept.Crashes[i].Service && slices.Contains(kept.Crashes[i].Parts, sound.Part)
				if concerned && !slices.Contains(kept.Sounds, sound) {
					t.Fatalf("the crash %v is kept without %v", kept.Crashes[i], sound)
				}
			}
		}
		for _, sound := range kept.Sounds {
			size += factBytes + len(sound.Service) + len(sound.Part)
		}
		if size > limit {
			t.Fatalf("%d bytes are kept, %d are allowed", size, limit)
		}
		whole := facts.limited(1 << 20)
		if len(whole.Crashes) != len(facts.Crashes) {
			t.Fatalf("%d of %d crashes are kept without need", len(whole.Crashes), len(facts.Crashes))
		}
		if !slices.IsSortedFunc(whole.Crashes, func(a, b Crash) int { return int(a.Age - b.Age) }) {
			t.Fatalf("the newest crashes do not come first: %v", whole.Crashes)
		}
	})
}

package quarantine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// simNear and simFar are the times of a call to its arrival, within a zone and
	// between zones.
	simNear, simFar = time.Millisecond, 8 * time.Millisecond
	// simSuspect and simGone are the times after which members suspect one that is
	// silent, and consider it gone.
	simSuspect, simGone = time.Second, 5 * time.Second
	// simNews is the time after which members see that one has started or is back, and
	// simJoin that after which a started one sees the others.
	simNews, simJoin = 700 * time.Millisecond, 350 * time.Millisecond
	// simPoll is the time between two looks at the stores of a simulation.
	simPoll = 5 * time.Millisecond
)

// seedsVariable is the environment variable with a range of seeds for manual runs, such
// as "1-200".
const seedsVariable = "OSPREYSHED_QUARANTINE_SEEDS"

var errUnreachable = errors.New("unreachable")

// fakeStore is a set of facts.
type fakeStore struct {
	mu      sync.Mutex
	crashes map[string]timedCrash
	sounds  map[string]timedSound
	sum     uint64
}

type timedCrash struct {
	crash Crash
	at    time.Time
}

type timedSound struct {
	sound Sound
	at    time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{crashes: make(map[string]timedCrash), sounds: make(map[string]timedSound)}
}

func (s *fakeStore) merge(f Facts) Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh Facts
	now := time.Now()
	for _, c := range f.Crashes {
		if _, known := s.crashes[c.key()]; !known {
			s.crashes[c.key()] = timedCrash{c, now.Add(-c.Age)}
			s.sum ^= xxhash.Sum64String("c" + c.key())
			fresh.Crashes = append(fresh.Crashes, c)
		}
	}
	for _, sound := range f.Sounds {
		if _, known := s.sounds[sound.key()]; !known {
			s.sounds[sound.key()] = timedSound{sound, now.Add(-sound.Age)}
			s.sum ^= xxhash.Sum64String("s" + sound.key())
			fresh.Sounds = append(fresh.Sounds, sound)
		}
	}
	return fresh
}

func (s *fakeStore) all() Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all Facts
	for _, c := range s.crashes {
		c.crash.Age = time.Since(c.at)
		all.Crashes = append(all.Crashes, c.crash)
	}
	for _, sound := range s.sounds {
		sound.sound.Age = time.Since(sound.at)
		all.Sounds = append(all.Sounds, sound.sound)
	}
	return all
}

func (s *fakeStore) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

// simVM is one VM of a simulation. Times are zero while they do not apply.
type simVM struct {
	name, zone  string
	incarnation uint64
	sharer      *sharer
	store       *fakeStore
	cancel      context.CancelFunc
	// started is the time of the start of the process, down that of its end.
	started, down time.Time
	// silent is set if calls to the ended process are not even refused.
	silent bool
	// frozenFrom and frozenTo are the last time for which the process did nothing.
	frozenFrom, frozenTo time.Time
	// earlier is set if the VM runs a version that does not serve the call.
	earlier bool
	// inFlight and most are the present and the greatest number of calls with a digest
	// of zero that the VM makes.
	inFlight, most int
	// drains is set if the VM finishes its requests.
	drains bool
}

func (vm *simVM) up() bool { return vm.sharer != nil }

func (vm *simVM) frozen(now time.Time) bool {
	return !now.Before(vm.frozenFrom) && now.Before(vm.frozenTo)
}

// sim is a fleet of VMs without a network. It is used in a synctest bubble.
type sim struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	log     *decisionlog.Log
	running sync.WaitGroup

	mu  sync.Mutex
	vms []*simVM
	// cutFrom and cutTo are the times for which a zone, or a VM, is cut off.
	cutFrom, cutTo map[string]time.Time
	// cutUntil is the latest time of cutTo.
	cutUntil time.Time
	// lossy is the share of calls that are lost or late.
	lossy float64
	// calls counts calls by caller and called VM.
	calls map[string]uint64
	// deliveries counts calls that ask for no facts, exchanges those that do.
	deliveries, exchanges int
	facts                 int
}

// simFleet is the size of a simulated fleet.
type simFleet struct{ zones, vmsPerZone int }

var (
	smallFleet, mediumFleet, largeFleet = simFleet{3, 2}, simFleet{4, 10}, simFleet{4, 50}
	allFleets                           = []simFleet{smallFleet, mediumFleet, largeFleet}
)

// simulate runs a test in virtual time.
func simulate(t *testing.T, seed uint64, fleet simFleet, test func(t *testing.T, s *sim)) {
	t.Helper()
	// With more processors the runtime of the race detector crashes in large fleets (Go
	// 1.26).
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, seed, fleet)
		defer s.close()
		time.Sleep(simNews + settleTime)
		test(t, s)
	})
}

// forSeeds runs a test for each seed with fleets of 6 and 40 VMs, and for the first one
// of those that always run with 200.
func forSeeds(t *testing.T, test func(s *sim)) {
	t.Helper()
	first, last := uint64(1), uint64(3)
	text := os.Getenv(seedsVariable)
	if text != "" {
		from, to, _ := strings.Cut(text, "-")
		var err error
		first, err = strconv.ParseUint(from, 10, 64)
		assert.NilError(t, err)
		last, err = strconv.ParseUint(to, 10, 64)
		assert.NilError(t, err)
	}
	for seed := first; seed <= last; seed++ {
		for _, fleet := range allFleets {
			if fleet == largeFleet && seed > first && text == "" {
				continue
			}
			t.Run(fmt.Sprintf("seed %d, %d VMs", seed, fleet.zones*fleet.vmsPerZone), func(t *testing.T) {
				simulate(t, seed, fleet, func(_ *testing.T, s *sim) { test(s) })
			})
		}
	}
}

func newSim(t *testing.T, seed uint64, fleet simFleet) *sim {
	t.Helper()
	s := &sim{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), log: decisionlog.Discard(), calls: make(map[string]uint64),
		cutFrom: make(map[string]time.Time), cutTo: make(map[string]time.Time),
	}
	for z := range fleet.zones {
		for n := range fleet.vmsPerZone {
			s.vms = append(s.vms, &simVM{name: fmt.Sprintf("vm-%d-%02d", z, n), zone: fmt.Sprintf("zone-%d", z)})
		}
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
	return s
}

func (s *sim) close() {
	for _, vm := range s.vms {
		s.kill(vm)
	}
	s.running.Wait()
	s.log.Close()
}

// start starts the process of a VM, which knows nothing, unless it runs.
func (s *sim) start(vm *simVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.up() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm.incarnation++
	vm.store = newFakeStore()
	sharer := newSharer(shareParams{
		view: simView{s, vm}, peers: simPeers{s, vm}, store: vm.store, log: s.log, clock: time.Now,
		random: rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(vm.name, vm.incarnation)))),
	})
	vm.sharer, vm.cancel = sharer, cancel
	vm.started, vm.silent = time.Now(), false
	s.running.Go(func() { sharer.run(ctx) })
}

// kill ends the process of a VM.
func (s *sim) kill(vm *simVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.up() {
		vm.cancel()
		vm.sharer, vm.down = nil, time.Now()
	}
}

// killHalf kills half of the VMs, some of which are silent then.
func (s *sim) killHalf() {
	for i, at := range s.random.Perm(len(s.vms)) {
		if vm := s.vms[at]; i < len(s.vms)/2 {
			s.kill(vm)
			s.mu.Lock()
			vm.silent = s.random.IntN(2) == 0
			s.mu.Unlock()
		}
	}
}

func (s *sim) freeze(vm *simVM, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm.frozenFrom, vm.frozenTo = time.Now(), time.Now().Add(d)
}

// cut cuts a zone off from all others, or a VM from all VMs.
func (s *sim) cut(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutFrom[name], s.cutTo[name] = time.Now(), time.Now().Add(d)
	s.cutUntil = later(s.cutUntil, s.cutTo[name])
}

func (s *sim) setLossy(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy = share
}

// zone returns the VMs of a zone.
func (s *sim) zone(name string) []*simVM {
	var vms []*simVM
	for _, vm := range s.vms {
		if vm.zone == name {
			vms = append(vms, vm)
		}
	}
	return vms
}

// running VMs are those whose process runs and is not frozen.
func (s *sim) runningVMs() []*simVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var vms []*simVM
	for _, vm := range s.vms {
		if vm.up() && !vm.frozen(time.Now()) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// publish lets a VM observe a new fact, and returns the fact.
func (s *sim) publish(vm *simVM) Facts {
	s.mu.Lock()
	s.facts++
	f := Facts{Crashes: []Crash{{
		Service: "writer", Engine: fmt.Sprint("i-", s.facts), Parts: []string{fmt.Sprintf("%08x", s.facts), "0aa1", "0bb2"},
	}}}
	if s.facts%3 == 0 {
		f.Sounds = []Sound{{Service: "writer", Part: fmt.Sprintf("%08x", s.facts)}}
	}
	store, sharer := vm.store, vm.sharer
	s.mu.Unlock()
	if sharer != nil {
		store.merge(f)
		sharer.publish(f)
	}
	return f
}

// knows reports whether a VM knows facts.
func (s *sim) knows(vm *simVM, f *Facts) bool {
	s.mu.Lock()
	store := vm.store
	s.mu.Unlock()
	lacking := f.without(store.all())
	return lacking.Empty()
}

// lacking returns the running VMs that do not know facts.
func (s *sim) lacking(f *Facts) []string {
	var names []string
	for _, vm := range s.runningVMs() {
		if !s.knows(vm, f) {
			names = append(names, vm.name)
		}
	}
	return names
}

// mustKnow checks that facts are known at all running VMs within d from now.
func (s *sim) mustKnow(f Facts, d time.Duration, when string) {
	s.t.Helper()
	began := time.Now()
	for {
		lacking := s.lacking(&f)
		if len(lacking) == 0 {
			return
		}
		if time.Since(began) >= d {
			s.t.Errorf("%s: after %s, some of %d facts are unknown to %d VMs, %s first", when, d, f.size(), len(lacking), lacking[0])
			return
		}
		time.Sleep(simPoll)
	}
}

// counts returns the numbers of deliveries and exchanges since the last call.
func (s *sim) counts() (deliveries, exchanges int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deliveries, exchanges = s.deliveries, s.exchanges
	s.deliveries, s.exchanges = 0, 0
	return deliveries, exchanges
}

// isCut reports whether a zone or VM is cut off.
func (s *sim) isCut(name string, now time.Time) bool {
	return !now.Before(s.cutFrom[name]) && now.Before(s.cutTo[name])
}

// apart returns the time since which two VMs are cut off from each other, zero if they
// are not. The lock must be held.
func (s *sim) apart(a, b *simVM, now time.Time) time.Time {
	var since time.Time
	if !now.Before(s.cutUntil) {
		return since
	}
	names := []string{a.name, b.name}
	if a.zone != b.zone {
		names = append(names, a.zone, b.zone)
	}
	for _, name := range names {
		if s.isCut(name, now) {
			since = earlier(since, s.cutFrom[name])
		}
	}
	return since
}

// simView is the membership as a VM sees it, with the delays of a real one.
type simView struct {
	sim *sim
	vm  *simVM
}

// Self implements membership.View.
func (v simView) Self() membership.Member {
	v.sim.mu.Lock()
	defer v.sim.mu.Unlock()
	return v.vm.member(membership.Alive)
}

func (vm *simVM) member(state membership.State) membership.Member {
	return membership.Member{
		VM: vm.name, Zone: vm.zone, Address: vm.name, Incarnation: vm.incarnation, State: state, Draining: vm.drains,
	}
}

// Members implements membership.View.
func (v simView) Members() []membership.Member {
	v.sim.mu.Lock()
	defer v.sim.mu.Unlock()
	members := make([]membership.Member, 0, len(v.sim.vms))
	now := time.Now()
	for _, vm := range v.sim.vms {
		if vm == v.vm {
			members = append(members, vm.member(membership.Alive))
		} else if m, known := v.sees(vm, now); known {
			members = append(members, m)
		}
	}
	return members
}

// sees returns another VM as this one sees it; false if it is unknown or gone.
func (v simView) sees(vm *simVM, now time.Time) (membership.Member, bool) {
	if now.Sub(v.vm.started) < simJoin {
		return membership.Member{}, false
	}
	m := vm.member(stateAfter(v.silence(vm, now)))
	if vm.up() && now.Sub(vm.started) < simNews {
		// The former process is still in view, if there was one.
		m.Incarnation--
		m.State = stateAfter(now.Sub(vm.down))
		return m, vm.incarnation > 1 && m.State != membership.Gone
	}
	return m, m.State != membership.Gone
}

// silence returns for how long this VM has heard nothing of another one.
func (v simView) silence(vm *simVM, now time.Time) time.Duration {
	silence := time.Duration(0)
	if !vm.up() {
		silence = now.Sub(vm.down)
	}
	if vm.frozen(now.Add(-simNews)) || vm.frozen(now) {
		silence = max(silence, now.Sub(vm.frozenFrom))
	}
	for _, at := range []time.Time{now, now.Add(-simNews)} {
		if since := v.sim.apart(v.vm, vm, at); !since.IsZero() {
			silence = max(silence, now.Sub(since))
		}
	}
	return silence
}

func stateAfter(silence time.Duration) membership.State {
	switch {
	case silence >= simGone:
		return membership.Gone
	case silence >= simSuspect:
		return membership.Suspect
	}
	return membership.Alive
}

// simPeers are the calls of one VM to others.
type simPeers struct {
	sim  *sim
	from *simVM
}

// route is what happens to a call.
type route struct {
	sharer *sharer
	// incarnation is the process of the called VM to which the call is made.
	incarnation uint64
	to          *simVM
	// latency is the time to the arrival.
	latency time.Duration
	// refused, lost, answerLost and unserved say what goes wrong.
	refused, lost, answerLost, unserved bool
}

// route draws what happens to a call.
func (p simPeers) route(name string) route {
	s := p.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	r := route{latency: simFar}
	for _, vm := range s.vms {
		if vm.name == name {
			r.to = vm
		}
	}
	if r.to.zone == p.from.zone {
		r.latency = simNear
	}
	r.sharer, r.incarnation = r.to.sharer, r.to.incarnation
	r.refused = !r.to.up() && !r.to.silent
	r.lost = !r.to.up() && r.to.silent || !s.apart(p.from, r.to, time.Now()).IsZero()
	r.unserved = r.to.earlier
	key := p.from.name + " " + name
	s.calls[key]++
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(key, s.calls[key]))))
	if random.Float64() < s.lossy {
		switch random.IntN(3) {
		case 0:
			r.lost = true
		case 1:
			r.answerLost = true
		default:
			r.latency += time.Duration(random.Int64N(int64(2 * time.Second)))
		}
	}
	return r
}

// count counts a call and reports its beginning (1) or its end (-1).
func (p simPeers) count(m *Message, change int) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if m.Digest != 0 {
		p.sim.exchanges += max(0, change)
		return
	}
	p.sim.deliveries += max(0, change)
	p.from.inFlight += change
	p.from.most = max(p.from.most, p.from.inFlight)
}

// Exchange implements Peers. A call arrives even if the caller has stopped waiting
// meanwhile.
func (p simPeers) Exchange(ctx context.Context, to membership.Member, m Message) (Message, error) {
	p.count(&m, 1)
	defer p.count(&m, -1)
	p.sim.thaw(p.from)
	r := p.route(to.VM)
	if r.refused {
		return Message{}, errUnreachable
	}
	arriving := Message{Facts: factsFromProto(requestToProto(m).GetFacts()), Digest: m.Digest, Forward: m.Forward}
	done := make(chan Message, 1)
	if !r.lost {
		p.sim.running.Go(func() {
			time.Sleep(r.latency)
			p.sim.thaw(r.to)
			if !p.sim.isUp(r.to, r.incarnation) || r.unserved {
				return
			}
			response := r.sharer.handle(arriving)
			if !r.answerLost {
				done <- Message{Facts: factsFromProto(responseToProto(response).GetFacts()), Digest: response.Digest}
			}
		})
	}
	if r.unserved && !r.lost {
		return Message{}, Unserved.New("%s", to.VM)
	}
	select {
	case response := <-done:
		return response, ctx.Err()
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
}

// isUp reports whether the same process of a VM still runs.
func (s *sim) isUp(vm *simVM, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return vm.up() && vm.incarnation == incarnation
}

// thaw waits while a VM is frozen.
func (s *sim) thaw(vm *simVM) {
	for {
		s.mu.Lock()
		rest := time.Until(vm.frozenTo)
		s.mu.Unlock()
		if rest <= 0 {
			return
		}
		time.Sleep(rest)
	}
}

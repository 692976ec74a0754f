package origin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// simNear and simFar are the times of a call to its arrival, within a zone and
	// between zones.
	simNear, simFar = time.Millisecond, 8 * time.Millisecond
	// simSuspect and simGone are the times after which members suspect one that is
	// silent, and consider it gone.
	simSuspect, simGone = time.Second, 5 * time.Second
	// simNews is the time after which members know that one drains, has left or is back.
	simNews = 700 * time.Millisecond
	// simKept is the time after Record after which the loss of a VM or a zone must not
	// lose a record.
	simKept = time.Second
)

var errUnreachable = errors.New("unreachable")

// simVM is one VM of a simulation. Times are zero while they do not apply.
type simVM struct {
	// earlier is set if the VM is of a version that archives nothing.
	earlier     bool
	name, zone  string
	incarnation uint64
	service     *Service
	cancel      context.CancelFunc
	// started is the time of the start of the process, down that of its end.
	started, down time.Time
	// drains is the time at which the process began to drain. left is set if it ended
	// gracefully, silent if calls to it are not even refused.
	drains       time.Time
	left, silent bool
	// frozenFrom and frozenTo are the last time for which the process did nothing.
	frozenFrom, frozenTo time.Time
}

func (vm *simVM) up() bool { return vm.service != nil }

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
	// cutZone is the zone that is cut off from the others from cutFrom to cutTo.
	cutZone        string
	cutFrom, cutTo time.Time
	// lossy is the share of calls that are lost or late.
	lossy float64
	// calls counts calls by caller and called VM.
	calls   map[string]uint64
	streams int

	archive *simArchive
	// archived is set if the records of streams are archived.
	archived atomic.Bool
}

func newSim(t *testing.T, seed uint64, zones, vmsPerZone int) *sim {
	t.Helper()
	s := &sim{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), log: decisionlog.Discard(), calls: make(map[string]uint64),
		archive: &simArchive{},
	}
	for z := range zones {
		for n := range vmsPerZone {
			s.vms = append(s.vms, &simVM{name: fmt.Sprintf("vm-%d-%02d", z, n), zone: fmt.Sprintf("zone-%d", z)})
		}
	}
	for _, vm := range s.vms {
		s.start(vm)
	}
	time.Sleep(settleTime)
	return s
}

// simulate runs a test in virtual time.
func simulate(t *testing.T, seed uint64, zones, vmsPerZone int, test func(t *testing.T, s *sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, seed, zones, vmsPerZone)
		defer s.close()
		test(t, s)
	})
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
	ctx, cancel := context.WithCancel(context.Background())
	service := New(Params{
		View: simView{s, vm}, Peers: simPeers{s, vm}, Log: s.log, Clock: time.Now, Archive: s.archive,
		Archived: func(string) bool { return s.archived.Load() },
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.up() {
		cancel()
		return
	}
	vm.incarnation++
	vm.service, vm.cancel = service, cancel
	vm.started, vm.drains, vm.silent = time.Now(), time.Time{}, false
	s.running.Go(func() { service.Run(ctx) })
}

// kill ends the process of a VM.
func (s *sim) kill(vm *simVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.up() {
		vm.cancel()
		vm.service, vm.down, vm.left = nil, time.Now(), false
	}
}

// drain begins the graceful stop of a VM.
func (s *sim) drain(vm *simVM) {
	s.mu.Lock()
	vm.drains = time.Now()
	service := vm.service
	s.mu.Unlock()
	service.HandOver(context.Background())
}

// leave ends the graceful stop of a VM.
func (s *sim) leave(vm *simVM) {
	if service := s.serviceOf(vm); service != nil {
		service.HandOver(context.Background())
	}
	s.kill(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	vm.left = true
}

func (s *sim) freeze(vm *simVM, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm.frozenFrom, vm.frozenTo = time.Now(), time.Now().Add(d)
}

func (s *sim) cut(zone string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutZone, s.cutFrom, s.cutTo = zone, time.Now(), time.Now().Add(d)
}

func (s *sim) setLossy(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy = share
}

// serviceOf returns the service of a VM, nil if its process does not run.
func (s *sim) serviceOf(vm *simVM) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return vm.service
}

// isUp reports whether the same process of a VM still runs.
func (s *sim) isUp(vm *simVM, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return vm.up() && vm.incarnation == incarnation
}

// incarnationOf returns the number of starts of a VM.
func (s *sim) incarnationOf(vm *simVM) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return vm.incarnation
}

// holders returns the running VMs that have a stream's record.
func (s *sim) holders(stream string) []*simVM {
	var holders []*simVM
	for _, vm := range s.vms {
		if service := s.serviceOf(vm); service != nil {
			if _, known := service.Answer(stream); known {
				holders = append(holders, vm)
			}
		}
	}
	return holders
}

// sent returns the number of calls with records of all running VMs.
func (s *sim) sent() int64 {
	sent := int64(0)
	for _, vm := range s.vms {
		if service := s.serviceOf(vm); service != nil {
			sent += service.Counters().Calls.Load()
		}
	}
	return sent
}

// isEarlier reports whether a VM is of a version that archives nothing.
func (s *sim) isEarlier(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.vms, func(vm *simVM) bool { return vm.name == name && vm.earlier })
}

// isServing reports whether a VM serves new requests.
func (s *sim) isServing(vm *simVM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return vm.up() && vm.drains.IsZero() && !vm.frozen(time.Now())
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

// newStream returns the id of a new stream.
func (s *sim) newStream() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(s.seed, s.streams)))
}

// apart reports whether two VMs are cut off from each other. The lock must be held.
func (s *sim) apart(a, b *simVM, now time.Time) bool {
	return a.zone != b.zone && (a.zone == s.cutZone || b.zone == s.cutZone) && !now.Before(s.cutFrom) && now.Before(s.cutTo)
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
	return membership.Member{VM: vm.name, Zone: vm.zone, Address: vm.name, Incarnation: vm.incarnation, State: state}
}

// Members implements membership.View.
func (v simView) Members() []membership.Member {
	v.sim.mu.Lock()
	defer v.sim.mu.Unlock()
	var members []membership.Member
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
	if now.Sub(v.vm.started) < simNews/2 {
		return membership.Member{}, false
	}
	state := stateAfter(v.silence(vm, now))
	m := vm.member(state)
	switch {
	case !vm.up() && vm.left:
		m.Draining = true
		return m, now.Sub(vm.down) < simNews
	case !vm.up():
		m.Draining = !vm.drains.IsZero()
	case now.Sub(vm.started) < simNews && vm.incarnation > 1:
		// The former process is still in view.
		m.Incarnation--
		m.State = stateAfter(now.Sub(vm.down))
		m.Draining = vm.left
		return m, m.State != membership.Gone && (!vm.left || now.Sub(vm.down) < simNews)
	case !vm.drains.IsZero():
		m.Draining = now.Sub(vm.drains) >= simNews
	}
	return m, state != membership.Gone
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
	if v.sim.apart(v.vm, vm, now) || v.sim.apart(v.vm, vm, now.Add(-simNews)) {
		silence = max(silence, now.Sub(v.sim.cutFrom))
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
	service *Service
	// incarnation is the process of the called VM to which the call is made.
	incarnation uint64
	to          *simVM
	// latency is the time to the arrival.
	latency time.Duration
	// refused, lost and answerLost say what goes wrong.
	refused, lost, answerLost bool
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
	r.service, r.incarnation = r.to.service, r.to.incarnation
	r.refused = !r.to.up() && !r.to.silent
	r.lost = !r.to.up() && r.to.silent || s.apart(p.from, r.to, time.Now())
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

// call makes a call. It arrives even if the caller has stopped waiting meanwhile.
func (p simPeers) call(ctx context.Context, name string, handle func(*Service)) error {
	p.thaw(ctx, p.from)
	r := p.route(name)
	if r.refused {
		return errUnreachable
	}
	done := make(chan struct{})
	if !r.lost {
		p.sim.running.Go(func() {
			time.Sleep(r.latency)
			p.thaw(context.Background(), r.to)
			if !p.sim.isUp(r.to, r.incarnation) {
				return
			}
			handle(r.service)
			if !r.answerLost {
				close(done)
			}
		})
	}
	select {
	case <-done:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// thaw waits while a VM is frozen.
func (p simPeers) thaw(ctx context.Context, vm *simVM) {
	for ctx.Err() == nil {
		p.sim.mu.Lock()
		rest := time.Until(vm.frozenTo)
		p.sim.mu.Unlock()
		if rest <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// Replicate implements Peers.
func (p simPeers) Replicate(ctx context.Context, to membership.Member, records []Copy) error {
	if len(records) > maxBatch {
		return TooMany.New("%d records", len(records))
	}
	arriving := recordsFromProto(recordsToProto(records))
	return p.call(ctx, to.VM, func(s *Service) { s.Accept(arriving) })
}

// Archive implements Peers.
func (p simPeers) Archive(ctx context.Context, to membership.Member, records []Copy) error {
	if len(records) > maxBatch {
		return TooMany.New("%d records", len(records))
	}
	arriving := recordsFromProto(recordsToProto(records))
	answers := make(chan error, 1)
	if p.sim.isEarlier(to.VM) {
		time.Sleep(2 * simNear)
		return NotServed.New("%s", to.VM)
	}
	if err := p.call(ctx, to.VM, func(s *Service) { answers <- s.Archive(context.Background(), arriving) }); err != nil {
		return err
	}
	return <-answers
}

// Lookup implements Peers.
func (p simPeers) Lookup(ctx context.Context, to membership.Member, stream string) (Copy, bool, error) {
	type answer struct {
		record Copy
		known  bool
	}
	answers := make(chan answer, 1)
	err := p.call(ctx, to.VM, func(s *Service) {
		record, known := s.Answer(stream)
		answers <- answer{record, known}
	})
	if err != nil {
		return Copy{}, false, err
	}
	a := <-answers
	return a.record, a.known, nil
}

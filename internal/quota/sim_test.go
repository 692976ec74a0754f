package quota

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// simZones is the number of availability zones. simNear and simFar are the times of a call
	// one way, within a zone and between zones.
	simZones        = 3
	simNear, simFar = time.Millisecond, 4 * time.Millisecond
	// Members suspect one that is silent after simSuspect and drop it after simGone. simNews is
	// the time after which one that is back is in view.
	simSuspect, simGone, simNews = time.Second, 5 * time.Second, 700 * time.Millisecond
	simWindow                    = 8 * time.Second
	simPatience                  = 200 * time.Millisecond
	// simCost is the mean cost of a request.
	simCost = 3400
)

// simVM is one VM. Its service is nil while it is down.
type simVM struct {
	name, zone   string
	incarnation  uint64
	service      *Service
	cancel       context.CancelFunc
	upAt, downAt time.Time
	side         int
	frozen       bool
	// members is the view once it has settled after the last event, nil before.
	members []membership.Member
	// quotas override those of the fleet.
	quotas map[string]team.Quota
}

// used is the cost of requests at a time; negative for refunds.
type used struct {
	at   time.Time
	cost float64
}

// simTeam records what became of a team's requests.
type simTeam struct {
	team.Team
	admitted, refused []used
	offered           float64
	longestWait       time.Duration
}

// sim is a fleet without a network, in a synctest bubble.
type sim struct {
	mu       sync.Mutex
	vms      []*simVM
	teams    map[string]*simTeam
	calls    int
	cutAt    time.Time
	healedAt time.Time
	// changedAt is the time of the last event that changes views.
	changedAt time.Time
	random    *rand.Rand
	running   sync.WaitGroup
	log       *decisionlog.Log
}

func simulate(t *testing.T, vms int, run func(t *testing.T, s *sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &sim{teams: make(map[string]*simTeam), random: rand.New(rand.NewPCG(1, 1)), log: decisionlog.Discard()}
		for i := range vms {
			s.vms = append(s.vms, &simVM{name: fmt.Sprintf("vm-%d", i), zone: fmt.Sprintf("zone-%d", i%simZones)})
		}
		for _, vm := range s.vms {
			s.start(vm)
		}
		defer s.stop()
		run(t, s)
	})
}

// stop ends all processes, also after a failed check.
func (s *sim) stop() {
	for _, vm := range s.vms {
		s.kill(vm)
	}
	s.running.Wait()
	s.log.Close()
}

func (s *sim) start(vm *simVM) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	vm.incarnation, vm.upAt = vm.incarnation+1, time.Now()
	s.changed()
	s.mu.Unlock()
	service := New(Params{
		VM: vm.name, Incarnation: vm.incarnation, View: simView{s, vm}, Announced: func() Announced { return s },
		Quota: func(name string) (team.Quota, uint64, bool) { return s.quota(vm, name) },
		Teams: s.names, Peers: simPeers{s, vm}, Log: s.log, Clock: time.Now,
	})
	s.mu.Lock()
	vm.service, vm.cancel = service, cancel
	s.mu.Unlock()
	s.running.Go(func() { service.Run(ctx) })
}

func (s *sim) kill(vm *simVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.service != nil {
		vm.cancel()
		vm.service, vm.downAt = nil, time.Now()
		s.changed()
	}
}

// changed notes an event that changes views. The lock must be held.
func (s *sim) changed() {
	s.changedAt = time.Now()
	for _, vm := range s.vms {
		vm.members = nil
	}
}

// cut separates the VMs for which it is true from the others; heal joins all.
func (s *sim) cut(apart func(vm *simVM) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, vm := range s.vms {
		if vm.side = 0; apart(vm) {
			vm.side = i + 1
			if apart(s.vms[(i+simZones)%len(s.vms)]) {
				vm.side = 1
			}
		}
	}
	s.cutAt = time.Now()
	s.changed()
}

func (s *sim) heal() {
	s.cut(func(*simVM) bool { return false })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healedAt = time.Now()
	s.changed()
}

func (s *sim) quota(vm *simVM, name string) (team.Quota, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if quota, ok := vm.quotas[name]; ok {
		return quota, 1, true
	}
	known, ok := s.teams[name]
	if !ok {
		return team.Quota{}, 1, false
	}
	return known.Quota, 1, true
}

func (s *sim) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.teams))
}

// EntryVMs implements Announced.
func (s *sim) EntryVMs(zone string) (names []string) {
	for _, vm := range s.vms {
		if vm.zone == zone {
			names = append(names, vm.name)
		}
	}
	return names
}

// VMCount implements Announced.
func (s *sim) VMCount() int { return len(s.vms) }

type simView struct {
	sim *sim
	vm  *simVM
}

func (v simView) Self() membership.Member { return membership.Member{VM: v.vm.name, Zone: v.vm.zone} }

func (v simView) Members() []membership.Member {
	v.sim.mu.Lock()
	defer v.sim.mu.Unlock()
	if v.vm.members != nil {
		return v.vm.members
	}
	now := time.Now()
	var all []membership.Member
	for _, vm := range v.sim.vms {
		silent, back := time.Duration(0), simNews
		if vm.service == nil && !vm.downAt.IsZero() {
			silent = now.Sub(vm.downAt)
		} else if vm.side != v.vm.side {
			silent = now.Sub(v.sim.cutAt)
		}
		if vm != v.vm && vm.incarnation > 1 {
			back = min(now.Sub(vm.upAt), now.Sub(v.vm.upAt))
		} else if !v.sim.healedAt.IsZero() && vm != v.vm {
			back = now.Sub(v.sim.healedAt)
		}
		if silent >= simGone || back < simNews {
			continue
		}
		state := membership.Alive
		if silent >= simSuspect {
			state = membership.Suspect
		}
		all = append(all, membership.Member{VM: vm.name, Zone: vm.zone, Incarnation: vm.incarnation, State: state})
	}
	if now.Sub(v.sim.changedAt) > simGone {
		v.vm.members = all
	}
	return all
}

type simPeers struct {
	sim *sim
	vm  *simVM
}

var errSimUnreachable = errors.New("unreachable")

// Take implements Peers.
func (p simPeers) Take(ctx context.Context, to membership.Member, request *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	p.sim.mu.Lock()
	p.sim.calls++
	var target *simVM
	for _, vm := range p.sim.vms {
		if vm.name == to.VM {
			target = vm
		}
	}
	service, silent := target.service, target.side != p.vm.side || target.frozen
	p.sim.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	delay := simFar
	if target.zone == p.vm.zone {
		delay = simNear
	}
	time.Sleep(delay)
	if service == nil {
		return nil, errSimUnreachable
	}
	response, err := service.Answer(request)
	time.Sleep(delay)
	return response, err
}

// team adds a team with a limit.
func (s *sim) team(name string, perSecond float64) *simTeam {
	t := &simTeam{Team: team.Team{Name: name, Quota: team.Quota{Unit: team.Tokens, PerSecond: perSecond, Burst: perSecond}}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams[name] = t
	return t
}

// offer sends requests of a team at a multiple of its limit through some VMs for a time. A part
// of them ends without having run.
func (s *sim) offer(t *simTeam, load float64, through []*simVM, unrun float64, d time.Duration) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	perSecond := load * t.Quota.PerSecond / simCost
	s.running.Go(func() {
		for end := time.Now().Add(d); ; {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			if !time.Now().Before(end) {
				return
			}
			vm, cost, fails := through[random.IntN(len(through))], int64(simCost*(0.5+random.Float64())), random.Float64() < unrun
			s.running.Go(func() { s.request(t, vm, cost, fails) })
		}
	})
}

// request sends one request. Nothing is offered at a VM that is down.
func (s *sim) request(t *simTeam, vm *simVM, cost int64, fails bool) {
	s.mu.Lock()
	service, sender := vm.service, t.Team
	if service != nil {
		t.offered += float64(cost)
	}
	s.mu.Unlock()
	if service == nil {
		return
	}
	started := time.Now()
	release, _, ok := service.Take(context.Background(), &sender, cost, false, simPatience)
	s.mu.Lock()
	t.longestWait = max(t.longestWait, time.Since(started))
	if !ok {
		t.refused = append(t.refused, used{time.Now(), float64(cost)})
		s.mu.Unlock()
		return
	}
	t.admitted = append(t.admitted, used{time.Now(), float64(cost)})
	s.mu.Unlock()
	if fails {
		time.Sleep(100 * time.Millisecond)
		release()
		s.mu.Lock()
		defer s.mu.Unlock()
		t.admitted = append(t.admitted, used{time.Now(), -float64(cost)})
	}
}

// over returns the largest cost in any window that ends after a time, as a part of the bound, and
// the same as a part of the plain limit.
func (t *simTeam) over(after time.Time) (ofBound, ofLimit float64) {
	limit := t.Quota.PerSecond*simWindow.Seconds() + t.Quota.Burst
	sum, first := 0.0, 0
	for _, u := range t.admitted {
		sum += u.cost
		for u.at.Sub(t.admitted[first].at) > simWindow {
			sum -= t.admitted[first].cost
			first++
		}
		if u.at.After(after) {
			ofLimit = max(ofLimit, sum/limit)
		}
	}
	return ofLimit * limit / (1.1*limit + 190_000), ofLimit
}

// wrong returns the cost that was refused although a single bucket with all the same admissions
// would have had the credit, as a part of what was offered.
func (t *simTeam) wrong() float64 {
	credit, at, wrong := t.Quota.Burst, time.Time{}, 0.0
	events := slices.Concat(t.admitted, t.refused)
	refused := make([]bool, len(events))
	order := make([]int, len(events))
	for i := range events {
		order[i], refused[i] = i, i >= len(t.admitted)
	}
	slices.SortStableFunc(order, func(x, y int) int { return events[x].at.Compare(events[y].at) })
	for _, i := range order {
		e := events[i]
		if !at.IsZero() {
			credit = min(t.Quota.Burst, credit+t.Quota.PerSecond*e.at.Sub(at).Seconds())
		}
		at = e.at
		switch {
		case !refused[i]:
			credit = min(t.Quota.Burst, credit-e.cost)
		case credit >= e.cost:
			wrong += e.cost
		}
	}
	return wrong / math.Max(1, t.offered)
}

func (t *simTeam) cost(entries []used) (sum float64) {
	for _, u := range entries {
		sum += u.cost
	}
	return sum
}

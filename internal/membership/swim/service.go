package swim

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/api/membership/v1/membershipv1connect"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Params are the inputs of a Service.
type Params struct {
	// VM, Zone and Address are this VM's name, availability zone and address for
	// peers.
	VM, Zone, Address string
	// Incarnation increases with each start of the process; not 0.
	Incarnation uint64
	// Seeds are addresses of peers through which this VM joins.
	Seeds  []string
	Dialer peer.Dialer
	Events timeline.Recorder
	// Random is the source of random choices, such as the order of probes.
	Random *rand.Rand
}

// Service maintains this VM's view of the members. It is safe for concurrent use.
type Service struct {
	params   Params
	counters Counters
	view     atomic.Pointer[view]
	joined   atomic.Bool
	running  sync.WaitGroup

	mu      sync.Mutex
	machine *machine
	clients map[string]membershipv1connect.MembershipServiceClient
	// changes are those that notify has not processed yet.
	changes []change
	// changed signals Run that changes is not empty.
	changed chan struct{}
	// subscribers are called by Run.
	subscribers []func(membership.Member)
}

var _ membership.View = (*Service)(nil)

// view is an immutable snapshot.
type view struct {
	self    membership.Member
	members []membership.Member
}

// New returns a service that takes part in the protocol once Run is called and the
// handler returned by Peer is served.
func New(params Params) *Service {
	s := &Service{
		params:  params,
		changed: make(chan struct{}, 1),
		clients: make(map[string]membershipv1connect.MembershipServiceClient),
	}
	self := identity{VM: params.VM, Zone: params.Zone, Address: params.Address, Incarnation: params.Incarnation}
	now := time.Now()
	s.machine = newMachine(now, self, params.Random, &s.counters)
	for _, address := range params.Seeds {
		s.machine.candidates.seeds[address] = ""
	}
	s.publish(now)
	return s
}

// Self implements membership.View.
func (s *Service) Self() membership.Member { return s.view.Load().self }

// Members implements membership.View.
func (s *Service) Members() []membership.Member { return s.view.Load().members }

// Joined reports whether all reachable entry VMs of the configuration have this one
// in their views. It is false before the first configuration.
func (s *Service) Joined() bool { return s.joined.Load() }

// Vars returns the counters of the service.
func (s *Service) Vars() *expvar.Map {
	vars := metrics.Fields(&s.counters)
	for _, state := range []membership.State{membership.Alive, membership.Suspect} {
		vars.Set("members_"+string(state), expvar.Func(func() any { return s.count(state) }))
	}
	return vars
}

func (s *Service) count(state membership.State) int {
	n := 0
	for _, m := range s.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

// OnGone registers a function that Run calls for each incarnation of another VM
// that is gone or superseded by a newer one. The function must not block and must
// be registered before Run is called.
func (s *Service) OnGone(notify func(membership.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, notify)
}

// SetDraining announces that this VM accepts no new requests.
func (s *Service) SetDraining() {
	s.do(func(now time.Time, m *machine) []call {
		m.setDraining(now)
		return nil
	})
}

// ApplyList applies the platform's list of VMs, which is only a hint: it adds
// addresses to call and members to probe soon, and declares no member gone.
func (s *Service) ApplyList(list vmlist.List) {
	listed := make(map[string]string, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.Address] = vm.Name
	}
	s.do(func(now time.Time, m *machine) []call {
		m.applyPlatformList(now, listed)
		return nil
	})
}

// ApplyConfiguration applies the entry VMs of a configuration; other VMs are no
// longer accepted as members.
func (s *Service) ApplyConfiguration(snapshot *configuration.Snapshot) {
	if snapshot == nil {
		return
	}
	var vms []configuredVM
	for _, vm := range snapshot.Fleet().VMs {
		vms = append(vms, configuredVM{VM: vm.Name, Zone: vm.Zone, Address: vm.Address})
	}
	s.do(func(now time.Time, m *machine) []call {
		m.configure(now, vms)
		return nil
	})
}

// SetCandidates replaces the addresses at which other VMs may be reachable, keyed
// by VM name. Unlike a configuration it does not restrict which VMs may be members.
func (s *Service) SetCandidates(addresses map[string]string) {
	s.do(func(_ time.Time, m *machine) []call {
		m.candidates.configured = make(map[string]string, len(addresses))
		for vm, address := range addresses {
			m.candidates.configured[address] = vm
		}
		return nil
	})
}

// Run takes part in the protocol until the context ends.
func (s *Service) Run(ctx context.Context) {
	defer s.running.Wait()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		s.start(ctx, s.do(func(now time.Time, m *machine) []call { return m.tick(now) }))
		s.notify()
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		case <-ticker.C:
		}
	}
}

// Leave announces to others that this VM leaves, and returns once the calls have
// finished or the context ends. The others then consider the VM gone.
func (s *Service) Leave(ctx context.Context) {
	calls := s.do(func(now time.Time, m *machine) []call { return m.leave(now) })
	var inFlight sync.WaitGroup
	for _, c := range calls {
		inFlight.Go(func() { s.execute(ctx, c) })
	}
	inFlight.Wait()
}

// do runs a step of the machine, publishes the view and returns the calls to make.
func (s *Service) do(step func(now time.Time, m *machine) []call) []call {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	calls := step(now, s.machine)
	s.joined.Store(s.machine.hasJoined(now))
	s.publish(now)
	return calls
}

// publish stores a new view if anything has changed.
func (s *Service) publish(now time.Time) {
	changes := s.machine.takeChanges(now)
	if len(changes) == 0 {
		return
	}
	s.view.Store(&view{self: s.machine.self.member(), members: s.machine.members(now)})
	s.changes = append(s.changes, changes...)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// notify records the changes in the timeline and calls the subscribers for members
// that are gone.
func (s *Service) notify() {
	s.mu.Lock()
	changes := s.changes
	s.changes = nil
	s.mu.Unlock()
	for i := range changes {
		s.notifyChange(&changes[i])
	}
}

func (s *Service) notifyChange(c *change) {
	if c.member.VM == s.params.VM {
		return
	}
	if c.member.State != c.previous {
		s.params.Events.Record(kindOf(c.member.State), "", detailOf(&c.member))
	}
	if c.member.State != membership.Gone || c.previous == membership.Gone {
		return
	}
	for _, notify := range s.subscribers {
		notify(c.member)
	}
}

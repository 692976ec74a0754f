package quota

import (
	"context"
	"sync"
	"time"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// checkPeriod is the time between two checks of accounts and buckets.
	checkPeriod = 120 * time.Millisecond
	// refundDelay is the time for which refunds are collected before they are sent.
	refundDelay = 20 * time.Millisecond
	// presencePeriod is the time after which a VM reports itself again to an owner that is not
	// established. A lost call leaves it within askWindow.
	presencePeriod = 700 * time.Millisecond
	// maxPresenceVMs is the number of VMs above which presence is not reported: the calls of all VMs
	// within seconds would hold up a small one.
	maxPresenceVMs = 150
	// maxKnownTeams is the number of teams up to which a VM reports itself to the owners of all of
	// them, also of those that sent it no requests.
	maxKnownTeams = 32
	// accountIdleTime is the time after its last request for which a team's account is kept.
	accountIdleTime = time.Minute
	// maxCost bounds the cost of a request, so that sums do not overflow.
	maxCost = 1 << 40
)

// Peers are calls to other VMs.
type Peers interface {
	Take(ctx context.Context, to membership.Member, request *quotav1.TakeRequest) (*quotav1.TakeResponse, error)
}

// Params are the inputs of a Service.
type Params struct {
	// VM and Incarnation identify this process.
	VM          string
	Incarnation uint64
	View        membership.View
	// Announced returns the entry VMs that have announced themselves.
	Announced func() Announced
	// Quota returns a team's quota in the configuration in force, and the version of the
	// configuration also if it does not have the team.
	Quota func(team string) (quota team.Quota, version uint64, known bool)
	// Teams returns the names of the teams with a limit in the configuration in force; it may be
	// nil. Without it a new owner counts only the VMs that had requests of a team.
	Teams func() []string
	Peers Peers
	Log   *decisionlog.Log
	// Clock also advances while the machine is suspended.
	Clock func() time.Time
}

// Service charges requests to the quotas of their teams, and leases credit to other VMs. It is
// safe for concurrent use.
type Service struct {
	params   Params
	counters Counters
	// wake signals Run that a refund is due.
	wake    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	ledger   *ledger
	accounts map[string]*account
	// silent are members whose last call failed.
	silent map[string]*cooldown.Cooldown
	// revision counts the changes in the order of members.
	revision uint64
	// orderedMembers and orderedWithout are the members of that order and those left out.
	orderedMembers []membership.Member
	orderedWithout []string
	// newest is the latest configuration that another VM has named.
	newest uint64
}

// New returns a service that returns credit and observes the members once Run is called.
func New(params Params) *Service {
	s := &Service{
		params:   params,
		wake:     make(chan struct{}, 1),
		ledger:   newLedger(params.VM, params.Clock()),
		accounts: make(map[string]*account),
		silent:   make(map[string]*cooldown.Cooldown),
	}
	s.observe(params.Clock())
	return s
}

// Size returns the numbers of teams that sent requests here, and of teams that were asked for.
func (s *Service) Size() (accounts, buckets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accounts), len(s.ledger.buckets)
}

// Owner returns the VM that last answered for a team here, empty if none has.
func (s *Service) Owner(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.accounts[name]; ok {
		return a.owner
	}
	return ""
}

// Take charges a request. It waits for credit for at most the patience. The returned function
// gives the cost back; it is to be called if the request has not run. If there is no credit, wait
// is the time until it is expected. Both are zero if ctx ends first. A request that yields leaves a
// part of the burst to its team's more urgent requests.
func (s *Service) Take(ctx context.Context, t *team.Team, cost int64, yields bool, patience time.Duration) (release func(), wait time.Duration, ok bool) {
	if t == nil || !t.Quota.Limited() || cost <= 0 {
		return func() {}, 0, true
	}
	cost = min(cost, maxCost)
	started := s.params.Clock()
	a := s.account(t.Name, started, cost)
	waited := false
	for {
		r := s.try(ctx, a, t, charge{cost, yields}, patience-s.params.Clock().Sub(started))
		switch {
		case r.taken:
			s.counters.Taken.Add(1)
			if waited {
				s.counters.Waited.Add(1)
			}
			return sync.OnceFunc(func() { s.refund(t.Name, r.parts) }), 0, true
		case ctx.Err() != nil:
			return nil, 0, false
		case !r.pause:
			s.counters.Refused.Add(1)
			return nil, r.wait, false
		}
		waited = true
		background.Pause(ctx, r.wait)
	}
}

// result is the outcome of one try: the request was charged, it may pause and try again, or it is
// over the quota until the wait has passed.
type result struct {
	taken bool
	parts []lease
	pause bool
	wait  time.Duration
}

// refusal returns the result for a request that has to wait for a time and has some time left.
func refusal(wait, left time.Duration) result { return result{pause: wait <= left, wait: wait} }

// account returns the account of a team and notes the demand of a request.
func (s *Service) account(name string, now time.Time, cost int64) *account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accountOf(name)
	a.request(now, cost)
	return a
}

// accountOf returns the account of a team, a new one if there is none. The lock must be held.
func (s *Service) accountOf(name string) *account {
	a, ok := s.accounts[name]
	if !ok {
		a = newAccount()
		s.accounts[name] = a
	}
	return a
}

// try charges a request once, with what is here or by a call.
func (s *Service) try(ctx context.Context, a *account, t *team.Team, c charge, left time.Duration) result {
	if r, decided := s.tryHere(a, c, left); decided {
		return r
	}
	if !s.awaitTurn(ctx, a, c.cost, max(left, callTimeout)) {
		return result{wait: unknownWait}
	}
	defer func() { <-a.asking }()
	// The request that asked before may have brought credit, or a refusal.
	if r, decided := s.tryHere(a, c, left); decided {
		return r
	}
	return s.ask(ctx, a, t, c, left)
}

// awaitTurn waits until no other request of the team asks; false if that takes too long.
func (s *Service) awaitTurn(ctx context.Context, a *account, cost int64, atMost time.Duration) bool {
	s.addWaiting(a, cost)
	defer s.addWaiting(a, -cost)
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case a.asking <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (s *Service) addWaiting(a *account, cost int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.waiting += cost
}

// tryHere decides a request without a call; false if the owner has to be asked.
func (s *Service) tryHere(a *account, c charge, left time.Duration) (result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.params.Clock()
	if a.balance(now) >= c.cost {
		parts, _ := a.take(now, c.cost)
		return result{taken: true, parts: parts}, true
	}
	until, credit, held := a.held(now, c)
	switch {
	case !held:
		return result{}, false
	case credit > left:
		s.counters.RefusedHere.Add(1)
		return result{wait: credit}, true
	}
	return result{pause: true, wait: until}, true
}

// ask asks for the credit that a request lacks.
func (s *Service) ask(ctx context.Context, a *account, t *team.Team, requested charge, left time.Duration) result {
	s.mu.Lock()
	now := s.params.Clock()
	parts, have := a.take(now, requested.cost)
	needed := requested.cost - have
	c := claim{
		vm: s.params.VM, needed: needed, waiting: a.waiting, wanted: needed + a.expected(now, requested.cost), patience: left,
		yields: requested.yields,
	}
	s.mu.Unlock()

	answer := s.claim(ctx, t, c)

	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.unlimited {
		a.put(parts)
		return result{taken: true}
	}
	s.counters.Leased.Add(answer.units)
	if answer.units < needed {
		a.put(parts)
		a.put(answer.lease(answer.units))
		a.hold(s.params.Clock(), requested, answer.wait, answer.holdAtMost)
		return refusal(answer.wait, left)
	}
	a.put(answer.lease(answer.units - needed))
	return result{taken: true, parts: append(parts, answer.lease(needed)...)}
}

// refund gives back the cost of a request that has not run.
func (s *Service) refund(name string, parts []lease) {
	if len(parts) == 0 {
		return
	}
	s.counters.Refunded.Add(1)
	s.mu.Lock()
	s.accountOf(name).refund(parts)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run returns credit and observes the members until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) {
	defer s.stop()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			background.Pause(ctx, refundDelay)
		case <-ticker.C:
			s.check()
		}
		s.deliver(ctx)
	}
}

// stop waits for calls in flight.
func (s *Service) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.running.Wait()
}

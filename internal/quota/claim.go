package quota

import (
	"context"
	"time"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// callTimeout is the time after which the next member is asked. A call between zones takes
	// 9 ms, and 50 ms on a busy small VM.
	callTimeout = 100 * time.Millisecond
	// maxSilent and maxCalls bound the members without an answer and the calls for one claim
	// after which this VM asks itself.
	maxSilent, maxCalls = 2, 4
)

// answer is the response of an owner to a claim.
type answer struct {
	units int64
	// lender is the process that leased the units, taken the time from which they count.
	lender
	taken     time.Time
	wait      time.Duration
	unlimited bool
	// holdAtMost bounds the time for which requests are refused without asking again.
	holdAtMost time.Duration
}

// lease returns a part of the answered units as a lease.
func (a *answer) lease(units int64) []lease {
	if units <= 0 {
		return nil
	}
	return []lease{{lender: a.lender, units: units, taken: a.taken}}
}

// claim asks the members in their order for credit, and finally this VM.
func (s *Service) claim(ctx context.Context, t *team.Team, c claim) answer {
	var tried []string
	silent := 0
	for {
		s.mu.Lock()
		now := s.params.Clock()
		members, excluded := s.ledger.views.members(), s.excluded(now)
		next := s.choose(t.Name, members, excluded, tried)
		s.accounts[t.Name].askedAt(now)
		if next.VM == s.params.VM || silent >= maxSilent || len(tried) >= maxCalls || ctx.Err() != nil {
			defer s.mu.Unlock()
			return s.claimHere(now, t, c, s.holdLimit(t.Name, members, now))
		}
		request := s.claimRequest(t, c, next.VM)
		hold := s.holdLimit(t.Name, members, now)
		s.mu.Unlock()
		if len(tried) > 0 || len(excluded) > 0 && next.VM != firstOf(t.Name, members) {
			s.counters.FallbackCalls.Add(1)
		}
		response, err := s.call(ctx, next, request)
		if err == nil && len(response.GetLeases()) == 1 && !response.GetLeases()[0].GetUnknown() {
			return s.accept(t.Name, next.VM, now, hold, response)
		}
		tried = append(tried, next.VM)
		if err != nil && s.params.Clock().Sub(now) >= callTimeout {
			silent++
		}
	}
}

// askedAt notes the time of a claim.
func (a *account) askedAt(now time.Time) {
	if a != nil {
		a.asked = now
	}
}

// claimRequest returns the call for a claim, with the credit that is to be given back to the
// called VM. The lock must be held.
func (s *Service) claimRequest(t *team.Team, c claim, vm string) *quotav1.TakeRequest {
	_, version, _ := s.params.Quota(t.Name)
	request := &quotav1.TakeRequest{
		Vm: s.params.VM, Incarnation: s.params.Incarnation, Configuration: version,
		Claims: []*quotav1.Claim{{Team: t.Name, Needed: c.needed, Waiting: c.waiting, Wanted: c.wanted, PatienceNs: int64(c.patience), Yields: c.yields}},
	}
	if a, ok := s.accounts[t.Name]; ok {
		for _, l := range a.returnsTo(vm) {
			request.Returns = append(request.Returns, s.returned(t.Name, l))
		}
	}
	return request
}

// holdLimit returns how long a refusal holds without asking again. One of another VM than the
// owner ends when the owner may be asked again. The lock must be held.
func (s *Service) holdLimit(name string, members []membership.Member, now time.Time) time.Duration {
	if len(s.silent) == 0 {
		return longestRefusal
	}
	c, ok := s.silent[firstOf(name, members)]
	if !ok || c.Over(now) {
		return longestRefusal
	}
	return min(longestRefusal, c.Until().Sub(now))
}

// claimHere asks this VM's own ledger. It uses the quota that came with the request if this VM's
// configuration does not have the team any more. The lock must be held.
func (s *Service) claimHere(now time.Time, t *team.Team, c claim, hold time.Duration) answer {
	quota, _, known := s.params.Quota(t.Name)
	if !known {
		quota = t.Quota
	}
	if !quota.Limited() {
		return answer{unlimited: true}
	}
	d, established := s.ledgerAt(now).take(now, t.Name, quota, c, s.params.Announced())
	if a, ok := s.accounts[t.Name]; ok {
		s.noteOwner(a, s.params.VM, established)
	}
	return answer{units: d.units, wait: d.wait, lender: lender{s.params.VM, s.params.Incarnation}, taken: now, holdAtMost: hold}
}

// accept translates the response of an owner to a call that was sent at a time.
func (s *Service) accept(name, vm string, sent time.Time, hold time.Duration, response *quotav1.TakeResponse) answer {
	l := response.GetLeases()[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.accounts[name]; ok {
		s.noteOwner(a, vm, l.GetEstablished())
	}
	return answer{
		units: max(0, l.GetUnits()), wait: max(minWait, time.Duration(l.GetWaitNs())), unlimited: l.GetUnlimited(),
		lender: lender{vm, response.GetIncarnation()}, holdAtMost: hold,
		// A shorter lease counts as one that was taken earlier.
		taken: sent.Add(min(0, time.Duration(l.GetValidNs())-leaseTime)),
	}
}

// call calls another VM. It is not given up if ctx is cancelled, since an answer brings credit
// that would be lost.
func (s *Service) call(ctx context.Context, to membership.Member, request *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.counters.Calls.Add(1)
	response, err := s.params.Peers.Take(ctx, to, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.counters.CallsFailed.Add(1)
		s.failed(to.VM, s.params.Clock())
		return nil, err
	}
	delete(s.silent, to.VM)
	return response, nil
}

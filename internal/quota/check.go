package quota

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// maxLoggedTeams bounds the teams that one log line names.
const maxLoggedTeams = 16

// observe notes the members in view for the ledger.
func (s *Service) observe(now time.Time) {
	s.mu.Lock()
	changes := s.observeLocked(now)
	s.mu.Unlock()
	s.logChanges(changes, true, "owner of quotas became established")
	s.logChanges(changes, false, "owner of quotas ceased to be established")
}

// observeLocked notes the members in view. The lock must be held.
func (s *Service) observeLocked(now time.Time) []change {
	return s.ledger.observe(now, s.params.View.Members(), s.params.Announced(), func(name string) (team.Quota, bool) {
		quota, _, known := s.params.Quota(name)
		return quota, known && quota.Limited()
	})
}

// ledgerAt returns the ledger, which has begun anew if this process was held up. The lock must be
// held.
func (s *Service) ledgerAt(now time.Time) *ledger {
	if now.Sub(s.ledger.observed) > pauseLimit {
		s.observeLocked(now)
	}
	return s.ledger
}

// logChanges logs the teams for which this VM became or ceased to be established, in one line.
func (s *Service) logChanges(changes []change, established bool, line string) {
	var names []string
	weight := 0.0
	for _, c := range changes {
		if c.established == established {
			names, weight = append(names, c.team), c.weight
		}
	}
	if len(names) == 0 {
		return
	}
	if established {
		s.counters.Established.Add(int64(len(names)))
	}
	slices.Sort(names)
	s.params.Log.Change(line, logrus.Fields{
		"teams": names[:min(len(names), maxLoggedTeams)], "count": len(names), "weight": weight,
	})
}

// check observes the members, and gives back or drops what accounts do not use.
func (s *Service) check() {
	now := s.params.Clock()
	s.observe(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshOrder(now)
	s.keepKnownTeams(now)
	for name, a := range s.accounts {
		s.counters.Expired.Add(a.expire(now))
		a.giveBackUnused(now)
		if now.Sub(a.used) > accountIdleTime && len(a.leases) == 0 && len(a.returns) == 0 {
			delete(s.accounts, name)
		}
	}
}

// keepKnownTeams keeps the accounts of all teams if they are few. The lock must be held.
func (s *Service) keepKnownTeams(now time.Time) {
	if s.params.Teams == nil {
		return
	}
	names := s.params.Teams()
	if len(names) > maxKnownTeams {
		return
	}
	for _, name := range names {
		s.accountOf(name).used = now
	}
}

// delivery is what is to be sent to one VM.
type delivery struct {
	request *quotav1.TakeRequest
	teams   []string
}

// deliver gives credit back to its lenders, and reports to owners that are not established that this
// VM would ask them.
func (s *Service) deliver(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.params.Clock()
	deliveries := make(map[string]*delivery)
	to := func(vm string) *delivery {
		if deliveries[vm] == nil {
			deliveries[vm] = &delivery{request: &quotav1.TakeRequest{Vm: s.params.VM, Incarnation: s.params.Incarnation}}
		}
		return deliveries[vm]
	}
	tell := s.params.Announced().VMCount() <= maxPresenceVMs
	for name, a := range s.accounts {
		for _, l := range a.returns {
			d := to(l.vm)
			d.request.Returns = append(d.request.Returns, s.returned(name, l))
		}
		a.returns = nil
		if next := s.nextOf(name, a); tell && s.presenceDue(now, a, next) {
			_, version, _ := s.params.Quota(name)
			d := to(next)
			d.request.Configuration = max(d.request.Configuration, version)
			d.request.Claims = append(d.request.Claims, &quotav1.Claim{Team: name})
			d.teams = append(d.teams, name)
			a.asked = now
		}
	}
	members := s.ledger.views.members()
	for vm, d := range deliveries {
		s.send(ctx, members, vm, d)
	}
}

// presenceDue reports whether this VM is to report its presence to an owner.
func (s *Service) presenceDue(now time.Time, a *account, next string) bool {
	if a.owner == next && a.established || now.Sub(a.used) > accountIdleTime {
		return false
	}
	return a.owner != next && now.Sub(a.asked) >= checkPeriod || now.Sub(a.asked) >= presencePeriod
}

// returned returns credit in the form in which it is sent, and counts it.
func (s *Service) returned(name string, l lease) *quotav1.Return {
	s.counters.Returned.Add(l.units)
	return &quotav1.Return{Team: name, Units: l.units, LeasedBy: l.incarnation}
}

// send calls a VM in the background. What cannot be sent is lost: it must not arrive twice. The
// lock must be held.
func (s *Service) send(ctx context.Context, members []membership.Member, vm string, d *delivery) {
	if vm == s.params.VM {
		s.noteOwners(vm, d.teams, s.serveLocked(d.request))
		return
	}
	at := slices.IndexFunc(members, func(m membership.Member) bool { return m.VM == vm })
	if at < 0 || s.stopped {
		return
	}
	if len(d.teams) > 0 {
		s.counters.Presences.Add(1)
	}
	s.running.Go(func() {
		response, err := s.call(ctx, members[at], d.request)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.noteOwners(vm, d.teams, response)
	})
}

// noteOwners notes what an owner reported of itself in the answer to empty claims. The lock must be
// held.
func (s *Service) noteOwners(vm string, teams []string, response *quotav1.TakeResponse) {
	leases := response.GetLeases()
	for i, name := range teams[:min(len(teams), len(leases))] {
		if a, ok := s.accounts[name]; ok && !leases[i].GetUnknown() {
			s.noteOwner(a, vm, leases[i].GetEstablished())
		}
	}
}

// noteOwner notes which VM answered for a team. The lock must be held.
func (s *Service) noteOwner(a *account, vm string, established bool) {
	if a.owner != "" && a.owner != vm {
		s.counters.OwnerChanges.Add(1)
	}
	a.owner, a.established = vm, established
}

package quota

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// silentBounds are the times for which a member that did not answer is not asked.
var silentBounds = cooldown.Bounds{First: 300 * time.Millisecond, Longest: 2 * time.Second}

// refreshOrder makes the VMs to be asked be chosen anew if members have changed or may be asked
// again. The lock must be held.
func (s *Service) refreshOrder(now time.Time) {
	members := s.ledger.views.members()
	for vm, c := range s.silent {
		if c.Over(now) && !slices.ContainsFunc(members, func(m membership.Member) bool { return m.VM == vm }) {
			delete(s.silent, vm)
		}
	}
	if !s.unchanged(now, members) {
		s.revision++
	}
}

// unchanged reports whether the order is that of the last call. The lock must be held.
func (s *Service) unchanged(now time.Time, members []membership.Member) bool {
	excluded := s.excluded(now)
	same := slices.Equal(members, s.orderedMembers) && slices.Equal(excluded, s.orderedWithout)
	s.orderedMembers, s.orderedWithout = members, excluded
	return same
}

// excluded returns the VMs that are not asked now, sorted. The lock must be held.
func (s *Service) excluded(now time.Time) []string {
	var vms []string
	for vm, c := range s.silent {
		if !c.Over(now) {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// nextOf returns the VM to be asked for a team, as of the last refresh. The lock must be held.
func (s *Service) nextOf(name string, a *account) string {
	if a.next == "" || a.revision != s.revision {
		a.next, a.revision = s.choose(name, s.ledger.views.members(), s.orderedWithout, nil).VM, s.revision
	}
	return a.next
}

// choose returns the first available member for a team that is in none of the lists, this VM if
// there is none.
func (s *Service) choose(name string, members []membership.Member, silent, tried []string) membership.Member {
	first := rendezvous.First(name, members, func(m membership.Member) bool {
		return m.Available() && (m.VM == s.params.VM || !slices.Contains(silent, m.VM) && !slices.Contains(tried, m.VM))
	})
	if first.VM == "" {
		return membership.Member{VM: s.params.VM}
	}
	return first
}

// failed notes that a member did not answer. The lock must be held.
func (s *Service) failed(vm string, now time.Time) {
	c, ok := s.silent[vm]
	if !ok {
		c = new(cooldown.Cooldown)
		s.silent[vm] = c
	}
	c.Fail(now, silentBounds)
}

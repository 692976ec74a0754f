package quota

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// settleTime is how long an owner must have run, and have been first in its own views, to
	// be established. Leases of a former owner, the news of its end and the calls of VMs that
	// still ask it end within this time.
	settleTime = 3 * time.Second
	// maxViews bounds the views that are remembered. Without the older ones an owner is
	// established later.
	maxViews = 64
	// viewMemory is how long views are remembered. An established owner credits a team that it
	// is asked for first with the time since it became established, at most with a burst.
	viewMemory = time.Minute
	// zoneMajority is the part of a zone's announced VMs above which all of them count as seen.
	// Two sides of a cut cannot both see more.
	zoneMajority = 0.5
)

// Announced are the entry VMs that have announced themselves.
type Announced interface {
	// EntryVMs returns the names of those of a zone.
	EntryVMs(zone string) []string
	// VMCount returns their number, at least 1.
	VMCount() int
}

// seen is a view of the members that was in force from a time on.
type seen struct {
	since   time.Time
	members []membership.Member
}

// views are the recent views of one process, the latest one last.
type views struct {
	self string
	all  []seen
}

// observe notes the members that are in view now, and reports whether they have changed.
func (v *views) observe(now time.Time, members []membership.Member) bool {
	if n := len(v.all); n > 0 && slices.Equal(v.all[n-1].members, members) {
		return false
	}
	v.all = append(v.all, seen{since: now, members: members})
	// A view is in force until the next one began.
	outdated := 0
	for outdated < len(v.all)-1 && now.Sub(v.all[outdated+1].since) > viewMemory {
		outdated++
	}
	outdated = max(outdated, len(v.all)-maxViews)
	v.all = slices.Delete(v.all, 0, outdated)
	return true
}

// members returns the members of the latest view.
func (v *views) members() []membership.Member {
	if len(v.all) == 0 {
		return nil
	}
	return v.all[len(v.all)-1].members
}

// firstSince returns the time since which this process has been the owner of a team in all of its
// views, the zero time if it is not the owner.
func (v *views) firstSince(team string) time.Time {
	var since time.Time
	for i := len(v.all) - 1; i >= 0 && firstOf(team, v.all[i].members) == v.self; i-- {
		since = v.all[i].since
	}
	return since
}

// firstOf returns the owner of a team in a view, empty if no member is available.
func firstOf(team string, members []membership.Member) string {
	return rendezvous.First(team, members, membership.Member.Available).VM
}

// seenWeight returns the part of all quotas that an established owner may give out.
func seenWeight(members []membership.Member, announced Announced) float64 {
	inZone := make(map[string]int)
	for _, m := range members {
		if m.State == membership.Alive {
			inZone[m.Zone]++
		}
	}
	total := vmCount(members, announced)
	weight := 0.0
	for zone, alive := range inZone {
		// Announcements arrive later than the members, whose parts count all the same.
		listed := max(len(announced.EntryVMs(zone)), alive)
		part := float64(alive) / float64(listed)
		if part > zoneMajority {
			part = 1
		}
		weight += part * float64(listed) / float64(total)
	}
	return min(1, weight)
}

// vmCount returns the number of VMs that share the quotas.
func vmCount(members []membership.Member, announced Announced) int {
	return max(announced.VMCount(), len(members))
}

// anyAnnounced reports whether VMs have announced themselves in the zones in view. A process that
// has just started may not have read the announcements yet.
func anyAnnounced(members []membership.Member, announced Announced) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return len(announced.EntryVMs(m.Zone)) > 0 })
}

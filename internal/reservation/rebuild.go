package reservation

import "time"

// rebuildLimit bounds the time in which a new owner learns what is held. It is
// longer than a grant's lease, so that a grant that nobody reports has lapsed.
const rebuildTimeout = 1500 * time.Millisecond

// rebuild tracks which members have told a new owner what they hold.
type rebuild struct {
	deadline time.Time
	// members returns the VMs of the zone whose lists are awaited.
	members  func() []string
	reported map[string]bool
}

func newRebuild(now time.Time, members func() []string) *rebuild {
	return &rebuild{deadline: now.Add(rebuildTimeout), members: members, reported: make(map[string]bool)}
}

// heard notes the list of a member.
func (r *rebuild) markListed(vm string) { r.reported[vm] = true }

// done reports whether all members were heard or the time is up. Slots of
// members that were not heard show in the engines' load reports.
func (r *rebuild) done(now time.Time) bool {
	if !now.Before(r.deadline) {
		return true
	}
	for _, vm := range r.members() {
		if !r.reported[vm] {
			return false
		}
	}
	return true
}

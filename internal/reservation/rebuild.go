package reservation

import "time"

// rebuildTimeout limits the time for which a new owner collects the grants
// held. It is longer than the lease of a grant, so that a grant that no VM
// reports has expired.
const rebuildTimeout = 1500 * time.Millisecond

// rebuild tracks which members have reported their grants to a new owner.
type rebuild struct {
	deadline time.Time
	// members returns the VMs of the zone whose reports are awaited.
	members  func() []string
	reported map[string]bool
}

func newRebuild(now time.Time, members func() []string) *rebuild {
	return &rebuild{deadline: now.Add(rebuildTimeout), members: members, reported: make(map[string]bool)}
}

// markReported records that a member has reported all its grants.
func (r *rebuild) markReported(vm string) { r.reported[vm] = true }

// done reports whether all members have reported or the timeout has passed.
// Slots of members that did not report appear in the engines' load reports.
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

package swim

import "time"

// startLink exchanges digests with the next of the zones that this VM is linked
// to.
func (m *machine) startLink(now time.Time) []call {
	links := m.topology().links
	if len(links) == 0 {
		return nil
	}
	m.linkTurn++
	r := m.linkTarget(links[m.linkTurn%len(links)])
	return []call{m.exchange(now, r.Address, r.VM, 0)}
}

// linkTarget returns one of the few members of a zone that exchanges go to, now
// and then any.
func (m *machine) linkTarget(zone string) *record {
	members := m.topology().far[zone]
	if m.random.IntN(randomLink) > 0 {
		members = firstOf(members, zone, m.self.Zone, linkReceivers)
	}
	return members[m.random.IntN(len(members))]
}

// startSync exchanges digests with a random member of the own zone.
func (m *machine) startSync(now time.Time) []call {
	for _, r := range m.pick(m.topology().near, 1) {
		return []call{m.exchange(now, r.Address, r.VM, 0)}
	}
	return nil
}

// answerExchange adds the members of the groups that differ to an answer.
func (m *machine) answerExchange(now time.Time, answer *message, theirs []uint64) {
	groups := m.digests.differing(theirs)
	if len(groups) == 0 || !m.differences.AllowN(now, 1) {
		return
	}
	answer.Buckets = append([]uint64(nil), m.digests[:]...)
	added := m.membersOf(groups, func(r *record) bool { return r != m.self })
	answer.Truncated = len(added) > maxExchange
	answer.Updates = appendUpdates(answer.Updates, added, maxExchange)
}

// membersOf returns the records of groups that meet a condition, starting at
// random so that repeated truncated answers cover all.
func (m *machine) membersOf(groups map[int]bool, condition func(*record) bool) []*record {
	if len(groups) == 0 {
		return nil
	}
	var list []*record
	for _, vm := range sortedKeys(m.records) {
		if r := m.records[vm]; groups[bucketOf(vm)] && condition(r) {
			list = append(list, r)
		}
	}
	return m.pick(list, len(list))
}

func appendUpdates(updates []update, records []*record, limit int) []update {
	for _, r := range records[:min(limit, len(records))] {
		updates = append(updates, r.update)
	}
	return updates
}

// exchangeFinished goes on after an answer: it pulls what a truncated answer
// left out, else it pushes what the other VM lacks.
func (m *machine) exchangeFinished(now time.Time, done *pendingCall, answer *message) []call {
	groups := m.digests.differing(answer.Buckets)
	if len(groups) == 0 || done.pulls >= maxPulls || m.left() {
		return nil
	}
	if answer.Truncated {
		return []call{m.exchange(now, done.Address, answer.From.VM, done.pulls+1)}
	}
	newer := m.newerThan(answer, groups)
	if len(newer) == 0 || done.pulls > 0 {
		return nil
	}
	pushed := m.exchange(now, done.Address, answer.From.VM, maxPulls)
	pushed.Request.Updates = appendUpdates(pushed.Request.Updates, newer, maxExchange)
	return []call{pushed}
}

// newerThan returns the records of groups that the answer lacks or knows in an
// older version.
func (m *machine) newerThan(answer *message, groups map[int]bool) []*record {
	theirs := make(map[string]*update, len(answer.Updates))
	for i := range answer.Updates {
		theirs[answer.Updates[i].VM] = &answer.Updates[i]
	}
	return m.membersOf(groups, func(r *record) bool {
		if r == m.self || r.VM == answer.From.VM {
			return false
		}
		known, ok := theirs[r.VM]
		return !ok || r.supersedes(known)
	})
}

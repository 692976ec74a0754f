package swim

import "time"

// startLink exchanges digests with the next of the zones that this VM is linked
// to, in round-robin order.
func (m *machine) startLink(now time.Time) []call {
	links := m.topology().links
	if len(links) == 0 {
		return nil
	}
	m.linkIndex++
	r := m.linkTarget(links[m.linkIndex%len(links)])
	return []call{m.exchange(now, r.Address, r.VM, 0)}
}

// linkTarget returns the member of a zone for the next exchange: one of its
// linkReceivers, or one of all its members for a share of the exchanges.
func (m *machine) linkTarget(zone string) *record {
	members := m.topology().remote[zone]
	if m.random.IntN(randomLink) > 0 {
		members = rendezvousTop(members, zone, m.self.Zone, linkReceivers)
	}
	return members[m.random.IntN(len(members))]
}

// startSync exchanges digests with a random member of the local zone.
func (m *machine) startSync(now time.Time) []call {
	for _, r := range m.pick(m.topology().local, 1) {
		return []call{m.exchange(now, r.Address, r.VM, 0)}
	}
	return nil
}

// addDifferences adds the members of the buckets that differ to a response, unless
// the rate limit for such responses is exceeded.
func (m *machine) addDifferences(now time.Time, response *message, theirs []uint64) {
	buckets := m.digests.differing(theirs)
	if len(buckets) == 0 || !m.differences.AllowN(now, 1) {
		return
	}
	response.Buckets = append([]uint64(nil), m.digests[:]...)
	added := m.membersOf(buckets, func(r *record) bool { return r != m.self })
	response.Truncated = len(added) > maxExchange
	response.Updates = appendUpdates(response.Updates, added, maxExchange)
}

// membersOf returns the records of buckets that meet a condition, in random order
// so that repeated truncated responses cover all of them.
func (m *machine) membersOf(buckets map[int]bool, condition func(*record) bool) []*record {
	if len(buckets) == 0 {
		return nil
	}
	var list []*record
	for _, vm := range sortedKeys(m.records) {
		if r := m.records[vm]; buckets[bucketOf(vm)] && condition(r) {
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

// handleExchangeResponse continues an exchange after its response. If the response
// is truncated, it pulls the remaining members, otherwise it pushes the members
// that the other VM lacks.
func (m *machine) handleExchangeResponse(now time.Time, done *pendingCall, response *message) []call {
	buckets := m.digests.differing(response.Buckets)
	if len(buckets) == 0 || done.pulls >= maxPulls || m.left() {
		return nil
	}
	if response.Truncated {
		return []call{m.exchange(now, done.Address, response.From.VM, done.pulls+1)}
	}
	newer := m.newerThan(response, buckets)
	if len(newer) == 0 || done.pulls > 0 {
		return nil
	}
	pushed := m.exchange(now, done.Address, response.From.VM, maxPulls)
	pushed.Request.Updates = appendUpdates(pushed.Request.Updates, newer, maxExchange)
	return []call{pushed}
}

// newerThan returns the records of buckets that the response lacks or has in an
// older version.
func (m *machine) newerThan(response *message, buckets map[int]bool) []*record {
	theirs := make(map[string]*update, len(response.Updates))
	for i := range response.Updates {
		theirs[response.Updates[i].VM] = &response.Updates[i]
	}
	return m.membersOf(buckets, func(r *record) bool {
		if r == m.self || r.VM == response.From.VM {
			return false
		}
		known, ok := theirs[r.VM]
		return !ok || r.supersedes(known)
	})
}

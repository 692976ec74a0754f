package swim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// topology is derived from the members that are not gone. It is recomputed after
// a change.
type topology struct {
	// local are the other members of the local zone, remote the members of other
	// zones, by zone; all are sorted by name.
	local  []*record
	remote map[string][]*record
	// zones are the other zones, sorted; links are those of them with which this
	// VM exchanges digests.
	zones, links []string
}

// zoneSize returns the number of members of the local zone, including this VM.
func (t *topology) zoneSize() int { return len(t.local) + 1 }

// topology returns the current topology, which is computed if it is not cached.
func (m *machine) topology() *topology {
	if m.cached != nil {
		return m.cached
	}
	t := &topology{remote: make(map[string][]*record)}
	for _, vm := range sortedKeys(m.records) {
		r := m.records[vm]
		switch {
		case r == m.self || r.State == membership.Gone:
		case r.Zone == m.self.Zone:
			t.local = append(t.local, r)
		default:
			t.remote[r.Zone] = append(t.remote[r.Zone], r)
		}
	}
	t.zones = sortedKeys(t.remote)
	localAndSelf := append(slices.Clone(t.local), m.self)
	for _, zone := range t.zones {
		if slices.Contains(rendezvousTop(localAndSelf, m.self.Zone, zone, linkSenders), m.self) {
			t.links = append(t.links, zone)
		}
	}
	m.cached = t
	return t
}

// rendezvousTop returns the n members of a zone that rendezvous hashing ranks
// highest for the link to another zone.
func rendezvousTop(members []*record, zone, other string, n int) []*record {
	weight := func(r *record) uint64 { return xxhash.Sum64String(zone + "\x00" + other + "\x00" + r.VM) }
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *record) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.VM, b.VM))
	})
	return sorted[:min(n, len(sorted))]
}

// pick returns at most n randomly chosen records.
func (m *machine) pick(records []*record, n int) []*record {
	shuffled := slices.Clone(records)
	m.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(n, len(shuffled))]
}

// filter returns the records that meet a condition.
func filter(records []*record, condition func(*record) bool) []*record {
	var matching []*record
	for _, r := range records {
		if condition(r) {
			matching = append(matching, r)
		}
	}
	return matching
}

package origin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// copies is the number of holders of a record besides the VM that made it.
	copies = 2
	// width is the number of members, the first by rendezvous hashing, among which a copy
	// must be to count. They are asked for the record first.
	width = 2
	// foreignGroups is the number of groups of a zone's streams whose records go to the
	// same member of another zone. It bounds the connections of a VM to other zones.
	foreignGroups = 16
	// places is the number of members in each order that a search tells apart.
	places = 6
)

// foreignKey returns the key by which the streams of a zone choose their holder in
// another zone.
func foreignKey(zone, stream string) string {
	return zone + "\x00" + strconv.FormatUint(xxhash.Sum64String(stream)%foreignGroups, 10)
}

// candidate is a member that may hold a record.
type candidate struct {
	membership.Member
	weight uint64
	// usable is false for members that come last: draining, suspect or avoided.
	usable bool
	// place is the number of members of its zone that come before it.
	place int
}

// compareCandidates orders candidates, the best first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(compareUsable(a, b), cmp.Compare(b.weight, a.weight), cmp.Compare(a.VM, b.VM))
}

// compareUsable orders usable candidates before others.
func compareUsable(a, b candidate) int {
	switch {
	case a.usable == b.usable:
		return 0
	case a.usable:
		return -1
	}
	return 1
}

// compareByPlace orders candidates by their place in their zones, so that zones with
// fewer copies come first.
func compareByPlace(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.place, b.place), compareCandidates(a, b))
}

// first is a limited number of candidates, the best first.
type first struct {
	limit      int
	candidates []candidate
}

// add adds a candidate if it is among the first.
func (f *first) add(c candidate) {
	n := len(f.candidates)
	if n == f.limit && compareCandidates(f.candidates[n-1], c) < 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(f.candidates, c, compareCandidates)
	if n == f.limit {
		f.candidates = f.candidates[:n-1]
	}
	f.candidates = slices.Insert(f.candidates, at, c)
	for i := range f.candidates {
		f.candidates[i].place = i
	}
}

// zoneRank is the first members of a zone for a stream.
type zoneRank struct {
	zone string
	first
}

// ranking is the first members of all zones for a stream, other than the VM itself.
type ranking struct {
	ownZone string
	zones   []zoneRank
}

// rank orders the members for a stream: those of the own zone by its id, others by its
// group. The function avoided returns members that come last besides those that are
// draining or suspect.
func rank(stream string, self membership.Member, members []membership.Member, avoided func(string) bool) ranking {
	r := ranking{ownZone: self.Zone}
	foreign := foreignKey(self.Zone, stream)
	for _, m := range members {
		if m.VM == self.VM {
			continue
		}
		key := foreign
		if m.Zone == self.Zone {
			key = stream
		}
		usable := m.Available() && !avoided(m.VM)
		r.of(m.Zone).add(candidate{Member: m, weight: rendezvous.Weight(key, m.VM), usable: usable})
	}
	return r
}

// of returns the rank of a zone, which is added if it is new.
func (r *ranking) of(zone string) *zoneRank {
	for i := range r.zones {
		if r.zones[i].zone == zone {
			return &r.zones[i]
		}
	}
	r.zones = append(r.zones, zoneRank{zone: zone, first: first{limit: width}})
	return &r.zones[len(r.zones)-1]
}

// sides returns the first members of the own zone and of all other zones.
func (r *ranking) sides() (own, foreign []candidate) {
	for _, zone := range r.zones {
		if zone.zone == r.ownZone {
			own = zone.candidates
		} else {
			foreign = append(foreign, zone.candidates...)
		}
	}
	slices.SortFunc(foreign, compareCandidates)
	return own, foreign
}

// holders returns the members that hold the record: the first of the own zone and the
// first of all others. If there is none, the other zones or the own zone have two.
func (r *ranking) holders() []candidate {
	own, foreign := r.sides()
	chosen := make([]candidate, 0, len(own)+len(foreign))
	var rest []candidate
	for _, side := range [][]candidate{own, foreign} {
		if len(side) > 0 {
			chosen = append(chosen, side[0])
			rest = append(rest, side[1:]...)
		}
	}
	slices.SortFunc(rest, compareByPlace)
	chosen = append(chosen, rest...)
	// A member that comes last is chosen only for want of others.
	slices.SortStableFunc(chosen, compareUsable)
	return chosen[:min(copies, len(chosen))]
}

// counts reports whether a copy at a VM's process counts in place of one at a holder: it
// is among the first on the same side of the own zone's border.
func (r *ranking) counts(vm string, incarnation uint64, holder *candidate) bool {
	if holder.VM == vm {
		return holder.Incarnation == incarnation
	}
	side, foreign := r.sides()
	if holder.Zone != r.ownZone {
		side = foreign
	}
	for _, c := range side[:min(width, len(side))] {
		if c.VM == vm {
			return c.Incarnation == incarnation && c.usable
		}
	}
	return false
}

// successor returns the member that follows this VM as a holder, in its own zone if
// possible; false if no member is usable.
func (r *ranking) successor() (candidate, bool) {
	own, foreign := r.sides()
	for _, side := range [][]candidate{own, foreign} {
		if len(side) > 0 && side[0].usable {
			return side[0], true
		}
	}
	return candidate{}, false
}

// searchOrder returns the other members in the order in which they are asked for a
// stream's record, and the number of those that are asked at first: the holders outside
// the zone of each VM that may have made the record, and those of the own zone. The
// holders in other zones follow; to ask them too would multiply the connections.
func searchOrder(stream string, self membership.Member, members []membership.Member) (order []membership.Member, likely int) {
	all, best := searchPlaces(stream, self, members)
	for i := range all {
		all[i].place = places + width
		if place, known := best[all[i].VM]; known {
			all[i].place = place
		}
		if all[i].place < width {
			likely++
		}
	}
	slices.SortFunc(all, compareByPlace)
	for i := range all {
		order = append(order, all[i].Member)
	}
	return order, likely
}

// searchPlaces returns the other members and the best places that they have in the
// orders of all zones.
func searchPlaces(stream string, self membership.Member, members []membership.Member) (all []candidate, best map[string]int) {
	zones := zonesOf(members)
	inZone, foreign := make([]first, len(zones)), make([]first, len(zones))
	keys := make([]string, len(zones))
	for i, zone := range zones {
		inZone[i].limit, foreign[i].limit = places, places
		keys[i] = foreignKey(zone, stream)
	}
	all = make([]candidate, 0, len(members))
	for _, m := range members {
		if m.VM == self.VM {
			continue
		}
		c := candidate{Member: m, weight: rendezvous.Weight(stream, m.VM)}
		all = append(all, c)
		for i, zone := range zones {
			if zone == m.Zone {
				inZone[i].add(c)
			} else {
				foreign[i].add(candidate{Member: m, weight: rendezvous.Weight(keys[i], m.VM)})
			}
		}
	}
	best = make(map[string]int)
	note := func(candidates []candidate, offset int) {
		for _, c := range candidates {
			if known, noted := best[c.VM]; !noted || c.place+offset < known {
				best[c.VM] = c.place + offset
			}
		}
	}
	for i, zone := range zones {
		note(foreign[i].candidates, 0)
		if zone == self.Zone {
			note(inZone[i].candidates, 0)
		} else {
			note(inZone[i].candidates, width)
		}
	}
	return all, best
}

// zonesOf returns the zones of members.
func zonesOf(members []membership.Member) []string {
	var zones []string
	for _, m := range members {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

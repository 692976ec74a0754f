package team

import (
	"maps"
	"slices"
)

// Entry is a team with its keys, as a configuration lists it.
type Entry struct {
	Team Team
	Keys []Digest
}

// Directory holds the teams of one configuration. It is immutable; a nil *Directory means that
// the configuration has no teams, an empty one that no key is known.
type Directory struct {
	// byKey holds nil for a key that is listed for several teams.
	byKey  map[Digest]*Team
	byName map[string]*Team
	shared [][]string
	// limited are the names of the teams whose quotas set a limit.
	limited []string
}

// NewDirectory returns a directory of teams. Entries with the same name are one team, which has
// the keys of all and the values of the first. A key of several teams belongs to none.
func NewDirectory(entries []Entry) *Directory {
	d := &Directory{byKey: make(map[Digest]*Team), byName: make(map[string]*Team, len(entries))}
	sharers := make(map[Digest]map[string]bool)
	for i := range entries {
		t := d.add(&entries[i].Team)
		for _, key := range entries[i].Keys {
			d.addKey(key, t, sharers)
		}
	}
	for _, teams := range sharers {
		d.shared = append(d.shared, slices.Sorted(maps.Keys(teams)))
	}
	slices.SortFunc(d.shared, slices.Compare)
	d.setShares()
	return d
}

// add returns the team of that name, which is new unless an earlier entry has the name.
func (d *Directory) add(listed *Team) *Team {
	t, known := d.byName[listed.Name]
	if !known {
		added := *listed
		t = &added
		d.byName[t.Name] = t
	}
	return t
}

// addKey adds a key of a team. The sharers are the names of the teams of keys that have several.
func (d *Directory) addKey(key Digest, t *Team, sharers map[Digest]map[string]bool) {
	owner, known := d.byKey[key]
	switch {
	case !known:
		d.byKey[key] = t
	case owner == nil:
		sharers[key][t.Name] = true
	case owner != t:
		d.byKey[key] = nil
		sharers[key] = map[string]bool{owner.Name: true, t.Name: true}
	}
}

// setShares collects the limited teams and sets each one's share to its rate relative to the mean of its unit.
func (d *Directory) setShares() {
	sums, counts := map[Unit]float64{}, map[Unit]float64{}
	for _, t := range d.byName {
		if t.Quota.Limited() {
			sums[t.Quota.Unit] += t.Quota.PerSecond
			counts[t.Quota.Unit]++
		}
	}
	for name, t := range d.byName {
		if t.Quota.Limited() {
			d.limited = append(d.limited, name)
			t.share = t.Quota.PerSecond * counts[t.Quota.Unit] / sums[t.Quota.Unit]
		}
	}
	slices.Sort(d.limited)
}

// Find returns the team of a key, nil if the key is unknown or belongs to several teams.
func (d *Directory) Find(key string) *Team { return d.byKey[DigestOf(key)] }

// find is like Find and reports whether the key is listed.
func (d *Directory) find(key Digest) (t *Team, listed bool) {
	t, listed = d.byKey[key]
	return t, listed
}

// Team returns a team by name, nil if there is none.
func (d *Directory) Team(name string) *Team {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Limited returns the names of the teams whose quotas set a limit, in order.
func (d *Directory) Limited() []string {
	if d == nil {
		return nil
	}
	return d.limited
}

// Len returns the number of teams.
func (d *Directory) Len() int { return len(d.byName) }

// SharedKeys returns, for each key that is listed for several teams, their names.
func (d *Directory) SharedKeys() [][]string { return d.shared }

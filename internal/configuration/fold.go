package configuration

import (
	"cmp"
	"maps"
	"slices"
)

// Position orders the versions of one subject. A higher version supersedes a
// lower one; of two records of one version the lower origin is in force.
type Position struct {
	// Version is 0 if the subject was never published.
	Version uint64
	// Origin is the offset of the publish that was accepted.
	Origin uint64
}

// Supersedes reports whether a version at p takes the place of one at other.
func (p Position) Supersedes(other Position) bool {
	if p.Version != other.Version {
		return p.Version > other.Version
	}
	return p.Version > 0 && p.Origin < other.Origin
}

// Outcome is what became of a record.
type Outcome int

// The outcomes of a record.
const (
	// Accepted means that the record is now in force.
	Accepted Outcome = iota + 1
	// Known means that the record's version is in force already or superseded.
	Known
	// Refused means that the publish was based on a superseded version.
	Refused
	// Ahead means that the publish was based on a version not seen here, because
	// its records expired. A later re-append or a peer brings it.
	Ahead
)

// decide is the rule by which all readers accept records. It depends only on the
// position of the record's subject, the record and its offset.
func decide(current Position, record *Record, offset uint64) (Outcome, Position) {
	if record.Kind == KindReappend {
		offered := Position{record.Version, record.Origin}
		if offered.Supersedes(current) {
			return Accepted, offered
		}
		return Known, current
	}
	switch {
	case current.Version > 0 && offset <= current.Origin:
		// The publish that decided the current version lies at or behind it.
		return Known, current
	case record.Base < current.Version:
		return Refused, current
	case record.Base > current.Version:
		return Ahead, current
	default:
		return Accepted, Position{record.Version, offset}
	}
}

// Current is the version of a subject that is in force.
type Current struct {
	Position
	// Record is the record that brought the version.
	Record Record
}

// acceptanceRule decides about a record; all readers use the same one.
type acceptanceRule func(current Position, record *Record, offset uint64) (Outcome, Position)

// Fold is the state of all subjects after a part of the log. Every reader that
// applies the same records holds the same state; a reader that starts later and
// sees a re-append of every subject converges to it. It is not safe for
// concurrent use.
type Fold struct {
	rule     acceptanceRule
	subjects map[string]Current
	// unknownBases holds the highest base seen per subject that was not known here.
	unknownBases map[string]uint64
}

// NewFold returns a state without subjects.
func NewFold() *Fold {
	return newFold(decide)
}

func newFold(rule acceptanceRule) *Fold {
	return &Fold{rule: rule, subjects: make(map[string]Current), unknownBases: make(map[string]uint64)}
}

// Apply takes in a record found at an offset. Records of the log are applied in
// the order of offsets; re-appends from peers, which have no offset, at any time.
func (f *Fold) Apply(record Record, offset uint64) Outcome {
	current := f.subjects[record.Subject]
	outcome, position := f.rule(current.Position, &record, offset)
	switch outcome {
	case Accepted:
		f.subjects[record.Subject] = Current{Position: position, Record: record}
	case Ahead:
		f.unknownBases[record.Subject] = max(f.unknownBases[record.Subject], record.Base)
	case Known, Refused:
	}
	return outcome
}

// Get returns the current version of a subject.
func (f *Fold) Get(subject string) (Current, bool) {
	current, ok := f.subjects[subject]
	return current, ok
}

// All returns the current versions of all subjects in order, removed teams included.
func (f *Fold) All() []Current {
	all := slices.Collect(maps.Values(f.subjects))
	slices.SortFunc(all, func(a, b Current) int { return cmp.Compare(a.Record.Subject, b.Record.Subject) })
	return all
}

// Behind reports whether a publish was seen that builds on a version of the
// subject which is not known here.
func (f *Fold) Behind(subject string) bool {
	return f.unknownBases[subject] > f.subjects[subject].Version
}

// Reappend returns the record that repeats the current version.
func (c Current) Reappend() Record { return c.Record.reappend(c.Origin) }

// change returns what the version means for a snapshot.
func (c Current) change() change {
	return change{subject: c.Record.Subject, version: c.Version, fleet: c.Record.fleet, team: c.Record.team}
}

package configuration

import (
	"cmp"
	"maps"
	"slices"
)

// Position orders the versions of one subject. A higher version supersedes a
// lower one; of two publishes of the same version the one with the lower origin
// is in force.
type Position struct {
	// Version is 0 if the subject was never published.
	Version uint64
	// Origin is the offset of the publish that was accepted.
	Origin uint64
}

// Supersedes reports whether a version at p replaces one at other.
func (p Position) Supersedes(other Position) bool {
	if p.Version != other.Version {
		return p.Version > other.Version
	}
	return p.Version > 0 && p.Origin < other.Origin
}

// Outcome is the result of applying a record.
type Outcome int

// The outcomes of a record.
const (
	// Accepted means that the record's version is now in force.
	Accepted Outcome = iota + 1
	// Known means that the record's version is already in force or superseded.
	Known
	// Refused means that the publish was based on a superseded version.
	Refused
	// Ahead means that the publish was based on a version that this reader has not
	// seen, because its records had expired. A later re-append or a peer supplies
	// the current version.
	Ahead
)

// decide is the rule by which all readers accept records. It depends only on the
// current position of the record's subject, the record and its offset, so that
// readers of the same records agree.
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
		// The publish of the current version is at this offset or a later one.
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
	// Record is the publish or re-append by which the version was accepted.
	Record Record
}

// acceptanceRule returns the outcome of a record and the resulting position of its
// subject. All readers of a log must use the same rule.
type acceptanceRule func(current Position, record *Record, offset uint64) (Outcome, Position)

// Fold is the state of all subjects after replaying a part of the log. Readers
// that apply the same records hold the same state; a reader that starts at a
// later offset converges to that state once it has seen a re-append of every
// subject. A Fold is not safe for concurrent use.
type Fold struct {
	rule     acceptanceRule
	subjects map[string]Current
	// unknownBases holds, by subject, the highest base of the publishes whose
	// outcome was Ahead.
	unknownBases map[string]uint64
}

// NewFold returns an empty Fold.
func NewFold() *Fold {
	return newFold(decide)
}

func newFold(rule acceptanceRule) *Fold {
	return &Fold{rule: rule, subjects: make(map[string]Current), unknownBases: make(map[string]uint64)}
}

// Apply applies a record that was read at an offset. Records of the log must be
// applied in the order of their offsets. Re-appends from peers, which have no
// offset, may be applied at any time.
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

// All returns the current versions of all subjects, including removed teams,
// sorted by subject.
func (f *Fold) All() []Current {
	all := slices.Collect(maps.Values(f.subjects))
	slices.SortFunc(all, func(a, b Current) int { return cmp.Compare(a.Record.Subject, b.Record.Subject) })
	return all
}

// Behind reports whether a publish was seen that is based on a newer version of
// the subject than the current version in this Fold.
func (f *Fold) Behind(subject string) bool {
	return f.unknownBases[subject] > f.subjects[subject].Version
}

// Reappend returns the record that repeats the current version.
func (c Current) Reappend() Record { return c.Record.reappend(c.Origin) }

// change returns the version as a change to a snapshot.
func (c Current) change() change {
	return change{subject: c.Record.Subject, version: c.Version, fleet: c.Record.fleet, team: c.Record.team}
}

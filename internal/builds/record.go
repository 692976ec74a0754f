package builds

import (
	"fmt"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

const (
	// Memory is how long the build of an engine that has left counts as one that may have
	// begun a stream. Streams live for 14 s, and for a minute including resumptions.
	Memory = time.Minute
	// maxBuilds and maxNameBytes bound a record that is accepted.
	maxBuilds, maxNameBytes = 64, 128
)

// Left is a build of which no engine is registered any more.
type Left struct {
	Build string
	// At is the wall-clock time at which the last engine left.
	At time.Time
}

// Joined is a build that serves and joined lately.
type Joined struct {
	Build string
	// At is the wall-clock time at which its first engine was seen.
	At time.Time
}

// Record is the history of a service's builds as it is kept in the store.
type Record struct {
	Service string
	// Serving are the builds of registered engines, Left those that left within Memory.
	// Both are sorted by build.
	Serving []string
	Left    []Left
	// Joined are those of the builds in Serving that joined within Memory, sorted by build.
	Joined []Joined
	// Since is the time from which on the record has all builds; zero if it has all that
	// ever served.
	Since time.Time
	// Era is the era of the store in which the record was written. A record of an earlier
	// era than the store's may have been followed by another one that was lost.
	Era uint64
}

// check returns all findings that make the record unusable.
func (r *Record) check() error {
	var report finding.Report
	name := func(path, value string) {
		if len(value) > maxNameBytes {
			report.Addf(path, "has %d bytes, at most %d are accepted", len(value), maxNameBytes)
		}
	}
	name("service", r.Service)
	if r.Service == "" {
		report.Addf("service", "is missing")
	}
	if n := len(r.Serving) + len(r.Left); n > maxBuilds {
		report.Addf("serving", "%d builds are in the record, at most %d are accepted", n, maxBuilds)
	}
	for i, build := range r.Serving {
		name(fmt.Sprintf("serving[%d]", i), build)
	}
	for i, joined := range r.Joined {
		if !r.serves(joined.Build) {
			report.Addf(fmt.Sprintf("joined[%d].build", i), "%q is not listed as serving", joined.Build)
		}
	}
	for i, left := range r.Left {
		name(fmt.Sprintf("left[%d].build", i), left.Build)
		if left.At.IsZero() {
			report.Addf(fmt.Sprintf("left[%d].at", i), "is missing")
		}
	}
	return report.Err()
}

// serves reports whether the record lists a build as serving.
func (r *Record) serves(build string) bool { return slices.Contains(r.Serving, build) }

// lists reports whether the record lists a build as serving or as having left.
func (r *Record) lists(build string) bool {
	return r.serves(build) || slices.ContainsFunc(r.Left, func(l Left) bool { return l.Build == build })
}

// joined returns the time at which a build joined, zero if it did so long ago.
func (r *Record) joined(build string) time.Time {
	for _, j := range r.Joined {
		if j.Build == build {
			return j.At
		}
	}
	return time.Time{}
}

// Covers reports whether the record names all builds of another one that may have begun a stream.
func (r *Record) Covers(now time.Time, other *Record) bool {
	for _, build := range other.Serving {
		if !r.lists(build) {
			return false
		}
	}
	return !slices.ContainsFunc(other.Left, func(l Left) bool { return within(now, l.At) && !r.lists(l.Build) })
}

// sameBuilds reports whether two records of an era list the same builds.
func (r *Record) sameBuilds(other *Record) bool {
	return r.Era == other.Era && r.Service == other.Service && slices.Equal(r.Serving, other.Serving) &&
		slices.EqualFunc(r.Left, other.Left, func(a, b Left) bool { return a.Build == b.Build })
}

// within reports whether a time was less than Memory ago. A time in the future counts as
// now: wall clocks may jump.
func within(now, at time.Time) bool { return now.Sub(at) < Memory }

// earlier returns the earlier of two times; zero is the earliest.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// proves reports whether a history that has all builds since a time has all that may have
// begun a stream by now.
func proves(now, since time.Time) bool { return since.IsZero() || !within(now, since) }

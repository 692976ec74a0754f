package origin

import (
	"context"
	"time"
)

const (
	// appendPeriod is the least time between two appends of an archiver.
	appendPeriod = 200 * time.Millisecond
	// maxPending bounds the records that wait at an archiver. It is the number of streams of
	// a zone of 60 VMs that run when a second build appears, with a reserve of ten.
	maxPending = 8 << 10
	// maxAppendBytes limits the estimated size of the records of one append, originBytes is
	// what a record takes besides its names.
	maxAppendBytes, originBytes = 48 << 10, 16
	// maxArchivedAge is the age from which on an archived record is not used. It exceeds
	// Lifetime by what wall clocks may jump.
	maxArchivedAge = Lifetime + 30*time.Second
)

// Archive keeps records beyond the life of all VMs' processes. It is a log of batches, of which
// the oldest are dropped at some time.
type Archive interface {
	// Append appends a batch and returns the era of the archive in which it is kept.
	Append(ctx context.Context, at time.Time, origins []Origin) (era uint64, err error)
	// Read returns batches from an offset on, or from the first retained one if that is
	// later. Offsets of different eras cannot be compared.
	Read(ctx context.Context, from uint64) (ArchivePage, error)
	// Era returns the latest known era, which rises when the archive may have lost what was
	// appended last.
	Era() uint64
}

// ArchiveBatch is what one append has kept.
type ArchiveBatch struct {
	// At is the wall-clock time of the append.
	At      time.Time
	Origins []Origin
}

// ArchivePage is the result of reading an archive.
type ArchivePage struct {
	Batches []ArchiveBatch
	// Next is the offset at which the next read goes on, End that of the next append.
	Next, End, Era uint64
}

// archived is what is known of a stream's record in the archive.
type archived struct {
	// due is set while the record waits to be sent, inFlight while a call carries it.
	due, inFlight bool
	// handed is set once a call has carried the record, with the revision that was sent first.
	handed bool
	first  uint64
	// kept is set once a revision is in the archive, in an era of it.
	kept     bool
	revision uint64
	era      uint64
}

// current reports whether the archive has the present build.
func (a *archived) current(r *run, era uint64) bool {
	return a.kept && a.revision >= r.buildRevision && a.era >= era
}

// outdated reports whether the archive may have a former build.
func (a *archived) outdated(r *run) bool {
	return a.handed && a.first < r.buildRevision && (!a.kept || a.revision < r.buildRevision)
}

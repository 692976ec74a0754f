package origin

import (
	"expvar"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

// Counters count what the service did.
type Counters struct {
	// Recorded counts streams recorded here, Renewed records sent again because their
	// streams ran for long.
	Recorded, Renewed atomic.Int64
	// Calls counts calls that carried records to other VMs, CallsFailed those that
	// failed. Sent counts the records that they carried.
	Calls, CallsFailed, Sent atomic.Int64
	// Replaced counts records sent to another holder than the first ones.
	Replaced atomic.Int64
	// Received counts records of other VMs, Rejected those that were not valid.
	Received, Rejected atomic.Int64
	// Conflicts counts records with another build than the known one of the same
	// revision.
	Conflicts atomic.Int64
	// Dropped counts records dropped before the end of their lifetime.
	Dropped atomic.Int64
	// HandedOver counts records held for others that were given to another VM on a stop.
	HandedOver atomic.Int64
	// FoundHere and FoundAtPeer count successful calls of Find, NotFound calls that
	// ended with Unknown and Unanswered those that ended with Incomplete.
	FoundHere, FoundAtPeer, NotFound, Unanswered atomic.Int64
	// Lookups counts calls to other VMs by Find, LookupsFailed those without a response.
	Lookups, LookupsFailed atomic.Int64
	// Served counts calls of other VMs that looked for a record.
	Served atomic.Int64
	// ArchiveCalls counts calls with records to archivers, ArchiveCallsFailed those that
	// failed.
	ArchiveCalls, ArchiveCallsFailed atomic.Int64
	// Appends counts appends of this VM to the archive, AppendsFailed those that failed and
	// Appended the records of the others. ArchiveRefused counts calls for which too many
	// records waited.
	Appends, AppendsFailed, Appended, ArchiveRefused atomic.Int64
	// ArchiveReads counts calls that read the archive, ArchiveReadsFailed reads that failed.
	ArchiveReads, ArchiveReadsFailed atomic.Int64
	// FoundInArchive and NotInArchive count calls of FindArchived by their outcome.
	FoundInArchive, NotInArchive atomic.Int64
}

// Vars returns the counters and the number of records in memory.
func (s *Service) Vars() *expvar.Map {
	vars := metrics.Fields(&s.counters)
	vars.Set("records", expvar.Func(func() any { return s.Size() }))
	return vars
}

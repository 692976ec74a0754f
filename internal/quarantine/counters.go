package quarantine

import (
	"expvar"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

// Counters count what the service observed and decided.
type Counters struct {
	// Crashes counts crashes of engines under requests of this VM.
	Crashes atomic.Int64
	// Quarantined counts verdicts, Cleared parts that sound answers at this VM cleared.
	Quarantined, Cleared atomic.Int64
	// Trials counts requests that were let through to try whether engines still crash.
	Trials atomic.Int64
}

// Vars returns the counters and the number of verdicts in force.
func (s *Service) Vars() *expvar.Map {
	vars := metrics.Fields(&s.counters)
	vars.Set("in_force", expvar.Func(func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.inForce)
	}))
	return vars
}

// ArchiveVars returns the counters of the archive.
func (s *Service) ArchiveVars() *expvar.Map { return metrics.Fields(&s.archive.counters) }

// ShareVars returns the counters of the exchange with other VMs.
func (s *Service) ShareVars() *expvar.Map { return metrics.Fields(&s.sharer.counters) }

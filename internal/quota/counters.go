package quota

import (
	"expvar"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

// Counters count what the service did.
type Counters struct {
	// Taken counts requests that were charged, Waited those of them that waited for credit.
	Taken, Waited atomic.Int64
	// Refused counts requests over a quota, RefusedHere those of them without a call.
	Refused, RefusedHere atomic.Int64
	// Refunded counts requests whose cost was returned because they had not run.
	Refunded atomic.Int64
	// Leased, Returned and Expired count units that this VM leased, gave back and lost unused.
	Leased, Returned, Expired atomic.Int64
	// OwnerChanges counts the times that another VM than before answered for a team.
	OwnerChanges atomic.Int64
	// Calls counts calls to other VMs, CallsFailed those without an answer. FallbackCalls
	// counts claims that went to another VM than the owner.
	Calls, CallsFailed, FallbackCalls atomic.Int64
	// Presences counts calls only for owners that are not established.
	Presences atomic.Int64
	// Served counts calls of other VMs, Rejected those that were not valid.
	Served, Rejected atomic.Int64
	// Behind counts calls of VMs with a later configuration, Unknown claims for teams that this
	// VM's configuration does not have.
	Behind, Unknown atomic.Int64
	// Established counts the times that this VM became established for a team.
	Established atomic.Int64
}

// Vars returns the counters and the sizes of the state.
func (s *Service) Vars() *expvar.Map {
	vars := metrics.Fields(&s.counters)
	vars.Set("accounts", expvar.Func(func() any { accounts, _ := s.Size(); return accounts }))
	vars.Set("buckets", expvar.Func(func() any { _, buckets := s.Size(); return buckets }))
	return vars
}

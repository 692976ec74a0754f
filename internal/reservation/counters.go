package reservation

import (
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Counters count events of the service since its start.
type Counters struct {
	OwnershipGained, OwnershipLost    atomic.Uint64
	HeartbeatsFailed, StaleHeartbeats atomic.Uint64
	Fallbacks                         atomic.Uint64
	Spills, SpillsRefused             atomic.Uint64
	// Admitted and NotAdmitted count the calls to limited endpoints that this VM decided
	// about for all VMs, AdmissionFallbacks its own calls decided from its static share.
	Admitted, NotAdmitted, AdmissionFallbacks atomic.Uint64
}

// Counters returns the service's own counters.
func (s *Service) Counters() *Counters { return &s.counters }

// ModelStatus is the state of one model that this VM owns.
type ModelStatus struct {
	Waiting  int
	Counters scheduling.Counters
}

// Status returns the state of all models that this VM owns.
func (s *Service) Status() map[string]ModelStatus {
	s.mu.Lock()
	owners := copyOf(s.ownedSchedulers)
	s.mu.Unlock()
	status := make(map[string]ModelStatus, len(owners))
	for model, sched := range owners {
		sched.mu.Lock()
		status[model] = ModelStatus{Waiting: sched.coordinator.Waiting(), Counters: sched.coordinator.Counters()}
		sched.mu.Unlock()
	}
	return status
}

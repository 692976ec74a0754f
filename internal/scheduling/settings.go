package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Settings are the parameters of a Coordinator.
type Settings struct {
	// Model holds the nominal performance figures on which predictions are
	// based.
	Model configuration.Model
	// Options change how engines are used.
	Options Options
	// Seed seeds the random choices of the baseline policies. The Coordinator
	// makes none.
	Seed uint64
}

// Options change how a Coordinator uses its engines. The zero value suits any
// engine.
type Options struct {
	// MemoryOverTime admits attempts by the predicted peak of their combined
	// memory use instead of the sum of their final sizes. It requires engines
	// that preempt rather than fail when they run out of memory.
	MemoryOverTime bool
	// SelfPrefill lets decode engines prefill prompts themselves. The grant then
	// names the same engine for prefill and decode.
	SelfPrefill bool
}

const (
	// BackgroundPriority is the highest priority of background demands, which
	// use only capacity that other demands leave free.
	BackgroundPriority = -1000
	// maxCandidates bounds the waiting demands of a class queue that are tried
	// for placement in one pass.
	maxCandidates = 8
	// GrantLease is how long a grant stays valid without renewal.
	GrantLease = time.Second
	// TokensPerBlock is the length of a prefix block.
	TokensPerBlock = 256

	// loadReportLag is the maximum age of the figures in a load report.
	loadReportLag = time.Second
	// tombstoneTTL is how long the id of a released attempt is remembered, so
	// that a delayed message does not re-create the attempt.
	tombstoneTTL = 5 * time.Second
	// maxPrefillsInFlight bounds the prefills granted at the same time on one
	// engine.
	maxPrefillsInFlight = 2
	// prefillLead is how long before a prefill's predicted end the next one
	// is granted, so that the engine is not idle for a message's round trip.
	prefillLead = 30 * time.Millisecond
	// retentionShare is the fraction of the KV retention time that a transfer
	// may take.
	retentionShare = 0.8
	// maxOverlapRisk is the highest probability of a wasted prefill at which a
	// prefill may start before its decode slot is free, whatever the weights.
	maxOverlapRisk = 0.05
	// maxMissRisk is the highest probability of a missed first-token target at
	// which a prefill may start before its decode slot is free.
	maxMissRisk = 0.001
	// admissionShare is the fraction of the time until the latest start that
	// the predicted wait of a new demand may take. The remainder absorbs
	// prediction errors.
	admissionShare = 0.7
	// targetSafetyShare and targetSafetyMax define the margin of a target that
	// is reserved for message delays.
	targetSafetyShare = 0.01
	targetSafetyMax   = 50 * time.Millisecond
	// agingStep is the waiting time that raises a demand's rank by one
	// priority.
	agingStep = 5 * time.Second
	// bypassLimit is how long demands that can be placed may bypass the first
	// demand in order, which cannot.
	bypassLimit = 250 * time.Millisecond
	// retryInterval is the period of placement attempts while demands wait.
	retryInterval = 5 * time.Millisecond
	// idleWakeInterval is the interval between ticks while no demand waits.
	idleWakeInterval = time.Second
	// minRetryAfter is the minimum delay suggested in a refusal,
	// noEngineRetryAfter the delay suggested when no engine can serve the
	// demand; both are spread by retryAfter.
	minRetryAfter      = 50 * time.Millisecond
	noEngineRetryAfter = time.Second
)

// safetyMargin returns the part of a target that is reserved for message
// delays.
func safetyMargin(target time.Duration) time.Duration {
	return min(seconds(target.Seconds()*targetSafetyShare), targetSafetyMax)
}

package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Settings are the parameters of a Coordinator.
type Settings struct {
	// Model gives the figures that predictions start from.
	Model configuration.Model
	// Options change how engines are used.
	Options Options
	// Seed makes random choices repeatable; only baselines make any.
	Seed uint64
}

// Options change how a Coordinator uses its engines. The zero value suits any
// engine.
type Options struct {
	// MemoryOverTime grants memory by what attempts will hold together at any
	// time, instead of by the sum of what each holds in the end. An engine that
	// runs out of memory must preempt rather than fail.
	MemoryOverTime bool
	// SelfPrefill lets decode engines read a prompt themselves. A grant whose
	// engines are the same asks for that.
	SelfPrefill bool
}

const (
	// BackgroundPriority is the highest priority of demands that use only what
	// others leave.
	BackgroundPriority = -1000
	// maxCandidates bounds the waiting demands of a line that are tried at a time.
	maxCandidates = 8
	// GrantLease is how long a grant lives without a renewal.
	GrantLease = time.Second
	// TokensPerBlock is the length of a prefix block.
	TokensPerBlock = 256

	// loadReportLag bounds the age of what a load report tells.
	loadReportLag = time.Second
	// tombstoneTTL is how long a released id is remembered, so that a late
	// message does not revive it.
	tombstoneTTL = 5 * time.Second
	// maxPrefillsInFlight bounds the prefills granted at once on one engine.
	maxPrefillsInFlight = 2
	// prefillLead is how long before a prefill's predicted end the next one
	// is granted, so that the engine is not idle for a message's round trip.
	prefillLead = 30 * time.Millisecond
	// retentionShare is the part of the KV retention that a transfer may take.
	retentionShare = 0.8
	// maxOverlapRisk bounds the probability of a wasted prefill that an early
	// start takes, whatever the weights.
	maxOverlapRisk = 0.05
	// maxMissRisk bounds the probability that an early start misses its target.
	maxMissRisk = 0.001
	// admissionShare is the part of the time up to the latest start that the
	// predicted wait of a new demand may take; the rest covers its error.
	admissionShare = 0.7
	// targetSafetyShare and targetSafetyMax give the part of a target that is
	// kept for message delays.
	targetSafetyShare = 0.01
	targetSafetyMax   = 50 * time.Millisecond
	// agingStep is the wait after which a demand is served one priority higher.
	agingStep = 5 * time.Second
	// bypassLimit is how long the first demand in order may be passed by
	// others that fit where it does not.
	bypassLimit = 250 * time.Millisecond
	// retryInterval is the period of placement attempts while demands wait.
	retryInterval = 5 * time.Millisecond
	// idleWakeInterval is the period of wakes without any work.
	idleWakeInterval = time.Second
	// minRetryAfter and noEngineRetryAfter bound the advice in refusals.
	minRetryAfter      = 50 * time.Millisecond
	noEngineRetryAfter = time.Second
)

// safetyMargin returns the part of a target that is kept for message delays.
func safetyMargin(target time.Duration) time.Duration {
	return min(seconds(target.Seconds()*targetSafetyShare), targetSafetyMax)
}

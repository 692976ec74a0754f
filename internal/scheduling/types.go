// Package scheduling decides which engines a model-backed request uses, when
// its prefill starts, and when it is refused instead.
//
// Decisions depend only on the state and the time that are passed in. Package
// reservation transports them between entry VMs.
package scheduling

import (
	"fmt"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// Demand describes a model-backed request that needs a prefill engine and a
// decode slot.
type Demand struct {
	// ID identifies the attempt. Its VM and incarnation identify the holder,
	// the process on an entry VM that runs the attempt.
	ID engine.AttemptID
	// Zone is the availability zone of the entry VM.
	Zone     string
	Team     string
	Class    string
	Model    string
	Priority int
	Order    configuration.Order
	// Share is the team's share of contended capacity; 0 counts as 1.
	Share float64
	// QueueLimit bounds the waiting requests of this team's class.
	QueueLimit int
	// PromptTokens is the estimated length of the prompt including tokens
	// already delivered.
	PromptTokens int
	// Blocks are the chained hashes of the prompt's prefix blocks, see
	// docs/PROTOCOLS.md.
	Blocks []uint64
	// OutputTokens is the maximum length of the answer.
	OutputTokens int
	// Targets are the class's latency targets.
	Targets configuration.Targets
	// Weights set the balance between goodput and wasted prefill.
	Weights configuration.Weights
	// Waited is the time since the request arrived at its entry VM.
	Waited time.Duration
	// Exclude names engines that already failed this request.
	Exclude []string
	// Build is the build that the decode engine must have; empty permits any. The
	// prefill engine may have another one.
	Build string
	// Resumed is set if tokens were already delivered, which a refusal would
	// waste. Resumed demands are admitted before new ones.
	Resumed bool
	// Strict orders the demand by Urgency before anything else, see contention.go.
	// Priority then only states whether the demand is a background one.
	Strict bool
	// Urgency is the urgency of a strict demand; higher is more urgent.
	Urgency int
	// PriorWait is the time since the caller's first attempt began, if that was refused; 0
	// for a first attempt.
	PriorWait time.Duration
	// RetryWithin is the longest retry delay that the caller of a strict demand heeds.
	RetryWithin time.Duration
}

// Grant assigns engines to a demand. The prefill may start at once; the decode
// slot is reserved until it is released or its holder stops renewing it.
type Grant struct {
	ID engine.AttemptID
	// Prefill and Decode are names of endpoints.
	Prefill string
	Decode  string
	// FirstToken is the predicted time from the grant to the first token.
	FirstToken time.Duration
	// Limited says that one of the engines takes a limited number of requests. The holder
	// then reports what the engines say of it.
	Limited bool
}

// RefusalReason says why a demand was refused.
type RefusalReason string

// The reasons for a refusal. Unless stated otherwise, no engine ran anything.
const (
	// RefusedTarget means that a latency target could not be met.
	RefusedTarget RefusalReason = "target-unreachable"
	// RefusedQueueFull means that the class's queue limit was reached.
	RefusedQueueFull RefusalReason = "queue-full"
	// RefusedNoEngine means that no engine of the model is available.
	RefusedNoEngine RefusalReason = "no-engine"
	// RefusedTooLarge means that no engine has the memory for the request.
	RefusedTooLarge RefusalReason = "too-large"
	// RefusedEngineFailed means that engines failed the request and the retry
	// budget or the number of attempts is used up. Engines may have run.
	RefusedEngineFailed RefusalReason = "engine-failed"
)

// Refusal is the error of a demand that is not granted.
type Refusal struct {
	Reason RefusalReason
	// RetryAfter is the time after which a retry is expected to be granted.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Progress is a holder's report on a granted attempt. It corrects the
// predictions and updates what the ledger records for the attempt.
type Progress struct {
	ID   engine.AttemptID
	Kind ProgressKind
	// Prefill and Decode name the engines used.
	Prefill, Decode string
	// Tokens is the prompt length for PrefillDone, delivered tokens for Released.
	Tokens int
	// Cached is the number of prompt tokens served from the prefix cache.
	Cached int
	// Elapsed is the duration of the phase that ended, or for EngineLimit the time since the
	// engine said so.
	Elapsed time.Duration
	// Limited says that the engine named as Prefill names a limit, and Limit is the number of
	// requests per second that it takes. They are for EngineLimit.
	Limited bool
	Limit   float64
	// Slowdown is the factor by which work takes longer than usual on the engine that ended the
	// phase, as it stated with that; 0 if it stated none. It is for PrefillDone and
	// FirstTokenSeen.
	Slowdown float64
}

// ProgressKind is the kind of event that a Progress reports.
type ProgressKind string

// The kinds of progress.
const (
	// PrefillDone means that the prefill engine has finished with the attempt.
	PrefillDone ProgressKind = "prefill-done"
	// FirstTokenSeen means that the transfer and the first decode step are
	// done.
	FirstTokenSeen ProgressKind = "first-token"
	// PrefillFailed and DecodeFailed mean that an engine did not accept the
	// holder's call.
	PrefillFailed ProgressKind = "prefill-failed"
	DecodeFailed  ProgressKind = "decode-failed"
	// PrefillLost and DecodeLost mean that an engine's response was lost.
	PrefillLost ProgressKind = "prefill-lost"
	DecodeLost  ProgressKind = "decode-lost"
	// EngineLeaving means that the holder learned that an engine is leaving.
	EngineLeaving ProgressKind = "engine-leaving"
	// EngineLimit means that an engine said how many requests it takes.
	EngineLimit ProgressKind = "engine-limit"
	// Released means that the attempt no longer holds any resources.
	Released ProgressKind = "released"
)

// Package completion runs a model-backed request through reservation, prefill, KV
// transfer and decode, and streams the answer to the caller.
//
// Failure behaviour: an attempt that fails is cancelled on every engine that it
// may have reached, and a further attempt resumes at the first token that the
// caller does not have, subject to a retry budget. When the caller disconnects, the
// attempt is cancelled, whatever its stage. A reservation is released only after
// the engines have acknowledged that they hold nothing.
package completion

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/retry"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Reserver assigns engines to requests and receives reports of their progress.
type Reserver interface {
	// Reserve blocks while the demand is queued. The error is a
	// *scheduling.Refusal if it is refused, or the context's error.
	Reserve(ctx context.Context, demand scheduling.Demand) (scheduling.Grant, error)
	// Progress reports a phase of a granted attempt.
	Progress(p scheduling.Progress)
	// Delivered reports how many tokens of an attempt were delivered.
	Delivered(id engine.AttemptID, tokens int)
}

// Engines finds engine clients by endpoint name.
type Engines interface {
	Engine(name string) (engine.Client, bool)
}

// Canceller cancels an attempt in the background until it is acknowledged.
type Canceller interface {
	Cancel(id engine.AttemptID, request string, engines []string, done func())
}

// Endpoints receives the results of calls to endpoints.
type Endpoints interface {
	MarkLeaving(name string)
	Observe(name string, group []string, ok bool, latency time.Duration)
}

// Configuration provides the snapshot in force.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Sink receives the tokens of an answer.
type Sink interface {
	// Token delivers one token. An error of type Withheld means that the caller must
	// not receive the answer, any other error that the caller is gone.
	Token(token engine.Token) error
}

// Request is a model-backed request that was accepted for scheduling.
type Request struct {
	// Number is the sequence number of the request in this incarnation.
	Number uint64
	// ID is the request id shown to the caller and in the timeline.
	ID    string
	Team  *configuration.Team
	Class *configuration.Class
	// Prompt is the input, PromptText its text for prefix hashing.
	Prompt     *engine.Prompt
	PromptText string
	// MaxTokens bounds the answer.
	MaxTokens int
	Arrived   time.Time
}

// Result describes a complete answer.
type Result struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Counters count attempts. The zero value is ready to use.
type Counters struct {
	// Attempts counts granted attempts, Resumed those that continued an answer.
	Attempts, Resumed atomic.Int64
	// Crossed counts prefill responses and stream events that were dropped because
	// they belonged to another attempt.
	Crossed atomic.Int64
	// DuplicateTokens counts tokens dropped because the caller already had
	// them.
	DuplicateTokens atomic.Int64
	// TransferStalls and DecodeStalls count attempts cancelled for a stall.
	TransferStalls, DecodeStalls atomic.Int64
	// RetriesDenied counts retries that the retry budget did not allow.
	RetriesDenied atomic.Int64
	// PrefillTokens counts prompt tokens prefilled, WastedPrefillTokens those of
	// attempts that delivered no token.
	PrefillTokens, WastedPrefillTokens atomic.Int64
}

// Options are the dependencies and parameters of a Runner. All but StallFloor are
// required.
type Options struct {
	// VM and Incarnation identify this process in attempt ids.
	VM          string
	Incarnation uint64
	// Zone is the availability zone of this VM.
	Zone          string
	Reserver      Reserver
	Engines       Engines
	Canceller     Canceller
	Endpoints     Endpoints
	Configuration Configuration
	Events        timeline.Recorder
	// StallFloor is the minimum time without progress after which a transfer or a
	// decode counts as stalled; 0 selects the default of 500 ms.
	StallFloor time.Duration
}

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries that the budget holds.
	retryBurst = 20
)

// Runner runs model-backed requests. It is safe for concurrent use.
type Runner struct {
	// Counters are exported as metrics.
	Counters Counters

	options Options
	budget  *retry.Budget
}

// New returns a runner.
func New(options Options) *Runner {
	options.StallFloor = cmp.Or(options.StallFloor, defaultStallFloor)
	return &Runner{options: options, budget: retry.NewBudget(retryRatio, retryBurst)}
}

// Run runs the request to its end. It returns nil only after the sink has
// accepted the whole answer. The error is of type CallerGone or Withheld,
// a *RefusedError or an *InterruptedError.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) (Result, error) {
	r.budget.Earn()
	current := newRun(r, request, sink)
	for {
		err := current.attempt(ctx)
		if err == nil {
			return current.result, nil
		}
		if final := current.finalError(ctx, err); final != nil {
			return current.result, final
		}
	}
}

package engine

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// Faults are the failures that an Engine can be made to show. The zero value
// shows none.
type Faults struct {
	// CrashAfterTokens crashes the engine once it has decoded this many further
	// tokens: connections are cut; slots, memory and caches are empty. It is
	// back at once and the fault is reset to 0.
	CrashAfterTokens int `json:"crash_after_tokens"`
	// Down crashes the engine and cuts every call of the protocol while it is set.
	Down bool `json:"down"`
	// StallTransfers halts all imports while it is set.
	StallTransfers bool `json:"stall_transfers"`
	// CrossAnswers is the share, 0 to 1, of prefill answers and stream events
	// that are preceded or replaced by one of another attempt: a prefill answer
	// carries another attempt's id; a stream gets an event of another attempt
	// before its own.
	CrossAnswers float64 `json:"cross_answers"`
	// ReplaceCrossed puts crossed events in place of a stream's own.
	ReplaceCrossed bool `json:"replace_crossed"`
	// LateAnswers delays each prefill answer and the first event of each stream.
	LateAnswers configuration.Duration `json:"late_answers"`
	// Slow multiplies the duration of prefill and decode; 0 counts as 1.
	Slow float64 `json:"slow"`
	// LoseCacheEvents is the share, 0 to 1, of cache events lost beside
	// Options.CacheEventLoss.
	LoseCacheEvents float64 `json:"lose_cache_events"`
	// LoseCancelAnswers cuts the connection of a cancel after its effect.
	LoseCancelAnswers bool `json:"lose_cancel_answers"`
	// IgnoreClose lets attempts run on when their connection is closed.
	IgnoreClose bool `json:"ignore_close"`
	// Leaving refuses new attempts; those that run finish.
	Leaving bool `json:"leaving"`
}

func (f *Faults) slowdown() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}

// Counts are what an Engine holds now and has done since its start.
type Counts struct {
	// Received counts calls by attempt id, Executions those that began to run.
	Received   map[string]int `json:"received"`
	Executions map[string]int `json:"executions"`

	// PiecesHeld is the memory held now; Active, Importing and Queued are the
	// attempts in each stage, Kept the KV caches that wait for an export.
	PiecesHeld int `json:"pieces_held"`
	Active     int `json:"active"`
	Importing  int `json:"importing"`
	Queued     int `json:"queued"`
	Kept       int `json:"kept"`

	// TokensPrefilled are tokens computed, TokensCached those found in the
	// prefix cache.
	TokensPrefilled int `json:"tokens_prefilled"`
	TokensCached    int `json:"tokens_cached"`
	// PrefillTokensWasted are tokens computed whose KV cache was evicted, lost
	// or cancelled unused, or was used for an answer that nobody got whole. The
	// last is counted by the decode engine.
	PrefillTokensWasted int `json:"prefill_tokens_wasted"`
	// TokensDecoded are tokens generated, TokensThrownAway those of them that
	// were never written to a stream.
	TokensDecoded    int `json:"tokens_decoded"`
	TokensThrownAway int `json:"tokens_thrown_away"`

	// AnswersFinished are streams written to their end.
	AnswersFinished int `json:"answers_finished"`
	// AfterLeaving are attempts received after leaving began.
	AfterLeaving int `json:"after_leaving"`
	// RefusedBusy, RefusedEvicted and RefusedCancelled are attempts refused.
	RefusedBusy      int `json:"refused_busy"`
	RefusedEvicted   int `json:"refused_evicted"`
	RefusedCancelled int `json:"refused_cancelled"`
	// Cancelled are attempts that a cancel or a closed connection ended.
	Cancelled int `json:"cancelled"`
	Crashes   int `json:"crashes"`
	// OrdersAccepted lists the ids of orders taken, OrdersStale counts those
	// refused for their fencing number.
	OrdersAccepted []string `json:"orders_accepted"`
	OrdersStale    int      `json:"orders_stale"`
}

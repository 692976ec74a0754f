package engine

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// Faults are the failures that an Engine can simulate. The zero value has none.
type Faults struct {
	// CrashAfterTokens crashes the engine once it has decoded this many further
	// tokens: connections are closed; slots, memory and caches are cleared. The
	// engine is available again immediately and the fault is reset to 0.
	CrashAfterTokens int `json:"crash_after_tokens"`
	// Down crashes the engine when it is set. While it is set, every protocol call
	// ends with a closed connection.
	Down bool `json:"down"`
	// StallTransfers pauses all imports while it is set.
	StallTransfers bool `json:"stall_transfers"`
	// CrossAnswers is the fraction, 0 to 1, of prefill responses and stream
	// events that are crossed, that is, mixed up with those of another attempt:
	// a crossed prefill response carries another attempt's id; a crossed stream
	// event is preceded by an event of another attempt.
	CrossAnswers float64 `json:"cross_answers"`
	// ReplaceCrossed lets the other attempt's event replace a crossed stream event
	// instead of preceding it.
	ReplaceCrossed bool `json:"replace_crossed"`
	// LateAnswers delays each prefill response and the first event of each stream.
	LateAnswers configuration.Duration `json:"late_answers"`
	// Slow multiplies the duration of prefill and decode; 0 counts as 1.
	Slow float64 `json:"slow"`
	// LoseCacheEvents is the fraction, 0 to 1, of cache events lost in addition to
	// Options.CacheEventLoss.
	LoseCacheEvents float64 `json:"lose_cache_events"`
	// LoseCancelAnswers closes the connection of a cancel call after the call has
	// taken effect.
	LoseCancelAnswers bool `json:"lose_cancel_answers"`
	// IgnoreClose lets attempts continue after their connection was closed.
	IgnoreClose bool `json:"ignore_close"`
	// Leaving makes the engine reject new attempts; earlier ones finish.
	Leaving bool `json:"leaving"`
}

// slowdown returns the factor by which prefill and decode take longer.
func (f *Faults) slowdown() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}

// Counts are the gauges of an Engine and its counters since its start.
type Counts struct {
	// Received counts calls by attempt id, Executions those that started to run.
	Received   map[string]int `json:"received"`
	Executions map[string]int `json:"executions"`

	// PiecesHeld is the number of memory pieces in use. Active (decoding),
	// Importing and Queued are the numbers of attempts in these stages, Kept is
	// the number of KV caches kept for export.
	PiecesHeld int `json:"pieces_held"`
	Active     int `json:"active"`
	Importing  int `json:"importing"`
	Queued     int `json:"queued"`
	Kept       int `json:"kept"`

	// TokensPrefilled is the number of prompt tokens computed, TokensCached that of
	// tokens found in the prefix cache.
	TokensPrefilled int `json:"tokens_prefilled"`
	TokensCached    int `json:"tokens_cached"`
	// PrefillTokensWasted is the number of computed tokens whose KV cache was
	// evicted, lost or cancelled before its use, or used for an answer that was
	// not written completely. The decode engine counts the latter, unless its
	// crash ended the stream.
	PrefillTokensWasted int `json:"prefill_tokens_wasted"`
	// TokensDecoded is the number of tokens generated, TokensThrownAway that of
	// generated tokens never written to a stream.
	TokensDecoded    int `json:"tokens_decoded"`
	TokensThrownAway int `json:"tokens_thrown_away"`

	// AnswersFinished is the number of streams written to their end.
	AnswersFinished int `json:"answers_finished"`
	// AfterLeaving is the number of attempts received while Leaving was set.
	AfterLeaving int `json:"after_leaving"`
	// RefusedBusy, RefusedEvicted and RefusedCancelled are the numbers of attempts
	// rejected with the errors Busy, Evicted and Cancelled.
	RefusedBusy      int `json:"refused_busy"`
	RefusedEvicted   int `json:"refused_evicted"`
	RefusedCancelled int `json:"refused_cancelled"`
	// Cancelled is the number of attempts ended by a cancel call or a closed
	// connection.
	Cancelled int `json:"cancelled"`
	Crashes   int `json:"crashes"`
	// OrdersAccepted lists the ids of accepted orders, OrdersStale is the number of
	// orders rejected for their fencing number.
	OrdersAccepted []string `json:"orders_accepted"`
	OrdersStale    int      `json:"orders_stale"`
}

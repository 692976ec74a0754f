package logstore

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// Faults are the failures that a Store can simulate. The zero value has none.
type Faults struct {
	// Outage makes every append and read fail.
	Outage bool `json:"outage"`
	// LoseAnswers is the fraction of appends, 0 to 1, that take effect but whose
	// response is lost.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNextAnswers is the number of further appends whose response is lost.
	LoseNextAnswers int `json:"lose_next_answers"`
	// EffectDelay is the time between the lost response to an append and its
	// effect.
	EffectDelay configuration.Duration `json:"effect_delay"`
	// Latency is added to the duration of every append and read.
	Latency configuration.Duration `json:"latency"`
}

// Counts are the counters of a Store since its start.
type Counts struct {
	// Appends is the number of appends that took effect, Records that of their
	// records.
	Appends uint64 `json:"appends"`
	Records uint64 `json:"records"`
	// Throttled is the number of appends rejected by the append limit.
	Throttled uint64 `json:"throttled"`
	// RefusedByOutage is the number of appends and reads that failed in an outage.
	RefusedByOutage uint64 `json:"refused_by_outage"`
	// AnswersLost is the number of appends whose response was lost.
	AnswersLost uint64 `json:"answers_lost"`
	Reads       uint64 `json:"reads"`
}

package logstore

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// Faults are the failures that a Store can be made to show. The zero value
// shows none.
type Faults struct {
	// Outage refuses every append and read.
	Outage bool `json:"outage"`
	// LoseAnswers is the share of appends, 0 to 1, whose answer is lost after
	// the effect.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNextAnswers loses the answers of this many further appends.
	LoseNextAnswers int `json:"lose_next_answers"`
	// EffectDelay is how long after its lost answer an append takes effect.
	EffectDelay configuration.Duration `json:"effect_delay"`
	// Latency is added to every append and read.
	Latency configuration.Duration `json:"latency"`
}

// Counts are what a Store has done since its start.
type Counts struct {
	// Appends are calls that took effect, Records their records.
	Appends uint64 `json:"appends"`
	Records uint64 `json:"records"`
	// Throttled are appends refused by the limit.
	Throttled uint64 `json:"throttled"`
	// RefusedByOutage are appends and reads refused by an outage.
	RefusedByOutage uint64 `json:"refused_by_outage"`
	// AnswersLost are appends whose answer was lost.
	AnswersLost uint64 `json:"answers_lost"`
	Reads       uint64 `json:"reads"`
}

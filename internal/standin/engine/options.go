// Package engine is a stand-in for a model engine of a deployment with separate
// prefill and decode engines. An engine has one of these roles, which an order can
// change. It implements the wire format of docs/PROTOCOLS.md.
//
// No model runs: the tokens of an answer are a function of the prompt (type
// Answer), timers simulate the duration of work, and memory is only counted.
package engine

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Range bounds the length of answers in tokens, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Options configure an Engine. Zero values of rates and limits take the defaults
// of DefaultOptions, except where 0 has its own meaning.
type Options struct {
	Name     string             `json:"name"`
	Model    string             `json:"model"`
	Version  string             `json:"version"`
	Adapters []string           `json:"adapters"`
	Role     configuration.Role `json:"role"`
	// Slots is the maximum number of concurrent requests of a decode engine.
	Slots int `json:"slots"`
	// MemoryPieces is the memory for KV cache in pieces, which hold PieceTokens
	// tokens each; 0 means no limit.
	MemoryPieces int `json:"memory_pieces"`
	PieceTokens  int `json:"piece_tokens"`
	// QueueLimit is the maximum number of attempts in the engine's own queue.
	QueueLimit int `json:"queue_limit"`
	// PrefillTokensPerSecond is the prefill rate for tokens that are not cached.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// TokenInterval is the time between tokens with one active request, and
	// TokenIntervalPerRequest is added for each further one.
	TokenInterval           configuration.Duration `json:"token_interval"`
	TokenIntervalPerRequest configuration.Duration `json:"token_interval_per_request"`
	// KVBytesPerToken and LinkBytesPerSecond determine the duration of an
	// import; concurrent imports share the link. A rate of 0 means no limit.
	KVBytesPerToken    int64 `json:"kv_bytes_per_token"`
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// KVRetention is how long a finished prefill's KV cache is kept.
	KVRetention configuration.Duration `json:"kv_retention"`
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int `json:"cache_blocks"`
	// CacheEventLag is the age at which a cache event becomes visible, and
	// CacheEventLoss is the fraction, 0 to 1, of events that never do.
	CacheEventLag  configuration.Duration `json:"cache_event_lag"`
	CacheEventLoss float64                `json:"cache_event_loss"`
	// LoadLag is the age of the load report. HideLoad disables the report (404).
	LoadLag  configuration.Duration `json:"load_lag"`
	HideLoad bool                   `json:"hide_load"`
	// ChecksFencing makes the engine reject orders with a stale fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// OrderDuration is the time between the acceptance of an order and its effect.
	OrderDuration configuration.Duration `json:"order_duration"`
	// OutputTokens is the range of answer lengths; it must be the same on all
	// engines of a model.
	OutputTokens Range `json:"output_tokens"`
	// Seed makes random choices reproducible.
	Seed uint64 `json:"seed"`
}

// DefaultOptions returns the values that replace zero values.
func DefaultOptions() Options {
	return Options{
		Model:                  "drafter",
		Version:                "1",
		Role:                   configuration.RoleDecode,
		Slots:                  20,
		PieceTokens:            16,
		PrefillTokensPerSecond: 20_000,
		TokenInterval:          configuration.Duration(10 * time.Millisecond),
		KVRetention:            configuration.Duration(800 * time.Millisecond),
		CacheBlocks:            4096,
		OutputTokens:           Range{Min: 32, Max: 256},
	}
}

// withDefaults returns the options with the defaults applied to zero values.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Model, d.Model)
	setDefault(&o.Version, d.Version)
	setDefault(&o.Role, d.Role)
	setDefault(&o.Slots, d.Slots)
	setDefault(&o.PieceTokens, d.PieceTokens)
	setDefault(&o.PrefillTokensPerSecond, d.PrefillTokensPerSecond)
	setDefault(&o.TokenInterval, d.TokenInterval)
	setDefault(&o.KVRetention, d.KVRetention)
	setDefault(&o.CacheBlocks, d.CacheBlocks)
	setDefault(&o.OutputTokens, d.OutputTokens)
	return o
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// pieces returns the number of memory pieces that hold a number of tokens.
func (o *Options) pieces(tokens int) int {
	return (tokens + o.PieceTokens - 1) / o.PieceTokens
}

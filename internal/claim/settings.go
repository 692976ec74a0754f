package claim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Shards is the number of log streams that claims are distributed over. It is
// not configurable, since VMs with different values could append the claims of
// one key to different streams, and both could win.
const Shards = 16

// MaxBodyBytes bounds the body of an undelivered answer that is recorded.
const MaxBodyBytes = 16 << 10

// Margin bounds the delay between the log service reading its clock and this VM
// receiving the value.
const Margin = time.Duration(configuration.KeyMargin) / 2

// openInterval is how often this VM opens the shards that it owns.
const openInterval = time.Second

// Defaults of Settings.
const (
	defaultClaimTimeout     = 2 * time.Second
	defaultAppendTimeout    = 500 * time.Millisecond
	defaultAppendsPerSecond = 200
	defaultOutcomeDelay     = 20 * time.Millisecond
	defaultExecuteWithin    = 30 * time.Second
	defaultRetryAfter       = time.Second
	defaultMaxBatch         = 200 // records of one append
	defaultShardIdle        = 10 * time.Minute
	defaultMaxBoundKeys     = 1 << 20
)

// Settings are the timing and limits of this package.
type Settings struct {
	// KeyWindow is how long a key may be used after it was issued.
	KeyWindow time.Duration
	// ClockSkew bounds how far in the future a key may be.
	ClockSkew time.Duration
	// LogRetention is how long the log keeps a record.
	LogRetention time.Duration
	// ClaimTimeout bounds one claim.
	ClaimTimeout time.Duration
	// AppendTimeout bounds one call to the log.
	AppendTimeout time.Duration
	// AppendsPerSecond is the share of the log's append limit that all claims
	// of all VMs may use.
	AppendsPerSecond float64
	// OutcomeDelay is how long an outcome is held back to share the append of a
	// later claim.
	OutcomeDelay time.Duration
	// ExecuteWithin bounds the time between winning a claim and executing.
	ExecuteWithin time.Duration
	// RetryAfter is the delay that callers are given for a repeat.
	RetryAfter time.Duration
	// MaxBatch bounds the records of one append.
	MaxBatch int
	// ShardIdle is how long an unused shard is kept in memory.
	ShardIdle time.Duration
	// MaxBoundKeys bounds the keys that are kept in memory only.
	MaxBoundKeys int
}

// SettingsFrom returns Settings with the times of the fleet-wide configuration
// and the defaults of all other fields.
func SettingsFrom(times configuration.Times) Settings {
	return Settings{
		KeyWindow:        time.Duration(times.KeyWindow),
		ClockSkew:        time.Duration(times.ClockSkew),
		LogRetention:     time.Duration(times.LogRetention),
		ClaimTimeout:     defaultClaimTimeout,
		AppendTimeout:    defaultAppendTimeout,
		AppendsPerSecond: defaultAppendsPerSecond,
		OutcomeDelay:     defaultOutcomeDelay,
		ExecuteWithin:    defaultExecuteWithin,
		RetryAfter:       defaultRetryAfter,
		MaxBatch:         defaultMaxBatch,
		ShardIdle:        defaultShardIdle,
		MaxBoundKeys:     defaultMaxBoundKeys,
	}
}

// Validate checks that the log retains a claim for as long as its key is
// accepted. Errors are of type BadSettings.
func (s *Settings) Validate() error {
	if s.KeyWindow <= 0 || s.ClockSkew < 0 {
		return BadSettings.New("the key window must be positive and the clock skew not negative")
	}
	if s.KeyWindow+s.ClockSkew+2*Margin >= s.LogRetention {
		return BadSettings.New("key window %s + clock skew %s + twice the margin %s must be below the log retention %s",
			s.KeyWindow, s.ClockSkew, Margin, s.LogRetention)
	}
	return nil
}

// checkTime checks the time in a key against the current time. Errors are of
// type KeyExpired or KeyFuture.
func (s *Settings) checkTime(issued, now time.Time) error {
	if now.Sub(issued) > s.KeyWindow {
		return KeyExpired.New("the key is older than %s", s.KeyWindow)
	}
	if issued.Sub(now) > s.ClockSkew {
		return KeyFuture.New("the key is more than %s in the future", s.ClockSkew)
	}
	return nil
}

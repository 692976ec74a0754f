package logservice

import (
	"cmp"
	"time"
)

// AppenderOptions configure an Appender. Zero values stand for the defaults.
type AppenderOptions struct {
	// AppendsPerSecond is this VM's part of the log's append limit; default 50.
	AppendsPerSecond float64
	// Shares are the fractions of AppendsPerSecond that are reserved per purpose.
	// Their sum must be below 1; all purposes share the remainder.
	Shares map[Purpose]float64
	// MaxDelay bounds how long an entry waits to be batched with others; default
	// 50 ms.
	MaxDelay time.Duration
	// MaxEntries and MaxBytes bound the size of one append; default 500 and 1 MiB.
	MaxEntries, MaxBytes int
	// AppendTimeout bounds one call of Service.Append; default 1 s.
	AppendTimeout time.Duration
	// ReadBackTimeout is how long an append in doubt is searched for in the stream
	// before it is sent again; default 500 ms.
	ReadBackTimeout time.Duration
}

const (
	defaultAppendsPerSecond = 50
	defaultMaxDelay         = 50 * time.Millisecond
	defaultMaxEntries       = 500
	defaultMaxBytes         = 1 << 20
	defaultAppendTimeout    = time.Second
	defaultReadBackTimeout  = 500 * time.Millisecond

	// maxInFlight bounds the concurrent appends of one queue.
	maxInFlight = 4
	// targetUtilization is the fraction of the guaranteed rate that batch delays aim at.
	targetUtilization = 0.8
	// readBackLimit is the number of records per read when an append in doubt is
	// searched for.
	readBackLimit = 500
	// readBackRetryDelay is the delay after a failed read or resend of an append in
	// doubt.
	readBackRetryDelay = 100 * time.Millisecond
)

func (o AppenderOptions) withDefaults() AppenderOptions {
	o.AppendsPerSecond = cmp.Or(o.AppendsPerSecond, defaultAppendsPerSecond)
	o.MaxDelay = cmp.Or(o.MaxDelay, defaultMaxDelay)
	o.MaxEntries = cmp.Or(o.MaxEntries, defaultMaxEntries)
	o.MaxBytes = cmp.Or(o.MaxBytes, defaultMaxBytes)
	o.AppendTimeout = cmp.Or(o.AppendTimeout, defaultAppendTimeout)
	o.ReadBackTimeout = cmp.Or(o.ReadBackTimeout, defaultReadBackTimeout)
	return o
}

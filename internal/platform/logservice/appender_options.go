package logservice

import (
	"cmp"
	"time"
)

// AppenderOptions configure an Appender. Zero values stand for the defaults.
type AppenderOptions struct {
	// AppendsPerSecond is this VM's part of the log's append limit; default 50.
	AppendsPerSecond float64
	// Shares are the parts of AppendsPerSecond set aside per purpose; their sum
	// is below 1 and the rest is open to all.
	Shares map[Purpose]float64
	// MaxDelay bounds how long an entry waits for others; default 50 ms.
	MaxDelay time.Duration
	// MaxEntries and MaxBytes bound one append; default 500 and 1 MiB.
	MaxEntries, MaxBytes int
	// AppendTimeout bounds one call of Append; default 1 s.
	AppendTimeout time.Duration
	// ReadBackTimeout is how long a lost append is looked for before it is sent
	// again; default 500 ms.
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
	// targetUtilization is the part of the guaranteed rate that delays aim at.
	targetUtilization = 0.8
	// readBackLimit is the number of records per read when a lost append is
	// looked for.
	readBackLimit = 500
	// readBackRetryDelay is the pause after a failed read.
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

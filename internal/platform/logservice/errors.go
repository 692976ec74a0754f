package logservice

import (
	"time"

	"github.com/joomcode/errorx"
)

// NotAppended is the trait of errors after which it is certain that the append
// has not taken effect and never will.
var NotAppended = errorx.RegisterTrait("not-appended")

var namespace = errorx.NewNamespace("log").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of the log service. Test for them with errorx.IsOfType.
var (
	// Outage means that the service is unavailable.
	Outage = namespace.NewType("outage", NotAppended)
	// Throttled means that the append rate limit was exceeded.
	Throttled = namespace.NewType("throttled", NotAppended)
	// Refused means that the service rejected the append as malformed.
	Refused = namespace.NewType("refused", NotAppended)
	// NotSent means that the caller's context or the Appender ended before the
	// entry was sent.
	NotSent = namespace.NewType("not-sent", NotAppended)
	// InDoubt means that the outcome of an append is unknown, for example because
	// the response was lost: it may have taken effect or may still do so.
	InDoubt = namespace.NewType("in-doubt")
	// Unreadable means that a read failed.
	Unreadable = namespace.NewType("unreadable")
	// BadOptions means that the options are invalid.
	BadOptions = namespace.NewType("bad-options")
)

var retryAfter = errorx.RegisterProperty("retry-after")

// NewThrottled returns a Throttled error that carries the time to wait before a retry.
func NewThrottled(wait time.Duration) error {
	return Throttled.New("append limit reached, retry after %s", wait).WithProperty(retryAfter, wait)
}

// RetryAfter returns the time to wait that a Throttled error carries, or 0 for
// other errors.
func RetryAfter(err error) time.Duration {
	value, ok := errorx.ExtractProperty(err, retryAfter)
	if !ok {
		return 0
	}
	wait, _ := value.(time.Duration)
	return wait
}

package logservice

import (
	"time"

	"github.com/joomcode/errorx"
)

// NotAppended is the trait of errors after which it is certain that the append
// did not take effect and never will.
var NotAppended = errorx.RegisterTrait("not-appended")

var namespace = errorx.NewNamespace("log").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of the log service. Test with errorx.IsOfType.
var (
	// Outage means that the service is away.
	Outage = namespace.NewType("outage", NotAppended)
	// Throttled means that the append limit was reached.
	Throttled = namespace.NewType("throttled", NotAppended)
	// Refused means that the service rejected the append as malformed.
	Refused = namespace.NewType("refused", NotAppended)
	// NotSent means that the caller gave up before its entry was sent.
	NotSent = namespace.NewType("not-sent", NotAppended)
	// InDoubt means that an append's answer was lost: it may have taken effect
	// or may still do so.
	InDoubt = namespace.NewType("in-doubt")
	// Unreadable means that a read failed.
	Unreadable = namespace.NewType("unreadable")
	// BadOptions means that options contradict each other.
	BadOptions = namespace.NewType("bad-options")
)

var retryAfter = errorx.RegisterProperty("retry-after")

// NewThrottled returns a Throttled error that carries the time to wait.
func NewThrottled(wait time.Duration) error {
	return Throttled.New("append limit reached, retry after %s", wait).WithProperty(retryAfter, wait)
}

// RetryAfter returns the time to wait that a Throttled error carries, else 0.
func RetryAfter(err error) time.Duration {
	value, ok := errorx.ExtractProperty(err, retryAfter)
	if !ok {
		return 0
	}
	wait, _ := value.(time.Duration)
	return wait
}

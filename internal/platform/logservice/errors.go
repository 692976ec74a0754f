package logservice

import "github.com/joomcode/errorx"

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
	// InDoubt means that an append's answer was lost: it may have taken effect
	// or may still do so.
	InDoubt = namespace.NewType("in-doubt")
	// Unreadable means that a read failed.
	Unreadable = namespace.NewType("unreadable")
)

package forward

import "github.com/joomcode/errorx"

// NotRun is the trait of errors which guarantee that the call did not run.
var NotRun = errorx.RegisterTrait("plain-not-run")

var namespace = errorx.NewNamespace("forward").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of Forwarder.Do.
var (
	// NoEndpoint means that no endpoint of the service is usable.
	NoEndpoint = namespace.NewType("no-endpoint", NotRun)
	// NoMemory means that too many replies are buffered for another call.
	NoMemory = namespace.NewType("no-memory", NotRun)
	// Unreachable means that no connection was obtained.
	Unreachable = namespace.NewType("unreachable", NotRun)
	// Leaving means that the endpoint refused the call because it is leaving.
	Leaving = namespace.NewType("leaving", NotRun)
	// GivenUp means that Call.MayExecute did not permit the call to be sent.
	GivenUp = namespace.NewType("given-up", NotRun)
	// BadRequest means that the request cannot be expressed in HTTP.
	BadRequest = namespace.NewType("bad-request", NotRun)
	// InDoubt means that the endpoint may have run the call.
	InDoubt = namespace.NewType("in-doubt")
	// CutShort means that the endpoint ran the call but its reply is incomplete.
	CutShort = namespace.NewType("cut-short")
)

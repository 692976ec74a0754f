package claim

import "github.com/joomcode/errorx"

// NotRun is the trait of refusals after which it is certain that this attempt
// executes nothing, now or later. An earlier attempt with the same key may have
// executed; only a repeat with the same key can determine that.
var NotRun = errorx.RegisterTrait("claim-not-run")

var namespace = errorx.NewNamespace("claim").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of this package. Test with errorx.IsOfType, and with
// errorx.HasTrait(err, NotRun) for whether the attempt ran nothing.
var (
	// LogUnavailable means that neither the shard's owner nor this VM could
	// append to the log. Nothing was recorded: the key may be used again.
	LogUnavailable = namespace.NewType("log-away", NotRun)
	// NotSettled means that the claim may be on the log but that its position
	// could not be read in time. The key will be closed as not run.
	NotSettled = namespace.NewType("not-settled", NotRun)
	// KeyMalformed means that the key contains no time or has a form that is
	// not valid for the call.
	KeyMalformed = namespace.NewType("key-malformed", NotRun)
	// KeyExpired means that the key is older than the key window.
	KeyExpired = namespace.NewType("key-expired", NotRun)
	// KeyFuture means that the key is further in the future than the clock skew.
	KeyFuture = namespace.NewType("key-future", NotRun)
	// Full means that the limit of keys kept in memory is reached.
	Full = namespace.NewType("full", NotRun)
	// OwnerUnavailable means that the owner of an answer's key cannot be reached
	// or cannot decide, or that the attempt no longer holds the key.
	OwnerUnavailable = namespace.NewType("owner-away", NotRun)
	// BadSettings means that the settings do not ensure at-most-once execution.
	BadSettings = namespace.NewType("bad-settings")
	// Stopped means that the component was stopped.
	Stopped = namespace.NewType("stopped", NotRun)
)

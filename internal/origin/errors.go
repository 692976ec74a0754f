package origin

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("origin").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of Find, Confirm and the calls of other VMs.
var (
	// Unknown means that all members that were asked responded that they have no record.
	Unknown = namespace.NewType("unknown")
	// Incomplete means that no member that responded has a record, and some did not
	// respond in time.
	Incomplete = namespace.NewType("incomplete")
	// Unconfirmed means that a holder may still have a record with a former build.
	Unconfirmed = namespace.NewType("unconfirmed")
	// TooMany means that a call carried more records than are accepted.
	TooMany = namespace.NewType("too-many")
	// NotArchived means that records may not be in the archive.
	NotArchived = namespace.NewType("not-archived")
	// NotServed means that a VM is of a version that does not serve the call.
	NotServed = namespace.NewType("not-served")
)

package configuration

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("configuration").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors about records and publishes. Test with errorx.IsOfType.
var (
	// UnknownFormat means that a record is written in a format that this
	// program does not know.
	UnknownFormat = namespace.NewType("unknown-format")
	// Malformed means that a record is not well-formed or is inconsistent.
	Malformed = namespace.NewType("malformed")
	// Incomplete means that the log no longer holds records that a publish
	// depends on.
	Incomplete = namespace.NewType("incomplete")
	// Unconfirmed means that it is not known whether a publish was accepted.
	Unconfirmed = namespace.NewType("unconfirmed")
	// NotPublished means that no change was published, or that some changes
	// certainly were not; a Report lists the outcomes of the others.
	NotPublished = namespace.NewType("not-published")
)

package measure

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("measure").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// NoCapacity means that the load has no model-backed class with engines, so
	// that a rate relative to the capacity is undefined.
	NoCapacity = namespace.NewType("no-capacity")
	// UnknownClass means that the settings name a class that the configuration
	// does not have.
	UnknownClass = namespace.NewType("unknown-class")
	// BrokenPromise means that at least one check failed.
	BrokenPromise = namespace.NewType("broken-promise")
	// NoCounts means that the counters of a stand-in cannot be read.
	NoCounts = namespace.NewType("no-counts")
	// BadResult means that a result file cannot be read or compared.
	BadResult = namespace.NewType("bad-result")
)

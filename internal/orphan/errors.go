package orphan

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("orphan").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// errStillHeld means that an engine has not yet released all memory of a
// process.
var errStillHeld = namespace.NewType("still-held")

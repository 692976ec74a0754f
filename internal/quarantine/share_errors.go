package quarantine

import "github.com/joomcode/errorx"

var shareNamespace = errorx.NewNamespace("quarantine").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Unserved means that a VM does not serve the exchange of facts, because it runs an
// earlier version.
var Unserved = shareNamespace.NewType("unserved")

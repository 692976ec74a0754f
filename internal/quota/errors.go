package quota

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("quota").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of calls between VMs.
var (
	// Invalid means that a call had unusable contents.
	Invalid = namespace.NewType("invalid")
)

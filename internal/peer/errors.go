package peer

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("peer").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of the transport between entry VMs.
var (
	// BadCertificate means that certificate files cannot be used.
	BadCertificate = namespace.NewType("bad-certificate")
	// Untrusted means that a peer's certificate is not accepted.
	Untrusted = namespace.NewType("untrusted")
	// NotLoopback means that a peer without certificates is not on loopback.
	NotLoopback = namespace.NewType("not-loopback")
)

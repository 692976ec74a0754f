package peer

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("peer").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of the transport between entry VMs.
var (
	// BadCertificate means that the certificate files are not usable.
	BadCertificate = namespace.NewType("bad-certificate")
	// Untrusted means that a peer's certificate is not accepted.
	Untrusted = namespace.NewType("untrusted")
	// NotLoopback means that an address may not be dialed without certificates
	// because it is not a loopback address.
	NotLoopback = namespace.NewType("not-loopback")
)

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strings"
)

const (
	// identityPrefix begins the names of whole requests. IDs of parts have no colon.
	identityPrefix = "request:"
	// identityHashBytes is the length of the hashes in an identity.
	identityHashBytes = 8
)

// Identity names what is the same whenever a request comes again under another ID:
// "request:REQUEST:CALLER", both hashes. The name without the caller's hash stands for the request of
// any caller.
type Identity string

// Identify returns the identity of a request. The caller is what tells callers apart, such as an address.
func Identify(method, host, target string, body []byte, caller string) Identity {
	request := sha256.New()
	for _, text := range []string{method, host, target} {
		writeText(request, text)
	}
	request.Write(body)
	sum := request.Sum(nil)
	from := sha256.New()
	from.Write(sum)
	writeText(from, caller)
	return Identity(identityPrefix + shorten(sum) + ":" + shorten(from.Sum(nil)))
}

// writeText adds a text with its length, so that two sequences of texts do not run together.
func writeText(to hash.Hash, text string) {
	to.Write(binary.BigEndian.AppendUint32(nil, uint32(len(text))))
	to.Write([]byte(text))
}

func shorten(sum []byte) string { return hex.EncodeToString(sum[:identityHashBytes]) }

// isIdentity reports whether a name stands for a whole request, of one caller or of any.
func isIdentity(name string) bool { return strings.HasPrefix(name, identityPrefix) }

// ofAnyCaller returns the name of a request for all its callers; empty if the name does not stand for the
// request of one caller.
func ofAnyCaller(name string) string {
	if !isIdentity(name) {
		return ""
	}
	end := strings.LastIndexByte(name, ':')
	if end < len(identityPrefix) {
		return ""
	}
	return name[:end]
}

// withAnyCaller returns names and, for each request of one caller among them, its name for any caller. A
// name for any caller is in the result once.
func withAnyCaller(names []string) []string {
	all := slices.Clone(names)
	for _, name := range names {
		if general := ofAnyCaller(name); general != "" && !slices.Contains(all, general) {
			all = append(all, general)
		}
	}
	return all
}

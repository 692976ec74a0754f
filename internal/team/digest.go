package team

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest from hexadecimal text.
func ParseDigest(text string) (Digest, bool) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, false
	}
	copy(digest[:], raw)
	return digest, true
}

// String formats the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

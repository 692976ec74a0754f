// Package prefix computes the chained block hashes by which engines identify
// the entries of their prefix caches, see docs/PROTOCOLS.md.
package prefix

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated number of prompt bytes per token.
	BytesPerToken = 4
	// TokensPerBlock is the block size of prefix cache events, in tokens.
	TokensPerBlock = 256

	blockBytes = BytesPerToken * TokensPerBlock
	hexDigits  = 16
)

// Tokens estimates the number of tokens of a text of n bytes; at least 1.
func Tokens(n int) int {
	return max(1, (n+BytesPerToken-1)/BytesPerToken)
}

// Blocks returns the hashes of the text's complete blocks. Hash n covers blocks
// 0 to n, so equal hashes mean equal prefixes.
func Blocks(text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/blockBytes)
	var digest xxhash.Digest
	var previous [hexDigits]byte
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		digest.Reset()
		if start > 0 {
			_, _ = digest.Write(previous[:])
		}
		_, _ = digest.WriteString(text[start : start+blockBytes])
		hash := digest.Sum64()
		hashes = append(hashes, hash)
		formatHex(&previous, hash)
	}
	return hashes
}

// Hex formats a hash as in prefix cache events.
func Hex(hash uint64) string {
	var digits [hexDigits]byte
	formatHex(&digits, hash)
	return string(digits[:])
}

// ParseHex parses a hash formatted by Hex.
func ParseHex(text string) (uint64, error) {
	return strconv.ParseUint(text, 16, 64)
}

func formatHex(into *[hexDigits]byte, hash uint64) {
	const digits = "0123456789abcdef"
	for i := hexDigits - 1; i >= 0; i-- {
		into[i] = digits[hash&0xf]
		hash >>= 4
	}
}

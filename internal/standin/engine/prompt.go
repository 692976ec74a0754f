package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the parts of a prompt's text.
const (
	// BytesPerToken is the length of a prompt's token.
	BytesPerToken = 4
	// TokensPerBlock is the size of a prefix cache block in tokens.
	TokensPerBlock = 256

	blockBytes = BytesPerToken * TokensPerBlock
)

// Tokens returns the number of tokens of a prompt's text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// BlockHashes returns the chained hashes of the full blocks of a prompt's text.
func BlockHashes(text string) []string {
	hashes := make([]string, 0, len(text)/blockBytes)
	previous := ""
	for len(text) >= blockBytes {
		previous = blockHash(previous, text[:blockBytes])
		hashes = append(hashes, previous)
		text = text[blockBytes:]
	}
	return hashes
}

func blockHash(previous, block string) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(previous)
	_, _ = digest.WriteString(block)
	return fmt.Sprintf("%016x", digest.Sum64())
}

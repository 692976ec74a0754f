package prefix

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEqualHashesMeanEqualPrefixes(t *testing.T) {
	block := strings.Repeat("abcd", TokensPerBlock)
	first := Blocks(block + block + "tail")
	second := Blocks(block + strings.ToUpper(block))
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0], second[0])
	assert.Assert(t, first[1] != second[1])
	assert.Assert(t, first[0] != first[1], "equal blocks at different places share a hash")
}

func TestHexRoundTrip(t *testing.T) {
	const hash = 0x00ff_1234_5678_9abc
	assert.Equal(t, Hex(hash), "00ff123456789abc")
	parsed, err := ParseHex(Hex(hash))
	assert.NilError(t, err)
	assert.Equal(t, parsed, uint64(hash))
}

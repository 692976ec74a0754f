package prefix_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/prefix"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

func TestEqualHashesMeanEqualPrefixes(t *testing.T) {
	block := strings.Repeat("abcd", prefix.TokensPerBlock)
	first := prefix.Blocks(block + block + "tail")
	second := prefix.Blocks(block + strings.ToUpper(block))
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[0], second[0])
	assert.Assert(t, first[1] != second[1])
	assert.Assert(t, first[0] != first[1], "equal blocks at different places share a hash")
}

func TestHexRoundTrip(t *testing.T) {
	const hash = 0x00ff_1234_5678_9abc
	assert.Equal(t, prefix.Hex(hash), "00ff123456789abc")
	parsed, err := prefix.ParseHex(prefix.Hex(hash))
	assert.NilError(t, err)
	assert.Equal(t, parsed, uint64(hash))
}

func TestHashesMatchThoseOfEngines(t *testing.T) {
	text := strings.Repeat("dossier of a band; ", 200)
	want := engine.BlockHashes(text)
	assert.Assert(t, len(want) > 2)
	for i, hash := range prefix.Blocks(text) {
		assert.Equal(t, prefix.Hex(hash), want[i])
	}
}

func TestChatTextJoinsPartsOfAMessage(t *testing.T) {
	var messages []prefix.Message
	raw := `[{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]`
	assert.NilError(t, json.Unmarshal([]byte(raw), &messages))
	assert.Equal(t, prefix.ChatText(messages), "system\nbe brief\nuser\nab\n")
}

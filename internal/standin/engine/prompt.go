package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The measures of a prompt's text.
const (
	// BytesPerToken is the length of a token of a prompt.
	BytesPerToken = 4
	// TokensPerBlock is the size of a block of the prefix cache.
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

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of parts,
// of which the texts count.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is a string or a list of parts: %w", err)
	}
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(part.Text)
	}
	*c = Content(b.String())
	return nil
}

// PromptText returns the text of a chat: for each message its role, a newline,
// its content and a newline.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

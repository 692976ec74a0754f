package prefix

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of parts,
// whose texts are joined.
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

// ChatText returns the text of a chat over which prefix blocks are hashed: for
// each message its role, a newline, its content and a newline.
func ChatText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

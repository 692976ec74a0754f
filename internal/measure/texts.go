package measure

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ospreyshed/ospreyshed/internal/prefix"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// promptGenerator generates the prompts of a run.
type promptGenerator struct{ seed uint64 }

// prompt returns a prompt of about the given number of tokens. It starts with the
// prefix that all prompts of the class share; the rest is unique to the request.
func (t promptGenerator) prompt(c *offeredClass, number, tokens int) string {
	var b strings.Builder
	length := max(tokens, 1) * engine.BytesPerToken
	b.Grow(length)
	pad(&b, min(c.SharedTokens*engine.BytesPerToken, length), c.Class)
	fmt.Fprintf(&b, "%s %d/%d ", c.Class, t.seed, number)
	pad(&b, length, fmt.Sprintf("entry %d of run %d. ", number, t.seed))
	return b.String()
}

// pad appends copies of a filler until b is length bytes long.
func pad(b *strings.Builder, length int, filler string) {
	for b.Len() < length {
		b.WriteString(filler[:min(len(filler), length-b.Len())])
	}
}

// chatPath is the path of chat completions.
const chatPath = "/v1/chat/completions"

// bodyOf returns the body of a request. Model-backed requests set the stream
// option.
func bodyOf(r *plannedRequest) []byte {
	if !r.class.ModelBacked() {
		return plainBody(r)
	}
	body := completionBody{Model: r.class.Model, Stream: true}
	if r.class.Path == chatPath {
		body.Messages = []prefix.Message{{Role: "user", Content: prefix.Content(r.prompt)}}
	} else {
		body.Prompt = r.prompt
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

type completionBody struct {
	Model    string           `json:"model"`
	Prompt   string           `json:"prompt,omitempty"`
	Messages []prefix.Message `json:"messages,omitempty"`
	Stream   bool             `json:"stream"`
}

func plainBody(r *plannedRequest) []byte {
	if r.key == "" {
		return nil
	}
	return fmt.Appendf(nil, `{"number":%d}`, r.number)
}

// pathOf returns the path of a request. It replaces a wildcard at the end by the
// number of the request.
func pathOf(r *plannedRequest) string {
	if prefix, found := strings.CutSuffix(r.class.Path, "*"); found {
		return fmt.Sprintf("%s%d", prefix, r.number)
	}
	return r.class.Path
}

// expectedText returns the correct answer of a stand-in to a model-backed request.
func expectedText(r *plannedRequest, outputs engine.Range) string {
	prompt := r.prompt
	if r.class.Path == chatPath {
		prompt = prefix.ChatText([]prefix.Message{{Role: "user", Content: prefix.Content(prompt)}})
	}
	return engine.NewAnswer(prompt, outputs, r.class.MaxOutputTokens).Text()
}

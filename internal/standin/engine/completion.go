package engine

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/prefix"
	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// requestIDHeader carries the attempt id.
const requestIDHeader = httpserver.RequestIDHeader

// completionBody is the body of a prefill or decode call.
type completionBody struct {
	Model      string           `json:"model"`
	Prompt     *string          `json:"prompt"`
	Messages   []prefix.Message `json:"messages"`
	MaxTokens  int              `json:"max_tokens"`
	Stream     bool             `json:"stream"`
	Priority   int              `json:"priority"`
	ResumeFrom int              `json:"resume_from"`
	ResumeText string           `json:"resume_text"`
	KV         *kvParams        `json:"kv_transfer_params"`
}

// kvParams are the KV transfer parameters of calls and responses.
type kvParams struct {
	DoRemotePrefill bool     `json:"do_remote_prefill"`
	DoRemoteDecode  bool     `json:"do_remote_decode"`
	RemoteEngineID  string   `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []uint64 `json:"remote_block_ids,omitempty"`
	RemoteHost      string   `json:"remote_host,omitempty"`
	RemotePort      int      `json:"remote_port,omitempty"`
}

// completion is a validated prefill or decode call.
type completion struct {
	body completionBody
	id   engine.AttemptID
	chat bool
	text string
	role configuration.Role
}

// parseCompletion decodes and validates a call. Its errors are of type Invalid.
func parseCompletion(r *http.Request, chat bool) (*completion, error) {
	c := &completion{chat: chat}
	var err error
	if c.id, err = engine.ParseAttemptID(r.Header.Get(requestIDHeader)); err != nil {
		return nil, Invalid.Wrap(err, "header %s", requestIDHeader)
	}
	if err := json.NewDecoder(r.Body).Decode(&c.body); err != nil {
		return nil, Invalid.Wrap(err, "body")
	}
	if c.text, err = c.body.text(chat); err != nil {
		return nil, err
	}
	if c.role, err = c.body.role(); err != nil {
		return nil, err
	}
	return c, nil
}

// text returns the prompt's text.
func (b *completionBody) text(chat bool) (string, error) {
	switch {
	case chat && len(b.Messages) == 0:
		return "", Invalid.New("messages: at least one is needed")
	case chat:
		return prefix.ChatText(b.Messages), nil
	case b.Prompt == nil:
		return "", Invalid.New("prompt: missing")
	default:
		return *b.Prompt, nil
	}
}

// role distinguishes prefill calls from decode calls and validates the parameters
// that they need.
func (b *completionBody) role() (configuration.Role, error) {
	switch {
	case b.ResumeFrom < 0:
		return "", Invalid.New("resume_from: negative")
	case b.KV == nil:
		return "", Invalid.New("kv_transfer_params: missing; this engine works in a split deployment only")
	case b.KV.DoRemoteDecode && !b.Stream:
		return configuration.RolePrefill, nil
	case b.KV.DoRemotePrefill && b.Stream && len(b.KV.RemoteBlockIDs) > 0:
		return configuration.RoleDecode, nil
	default:
		return "", Invalid.New("kv_transfer_params: neither those of a prefill nor those of a streamed decode")
	}
}

// attempt creates the state of the call's attempt.
func (c *completion) attempt(o *Options) (*attempt, error) {
	a := newAttempt(c.id, c.body.Priority)
	fullText := c.text + c.body.ResumeText
	a.promptHash = xxhash.Sum64String(fullText)
	a.promptTokens = Tokens(fullText)
	if c.role == configuration.RolePrefill {
		a.blockHashes = BlockHashes(fullText)
		a.pieces = o.pieces(a.promptTokens + 1)
		return a, nil
	}
	a.answer = NewAnswer(c.text, o.OutputTokens, c.body.MaxTokens)
	a.firstToken = c.body.ResumeFrom
	if a.firstToken >= a.answer.Len() {
		return nil, Invalid.New("resume_from: the answer has %d tokens", a.answer.Len())
	}
	output := c.body.MaxTokens
	if output <= 0 {
		output = o.OutputTokens.Max
	}
	a.pieces = o.pieces(Tokens(c.text) + output)
	return a, nil
}

// source returns the location of the KV cache for a decode call.
func (c *completion) source() kvSource {
	return kvSource{host: c.body.KV.RemoteHost, port: c.body.KV.RemotePort, block: c.body.KV.RemoteBlockIDs[0]}
}

package openai

import (
	"encoding/json"
	"maps"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// prefillTransfer makes the prefill engine keep the KV cache for a remote decode.
var prefillTransfer = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`)

// prefillTokens is the number of tokens that a prefill call generates.
const prefillTokens = 1

// prefillBody encodes a prefill call.
func prefillBody(call engine.Call) ([]byte, error) {
	return encodeBody(call, fields{
		"max_tokens":         prefillTokens,
		"stream":             false,
		"kv_transfer_params": prefillTransfer,
	})
}

// decodeBody encodes a decode call.
func decodeBody(call engine.DecodeCall) ([]byte, error) {
	return encodeBody(call.Call, fields{
		"max_tokens":         call.MaxTokens,
		"stream":             true,
		"kv_transfer_params": call.KV,
	})
}

// fields are the top-level members of a request body.
type fields map[string]any

func encodeBody(call engine.Call, extra fields) ([]byte, error) {
	body := make(fields, len(call.Prompt.Options)+len(extra)+6)
	for name, value := range call.Prompt.Options {
		body[name] = value
	}
	maps.Copy(body, extra)
	body["model"] = call.Model
	body["priority"] = call.Priority
	body["resume_from"] = call.ResumeFrom
	if call.ResumeText != "" {
		body["resume_text"] = call.ResumeText
	}
	if call.Prompt.Chat() {
		body["messages"] = call.Prompt.Messages
	} else {
		body["prompt"] = call.Prompt.Text
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, engine.BadRequest.Wrap(err, "encode request of %s", call.Attempt)
	}
	return encoded, nil
}

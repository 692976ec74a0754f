package engine

// prefillAnswer is the answer to a prefill call.
type prefillAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []prefillChoice `json:"choices"`
	Usage   usage           `json:"usage"`
	KV      kvParams        `json:"kv_transfer_params"`
}

type prefillChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *prefillMessage `json:"message,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

type prefillMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (h *handler) prefillAnswer(call *completion, result *prefillResult) prefillAnswer {
	answer := prefillAnswer{
		ID:     result.answerID,
		Object: "text_completion",
		Model:  call.body.Model,
		Usage: usage{
			PromptTokens:     result.prompt,
			CompletionTokens: 1,
			Details:          usageDetails{CachedTokens: result.cached},
		},
		KV: kvParams{
			DoRemotePrefill: true,
			RemoteEngineID:  h.engine.options.Name,
			RemoteBlockIDs:  result.blocks,
			RemoteHost:      h.host,
			RemotePort:      h.port,
		},
	}
	choice := prefillChoice{FinishReason: "length"}
	if call.chat {
		answer.Object = "chat.completion"
		choice.Message = &prefillMessage{Role: "assistant"}
	} else {
		choice.Text = new(string)
	}
	answer.Choices = []prefillChoice{choice}
	return answer
}

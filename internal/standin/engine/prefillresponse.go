package engine

// prefillResponse is the body of the response to a prefill call.
type prefillResponse struct {
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

func (h *handler) prefillResponse(call *completion, result *prefillResult) prefillResponse {
	response := prefillResponse{
		ID:     result.responseID,
		Object: "text_completion",
		Model:  call.body.Model,
		Usage: usage{
			PromptTokens:     result.promptTokens,
			CompletionTokens: 1,
			Details:          usageDetails{CachedTokens: result.cachedTokens},
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
		response.Object = "chat.completion"
		choice.Message = &prefillMessage{Role: "assistant"}
	} else {
		choice.Text = new(string)
	}
	response.Choices = []prefillChoice{choice}
	return response
}

package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/prefix"
	"github.com/ospreyshed/ospreyshed/internal/problem"
)

// completionBody is the parsed body of a model-backed request.
type completionBody struct {
	model     string
	stream    bool
	maxTokens int
	prompt    engine.Prompt
	// text is the prompt's text, used for prefix hashing and to estimate its length.
	text string
}

// readBody reads the request body up to the maximum size. If that fails, it sends
// the refusal and returns false.
func (g *Gateway) readBody(x *exchange) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, g.options.BodyBytes))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		g.refuse(x, problem.New(problem.TooLarge, http.StatusRequestEntityTooLarge, problem.NotRun, detail))
		return nil, false
	}
	g.refuse(x, problem.New(problem.BadRequest, http.StatusBadRequest, problem.NotRun, "the body could not be read"))
	return nil, false
}

// reservedMembers are members of the body that only the router sets. Those sent by
// the caller are dropped.
var reservedMembers = []string{"resume_from", "resume_text", "kv_transfer_params", "priority", "stream_options"}

// parseCompletion parses and validates a body. The error lists all findings.
func parseCompletion(data []byte, chat bool) (completionBody, error) {
	var report finding.Report
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil {
		report.Addf("", "the body is not a JSON object: %v", err)
		return completionBody{}, report.Err()
	}
	var body completionBody
	extractMember(&report, members, "model", &body.model)
	extractMember(&report, members, "stream", &body.stream)
	extractMaxTokens(&report, members, &body)
	extractPrompt(&report, members, chat, &body)
	extractCount(&report, members)
	for _, name := range reservedMembers {
		delete(members, name)
	}
	body.prompt.Options = members
	if body.model == "" {
		report.Addf("model", "a model is required")
	}
	return body, report.Err()
}

// extractMember removes a member from the body and decodes it. The variable keeps
// its value if the member is absent or null.
func extractMember(report *finding.Report, members map[string]json.RawMessage, name string, into any) {
	raw, found := members[name]
	delete(members, name)
	if !found || string(raw) == "null" {
		return
	}
	if err := json.Unmarshal(raw, into); err != nil {
		report.Addf(name, "wrong type: %v", err)
	}
}

// extractMaxTokens accepts both names of the limit on output tokens.
func extractMaxTokens(report *finding.Report, members map[string]json.RawMessage, body *completionBody) {
	before := report.Len()
	extractMember(report, members, "max_tokens", &body.maxTokens)
	extractMember(report, members, "max_completion_tokens", &body.maxTokens)
	if report.Len() == before && body.maxTokens < 0 {
		report.Addf("max_tokens", "must not be negative")
	}
}

// extractPrompt decodes the prompt of a text completion or the messages of a chat.
func extractPrompt(report *finding.Report, members map[string]json.RawMessage, chat bool, body *completionBody) {
	if !chat {
		extractMember(report, members, "prompt", &body.prompt.Text)
		body.text = body.prompt.Text
		if body.prompt.Text == "" {
			report.Addf("prompt", "a prompt of text is required")
		}
		return
	}
	var messages []prefix.Message
	raw := members["messages"]
	extractMember(report, members, "messages", &messages)
	if len(messages) == 0 {
		report.Addf("messages", "at least one message is required")
		return
	}
	body.prompt.Messages = raw
	body.text = prefix.ChatText(messages)
}

// extractCount checks that one answer is requested.
func extractCount(report *finding.Report, members map[string]json.RawMessage) {
	count := 1
	extractMember(report, members, "n", &count)
	if count != 1 {
		report.Addf("n", "only one answer per request is served")
	}
}

// checkBounds checks a body against the limits of its class and applies the class's
// default for the output tokens. If a limit is exceeded, it sends the refusal and
// returns false.
func (g *Gateway) checkBounds(x *exchange, body *completionBody) bool {
	var report finding.Report
	if body.maxTokens == 0 {
		body.maxTokens = x.class.MaxOutputTokens
	}
	if body.maxTokens > x.class.MaxOutputTokens {
		report.Addf("max_tokens", "the class %s allows at most %d", x.class.Name, x.class.MaxOutputTokens)
	}
	if tokens := prefix.Tokens(len(body.text)); x.class.MaxPromptTokens > 0 && tokens > x.class.MaxPromptTokens {
		report.Addf("prompt", "about %d tokens; the class %s allows at most %d", tokens, x.class.Name, x.class.MaxPromptTokens)
	}
	if err := report.Err(); err != nil {
		g.refuse(x, badRequest(err))
		return false
	}
	return true
}

// badRequest converts an input error to a problem that lists all findings.
func badRequest(err error) *problem.Details {
	d := problem.New(problem.BadRequest, http.StatusBadRequest, problem.NotRun, "")
	var findings *finding.Error
	if errors.As(err, &findings) {
		d.Findings = findings.Findings
	} else {
		d.Detail = err.Error()
	}
	return d
}

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

// completionBody is a parsed request of a model-backed class.
type completionBody struct {
	model     string
	stream    bool
	maxTokens int
	prompt    engine.Prompt
	// text is the prompt's text for prefix hashing and length.
	text string
}

// readBody reads a request body within the bound.
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

// reservedMembers are members that the router sets itself.
var reservedMembers = []string{"resume_from", "resume_text", "kv_transfer_params", "priority", "stream_options"}

// parseCompletion checks a body and reports all that is wrong with it.
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

// extractMember moves a member into a variable; an absent member leaves it as it is.
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

// extractMaxTokens accepts both names of the bound on the answer.
func extractMaxTokens(report *finding.Report, members map[string]json.RawMessage, body *completionBody) {
	before := report.Len()
	extractMember(report, members, "max_tokens", &body.maxTokens)
	extractMember(report, members, "max_completion_tokens", &body.maxTokens)
	if report.Len() == before && body.maxTokens < 0 {
		report.Addf("max_tokens", "must not be negative")
	}
}

// extractPrompt takes the prompt of a text completion or the messages of a chat.
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

// extractCount refuses requests for more than one answer.
func extractCount(report *finding.Report, members map[string]json.RawMessage) {
	count := 1
	extractMember(report, members, "n", &count)
	if count != 1 {
		report.Addf("n", "only one answer per request is served")
	}
}

// checkBounds checks a body against its class.
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

// badRequest turns an input error into a problem with all findings.
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

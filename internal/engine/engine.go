// Package engine defines the interface between the router and a model engine, and
// the typed id that ties every engine call to one attempt of one request.
//
// Package engine/openai implements Client for the wire format of docs/PROTOCOLS.md.
// Support for another wire format is another implementation of Client.
package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
)

// AttemptID identifies one attempt of one request. It includes the VM and the VM's
// incarnation, so that a response to a previous incarnation can be recognised.
type AttemptID struct {
	// VM is the name of the sending entry VM.
	VM string
	// Incarnation is the incarnation number of the sending process.
	Incarnation uint64
	// Request is the sequence number of the request in the incarnation.
	Request uint64
	// Attempt is the sequence number of the attempt of the request, from 1 on.
	Attempt uint32
}

// String formats the id as "<vm>.<incarnation>.<request>.<attempt>".
func (a AttemptID) String() string {
	b := make([]byte, 0, len(a.VM)+44)
	b = append(b, a.VM...)
	b = append(b, '.')
	b = strconv.AppendUint(b, a.Incarnation, 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, a.Request, 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(a.Attempt), 10)
	return string(b)
}

// attemptIDParts is the number of dot-separated parts of an attempt id.
const attemptIDParts = 4

// ParseAttemptID parses the format of AttemptID.String. VM names contain no dots.
func ParseAttemptID(text string) (AttemptID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != attemptIDParts || parts[0] == "" {
		return AttemptID{}, BadAttemptID.New("%q is not <vm>.<incarnation>.<request>.<attempt>", text)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return AttemptID{}, BadAttemptID.Wrap(err, "incarnation of %q", text)
	}
	request, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return AttemptID{}, BadAttemptID.Wrap(err, "request of %q", text)
	}
	attempt, err := strconv.ParseUint(parts[3], 10, 32)
	if err != nil {
		return AttemptID{}, BadAttemptID.Wrap(err, "attempt of %q", text)
	}
	return AttemptID{VM: parts[0], Incarnation: incarnation, Request: request, Attempt: uint32(attempt)}, nil
}

// Prompt is the input of a completion, in the form the caller chose.
type Prompt struct {
	// Text is the prompt of /v1/completions.
	Text string
	// Messages is the raw "messages" array of /v1/chat/completions; nil for a text prompt.
	Messages json.RawMessage
	// Options are further sampling fields of the caller, passed on unchanged.
	Options map[string]json.RawMessage
}

// Chat reports whether the prompt is a chat.
func (p *Prompt) Chat() bool { return p.Messages != nil }

// Call holds the fields that prefill and decode calls have in common.
type Call struct {
	Attempt AttemptID
	Model   string
	Prompt  *Prompt
	// Priority orders work on the engine; higher first.
	Priority int
	// ResumeFrom is the number of tokens already delivered; 0 for a first attempt.
	ResumeFrom int
	// ResumeText is the text of the tokens already delivered.
	ResumeText string
}

// PrefillResult is the outcome of a prefill.
type PrefillResult struct {
	// KV are the transfer parameters for the decode call.
	KV json.RawMessage
	// PromptTokens is the length of the prompt, CachedTokens the part of it that
	// was served from the prefix cache.
	PromptTokens int
	CachedTokens int
}

// DecodeCall starts a decode from a finished prefill.
type DecodeCall struct {
	Call
	KV        json.RawMessage
	MaxTokens int
}

// Token is one event of a decode stream.
type Token struct {
	// Index is the position of the token in the answer, from 0 on.
	Index int
	// Text is valid until the next call of Stream.Next.
	Text []byte
	// FinishReason is empty except for the last token.
	FinishReason string
	// Foreign is the number of events of other attempts that were dropped since
	// the previous token. It is also set if Next returns an error.
	Foreign int
}

// Stream yields the tokens of one decode attempt. Next returns io.EOF after the
// terminal event and a CutShort error if the stream ends without it.
type Stream interface {
	Next() (Token, error)
	Close() error
}

// CancelResult is an engine's acknowledgement of a cancel.
type CancelResult struct {
	// HeldPieces is the engine memory that the attempt still holds, in pieces.
	HeldPieces int
}

// LoadReport is an engine's own report of its load, which may be out of date.
type LoadReport struct {
	Slots, Active, Queued int
	Pieces, PiecesFree    int
	Leaving               bool
	// ChecksFencing says whether the engine refuses old fencing numbers.
	ChecksFencing bool
}

// Client is the interface of the request path to one engine. Implementations are
// safe for concurrent use.
type Client interface {
	// Prefill runs the prompt and keeps its KV cache for a decode on another engine.
	Prefill(ctx context.Context, call Call) (PrefillResult, error)
	// Decode imports the KV cache and streams tokens. It returns once the
	// engine has accepted the call and the import has finished.
	Decode(ctx context.Context, call DecodeCall) (Stream, error)
	// Cancel releases all resources that the attempt holds. It is idempotent.
	Cancel(ctx context.Context, id AttemptID) (CancelResult, error)
	// CancelIncarnation cancels all attempts of one incarnation of an entry VM.
	CancelIncarnation(ctx context.Context, vm string, incarnation uint64) (CancelResult, error)
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
}

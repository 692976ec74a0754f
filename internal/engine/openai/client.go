// Package openai implements engine.Client for the OpenAI-compatible wire format
// with KV transfer parameters that docs/PROTOCOLS.md specifies.
//
// Every response is checked for the id of its call, which is that of the attempt if there is
// one. A response to another call yields engine.Crossed. Events of other attempts in a stream are
// dropped and counted; the token index then shows whether one of the stream's own
// events is missing.
package openai

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"

	requestIDHeader = "X-Request-Id"
	leavingHeader   = "Ospreyshed-Leaving"

	// maxResponseBytes bounds a non-streamed response of an engine, in bytes.
	maxResponseBytes = 1 << 20
	// maxDetailBytes bounds what an error shows of a refusal, and what may follow the last event
	// of a stream, in bytes.
	maxDetailBytes = 512
	// bodyEndTimeout bounds the wait for the end of the body after the last event of a stream. The
	// caller's answer ends after it.
	bodyEndTimeout = 20 * time.Millisecond
)

var (
	errTooLong = errors.New("the response is longer than allowed")
	errMissing = errors.New("the response has no member")

	jsonNull = []byte("null")
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	address  string
	upstream *upstream.Client
}

var _ engine.Client = (*Client)(nil)

// New returns a client for the engine at address, an IP number and port. The
// upstream client is one of NewUpstream; several engines may share it.
func New(address string, client *upstream.Client) *Client {
	return &Client{address: address, upstream: client}
}

// Prefill implements engine.Client.
func (c *Client) Prefill(ctx context.Context, call engine.Call) (engine.PrefillResult, error) {
	body, err := prefillBody(call)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	response, err := c.post(ctx, completionPath(call.Prompt), call.Attempt.String(), body)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	defer response.Close()
	return readPrefill(response, call.Attempt)
}

// prefillResponse is the part of a prefill's response that the router reads.
type prefillResponse struct {
	ID    string `json:"id"`
	Usage struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	KVTransferParams json.RawMessage `json:"kv_transfer_params"`
}

func readPrefill(body io.Reader, id engine.AttemptID) (engine.PrefillResult, error) {
	var response prefillResponse
	if err := decodeJSON(body, &response, "id", "kv_transfer_params"); err != nil {
		return engine.PrefillResult{}, engine.Unavailable.Wrap(err, "prefill answer")
	}
	if response.ID != id.String() {
		return engine.PrefillResult{}, engine.Crossed.New("prefill of %s answered for %s", id, response.ID)
	}
	return engine.PrefillResult{
		KV:           response.KVTransferParams,
		PromptTokens: response.Usage.PromptTokens,
		CachedTokens: response.Usage.PromptTokensDetails.CachedTokens,
	}, nil
}

// Decode implements engine.Client. The stream owns the response's body.
func (c *Client) Decode(ctx context.Context, call engine.DecodeCall) (engine.Stream, error) {
	body, err := decodeBody(call)
	if err != nil {
		return nil, err
	}
	response, err := c.post(ctx, completionPath(call.Prompt), call.Attempt.String(), body)
	if err != nil {
		return nil, err
	}
	s := newStream(response, call.Attempt, func(complete bool) { closeStream(response, complete) })
	if err := s.awaitImport(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// cancelResponse is an engine's acknowledgement of a cancel. ID and State are set if it is that of
// one attempt.
type cancelResponse struct {
	ID         string `json:"id"`
	State      string `json:"state"`
	HeldPieces int    `json:"held_pieces"`
}

// cancelStates are the states of an attempt after a cancel.
var cancelStates = []string{"cancelled", "unknown", "finished"}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, id engine.AttemptID) (engine.CancelResult, error) {
	result, err := c.cancel(ctx, "/v1/requests/"+url.PathEscape(id.String())+"/cancel", "id", "state", "held_pieces")
	switch {
	case err != nil:
		return engine.CancelResult{}, err
	case result.ID != id.String():
		return engine.CancelResult{}, engine.Crossed.New("cancel of %s answered for %s", id, result.ID)
	case !slices.Contains(cancelStates, result.State):
		return engine.CancelResult{}, engine.Unavailable.New("cancel of %s answered %q", id, result.State)
	}
	return engine.CancelResult{HeldPieces: result.HeldPieces}, nil
}

// CancelIncarnation implements engine.Client.
func (c *Client) CancelIncarnation(ctx context.Context, vm string, incarnation uint64) (engine.CancelResult, error) {
	path := "/v1/incarnations/" + url.PathEscape(vm) + "/" + strconv.FormatUint(incarnation, 10) + "/cancel"
	result, err := c.cancel(ctx, path, "cancelled", "held_pieces")
	return engine.CancelResult{HeldPieces: result.HeldPieces}, err
}

func (c *Client) cancel(ctx context.Context, path string, required ...string) (cancelResponse, error) {
	response, err := c.post(ctx, path, "", nil)
	if err != nil {
		return cancelResponse{}, err
	}
	defer response.Close()
	var result cancelResponse
	if err := decodeJSON(response, &result, required...); err != nil {
		return cancelResponse{}, engine.Unavailable.Wrap(err, "cancel answer")
	}
	return result, nil
}

// loadResponse is an engine's load report.
type loadResponse struct {
	Slots         int  `json:"slots"`
	Active        int  `json:"active"`
	Queued        int  `json:"queued"`
	Pieces        int  `json:"pieces"`
	PiecesFree    int  `json:"pieces_free"`
	Leaving       bool `json:"leaving"`
	ChecksFencing bool `json:"checks_fencing"`
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context) (engine.LoadReport, error) {
	var response loadResponse
	if err := c.get(ctx, "/v1/load", &response, "slots", "active"); err != nil {
		return engine.LoadReport{}, err
	}
	return engine.LoadReport(response), nil
}

// get sends a GET request and decodes the JSON response.
func (c *Client) get(ctx context.Context, path string, into any, required ...string) error {
	response, err := c.do(ctx, &upstream.Request{Method: http.MethodGet, Target: path, Header: http.Header{}}, "")
	if err != nil {
		return err
	}
	defer response.Close()
	if err := decodeJSON(response, into, required...); err != nil {
		return engine.Unavailable.Wrap(err, "GET %s", path)
	}
	return nil
}

// post sends a JSON body and returns the response if its status is 200. The attempt is empty
// for calls that belong to none.
func (c *Client) post(ctx context.Context, path, attempt string, body []byte) (*upstream.Response, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	return c.do(ctx, &upstream.Request{Method: http.MethodPost, Target: path, Header: header, Body: body}, attempt)
}

// do sends a request. An error has the trait engine.NotRun only if no byte was sent or the
// engine's refusal states so.
func (c *Client) do(ctx context.Context, request *upstream.Request, attempt string) (*upstream.Response, error) {
	// A call that belongs to no attempt has an ID of its own, so that its response is recognized.
	id := attempt
	if id == "" {
		id = rand.Text()
	}
	request.Header.Set(requestIDHeader, id)
	request.IDOptional = true
	response, err := c.upstream.Do(ctx, c.address, request)
	if err != nil {
		return nil, errorType(err).Wrap(err, "%s %s", request.Method, request.Target)
	}
	if response.Status == http.StatusOK {
		return response, nil
	}
	defer response.Close()
	return nil, statusError(response, attempt)
}

// errorType returns the type of the error of an exchange without a response.
func errorType(err error) *errorx.Type {
	switch {
	case errorx.IsOfType(err, upstream.NotSent):
		return engine.Unreachable
	case errorx.IsOfType(err, upstream.Foreign):
		return engine.Crossed
	default:
		return engine.Unavailable
	}
}

// statusError converts a status other than 200 to a typed error. A status that states that nothing
// runs counts only if the response is whole and names the attempt: it could be meant for another
// one, and an engine that stops within a response is not known to have refused the call.
func statusError(response *upstream.Response, attempt string) error {
	detail, err := readWhole(response)
	text := string(bytes.TrimSpace(detail[:min(len(detail), maxDetailBytes)]))
	switch {
	case err != nil:
		return engine.Unavailable.Wrap(err, "status %d: %s", response.Status, text)
	case !response.Framed:
		return engine.Unavailable.New("status %d without length or chunks: %s", response.Status, text)
	case attempt != "" && response.Header.Get(requestIDHeader) != attempt:
		return engine.Unavailable.New("status %d without the attempt %s: %s", response.Status, attempt, text)
	}
	switch response.Status {
	case http.StatusBadRequest, http.StatusNotFound:
		return engine.BadRequest.New("status %d: %s", response.Status, text)
	case http.StatusGone:
		return engine.Evicted.New("status %d: %s", response.Status, text)
	case http.StatusTooManyRequests:
		return engine.Busy.New("status %d: %s", response.Status, text)
	case http.StatusConflict:
		// The engine answers so, too, if it ran the attempt until it was cancelled.
		return engine.Cancelled.New("status %d: %s", response.Status, text)
	case http.StatusServiceUnavailable:
		if response.Header.Get(leavingHeader) == "true" {
			return engine.Leaving.New("status %d: %s", response.Status, text)
		}
	}
	return engine.Unavailable.New("status %d: %s", response.Status, text)
}

func completionPath(p *engine.Prompt) string {
	if p.Chat() {
		return chatPath
	}
	return completionsPath
}

// readWhole reads a body to its end and returns an error if it is cut or too long.
func readWhole(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err == nil && len(text) > maxResponseBytes {
		err = errTooLong
	}
	return text, err
}

// decodeJSON decodes a whole body. Only a body that ends with its value is whole, also without
// length or chunks. An object without the required members is no answer: an engine may send
// an error with status 200.
func decodeJSON(body io.Reader, into any, required ...string) error {
	text, err := readWhole(body)
	if err != nil {
		return err
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(text, &members); err != nil {
		return err
	}
	for _, name := range required {
		if value := members[name]; value == nil || bytes.Equal(value, jsonNull) {
			return fmt.Errorf("%w %q: %s", errMissing, name, text[:min(len(text), maxDetailBytes)])
		}
	}
	return json.Unmarshal(text, into)
}

// closeStream closes the response of a stream. The end of the body follows the last event of a
// complete stream at once; only after it the connection can be used again.
func closeStream(response *upstream.Response, complete bool) {
	if complete {
		timer := time.AfterFunc(bodyEndTimeout, response.Abort)
		_, _ = io.CopyN(io.Discard, response, maxDetailBytes)
		timer.Stop()
	}
	response.Close()
}

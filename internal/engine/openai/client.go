// Package openai implements engine.Client for the OpenAI-compatible wire format
// with KV transfer parameters that docs/PROTOCOLS.md specifies.
//
// Every response is checked for the attempt id of its call. A prefill response for
// another attempt yields engine.Crossed. Events of other attempts in a stream are
// dropped and counted; the token index then shows whether one of the stream's own
// events is missing.
package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"

	requestIDHeader = "X-Request-Id"
	leavingHeader   = "Ospreyshed-Leaving"

	// maxResponseBytes bounds a non-streamed response of an engine, in bytes.
	maxResponseBytes = 1 << 20
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ engine.Client = (*Client)(nil)

// New returns a client for the engine at address, an IP number and port. The
// HTTP client must not bound the whole call, since decode streams are long.
func New(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Prefill implements engine.Client.
func (c *Client) Prefill(ctx context.Context, call engine.Call) (engine.PrefillResult, error) {
	body, err := prefillBody(call)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	resp, err := c.post(ctx, completionPath(call.Prompt), call.Attempt.String(), body)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	defer closeBody(resp)
	return readPrefill(resp, call.Attempt)
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

func readPrefill(resp *http.Response, id engine.AttemptID) (engine.PrefillResult, error) {
	var response prefillResponse
	if err := decodeJSON(resp.Body, &response); err != nil {
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
	resp, err := c.post(ctx, completionPath(call.Prompt), call.Attempt.String(), body) //nolint:bodyclose // the stream closes it
	if err != nil {
		return nil, err
	}
	s := newStream(resp.Body, call.Attempt)
	if err := s.awaitImport(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// cancelResponse is an engine's acknowledgement of a cancel.
type cancelResponse struct {
	HeldPieces int `json:"held_pieces"`
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, id engine.AttemptID) (engine.CancelResult, error) {
	return c.cancel(ctx, "/v1/requests/"+url.PathEscape(id.String())+"/cancel")
}

// CancelIncarnation implements engine.Client.
func (c *Client) CancelIncarnation(ctx context.Context, vm string, incarnation uint64) (engine.CancelResult, error) {
	return c.cancel(ctx, "/v1/incarnations/"+url.PathEscape(vm)+"/"+strconv.FormatUint(incarnation, 10)+"/cancel")
}

func (c *Client) cancel(ctx context.Context, path string) (engine.CancelResult, error) {
	resp, err := c.post(ctx, path, "", nil)
	if err != nil {
		return engine.CancelResult{}, err
	}
	defer closeBody(resp)
	var response cancelResponse
	if err := decodeJSON(resp.Body, &response); err != nil {
		return engine.CancelResult{}, engine.Unavailable.Wrap(err, "cancel answer")
	}
	return engine.CancelResult{HeldPieces: response.HeldPieces}, nil
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
	if err := c.get(ctx, "/v1/load", &response); err != nil {
		return engine.LoadReport{}, err
	}
	return engine.LoadReport(response), nil
}

// get sends a GET request and decodes the JSON response.
func (c *Client) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return engine.BadRequest.Wrap(err, "GET %s", path)
	}
	resp, err := c.do(req)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	if err := decodeJSON(resp.Body, into); err != nil {
		return engine.Unavailable.Wrap(err, "GET %s", path)
	}
	return nil
}

// post sends a JSON body and returns the response if its status is 200.
func (c *Client) post(ctx context.Context, path, requestID string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, engine.BadRequest.Wrap(err, "POST %s", path)
	}
	req.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		req.Header.Set(requestIDHeader, requestID)
	}
	return c.do(req)
}

// do sends a request. An error has the trait engine.NotRun only if no
// connection was obtained or the engine's status says so.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, engine.Unreachable.Wrap(err, "%s %s", req.Method, req.URL.Path)
	}
	if err != nil {
		return nil, engine.Unavailable.Wrap(err, "%s %s", req.Method, req.URL.Path)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer closeBody(resp)
	return nil, statusError(resp)
}

// statusError converts a status other than 200 to a typed error.
func statusError(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	text := string(bytes.TrimSpace(detail))
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound:
		return engine.BadRequest.New("status %d: %s", resp.StatusCode, text)
	case http.StatusGone:
		return engine.Evicted.New("status %d: %s", resp.StatusCode, text)
	case http.StatusTooManyRequests:
		return engine.Busy.New("status %d: %s", resp.StatusCode, text)
	case http.StatusConflict:
		return engine.Cancelled.New("status %d: %s", resp.StatusCode, text)
	case http.StatusServiceUnavailable:
		if resp.Header.Get(leavingHeader) == "true" {
			return engine.Leaving.New("status %d: %s", resp.StatusCode, text)
		}
	}
	return engine.Unavailable.New("status %d: %s", resp.StatusCode, text)
}

func completionPath(p *engine.Prompt) string {
	if p.Chat() {
		return chatPath
	}
	return completionsPath
}

func decodeJSON(r io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(into)
}

// closeBody drains a short remainder of the body, so that the connection can be
// reused, and closes it.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4096)
	_ = resp.Body.Close()
}

// Package caller is a client of the router's HTTP API for callers. It checks that
// answers are complete and measures their latency.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("caller").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// CutShort means that an answer ended before its terminal event or its stated
	// length.
	CutShort = namespace.NewType("cut-short")
	// Unreachable means that the request could not be sent or got no response.
	Unreachable = namespace.NewType("unreachable")
)

// Request is one request of a caller.
type Request struct {
	Method string
	Path   string
	Body   []byte
	// Stream is true if the body requests server-sent events.
	Stream bool
	// Class names the class of request, empty to let the router choose.
	Class string
	// Key is the idempotency key, empty for none.
	Key string
	// Attempt is the number of the attempt with the key, starting at 1. With 0 the
	// header is omitted.
	Attempt int
}

// Answer is the result of a request.
type Answer struct {
	Status int
	// RequestID is the router's id of the request.
	RequestID string
	// Outcome is the Ospreyshed-Outcome header, empty unless refused.
	Outcome string
	// Problem is the type of a refusal or of the error that ended a stream, Detail
	// its explanation.
	Problem, Detail string
	// RetryAfter is the Retry-After header.
	RetryAfter string
	// Text is the text of a model's answer, Body that of a plain service.
	Text string
	Body []byte
	// Tokens is the number of token events of a stream.
	Tokens int
	// FirstToken and Whole are the times from sending the request to the first token
	// and to the end of the answer.
	FirstToken, Whole time.Duration
	// Gaps are the times between the tokens of a stream.
	Gaps []time.Duration
}

// OK reports whether the status is in the 2xx range.
func (a Answer) OK() bool { return a.Status >= 200 && a.Status < 300 }

// Client sends requests to one entry VM or a load balancer.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client of an address with a team's bearer key.
func New(address, key string, client *http.Client) *Client {
	return &Client{base: "http://" + address, key: key, http: client}
}

// Do sends a request and reads its complete answer. The error is CutShort or
// Unreachable; a refusal is not an error.
func (c *Client) Do(ctx context.Context, request Request) (Answer, error) {
	started := time.Now()
	resp, err := c.send(ctx, &request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer := Answer{
		Status:     resp.StatusCode,
		RequestID:  resp.Header.Get("X-Request-Id"),
		Outcome:    resp.Header.Get("Ospreyshed-Outcome"),
		RetryAfter: resp.Header.Get("Retry-After"),
	}
	if answer.OK() && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = answer.readStream(resp.Body, started)
	} else {
		err = answer.readBody(resp.Body)
	}
	answer.Whole = time.Since(started)
	return answer, err
}

func (c *Client) send(ctx context.Context, request *Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, request.Method, c.base+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, Unreachable.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if len(request.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if request.Class != "" {
		req.Header.Set("Ospreyshed-Class", request.Class)
	}
	if request.Key != "" {
		req.Header.Set("Idempotency-Key", request.Key)
	}
	if request.Attempt > 0 {
		req.Header.Set("Ospreyshed-Attempt", strconv.Itoa(request.Attempt))
	}
	// Without GetBody, net/http does not resend a request on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Unreachable.Wrap(err, "%s %s", request.Method, request.Path)
	}
	return resp, nil
}

// readBody reads an answer that is not streamed.
func (a *Answer) readBody(body io.Reader) error {
	data, err := io.ReadAll(body)
	a.Body = data
	if err != nil {
		return CutShort.Wrap(err, "%s", a.RequestID)
	}
	var known struct {
		Type    string `json:"type"`
		Detail  string `json:"detail"`
		Choices []struct {
			Text    string `json:"text"`
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	// A plain service may answer in any format, so a body that is not JSON is not an
	// error.
	_ = json.Unmarshal(data, &known)
	a.Problem, a.Detail = known.Type, known.Detail
	if len(known.Choices) == 1 {
		a.Text = known.Choices[0].Text + known.Choices[0].Message.Content
	}
	return nil
}

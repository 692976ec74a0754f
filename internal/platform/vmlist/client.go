package vmlist

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	listPath     = "/v1/vms"
	maxListBytes = 8 << 20
	callTimeout  = 2 * time.Second
)

var namespace = errorx.NewNamespace("vmlist").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Unavailable means that the list could not be fetched or decoded.
var Unavailable = namespace.NewType("unavailable")

// Client fetches the list over HTTP. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the service at a base URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{
		url:  strings.TrimSuffix(base, "/") + listPath,
		http: &http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// List implements Service. The error is Unavailable.
func (c *Client) List(ctx context.Context) (List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, Unavailable.Wrap(err, "request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, Unavailable.Wrap(err, "fetch")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return List{}, Unavailable.New("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return List{}, Unavailable.Wrap(err, "fetch")
	}
	list, err := decodeList(text)
	if err != nil {
		return List{}, Unavailable.Wrap(err, "decode")
	}
	return list, nil
}

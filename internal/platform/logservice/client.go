package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	maxResponseBytes  = 64 << 20
	maxErrorTextBytes = 1 << 10
	defaultRetryAfter = time.Second
	contentTypeJSON   = "application/json"
)

// Client implements the log's wire protocol over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the log at address, an IP address and port. The
// client sets no timeout; calls are bounded by their contexts. It does not follow
// redirects.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

type wireEntry struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

type wireAppend struct {
	Records []wireEntry `json:"records"`
}

type wireAppended struct {
	FirstOffset *uint64 `json:"first_offset"`
	Count       int     `json:"count"`
}

type wireRecord struct {
	Offset     uint64 `json:"offset"`
	TimeMillis int64  `json:"time_ms"`
	wireEntry
}

type wirePage struct {
	FirstOffset *uint64      `json:"first_offset"`
	NextOffset  *uint64      `json:"next_offset"`
	TimeMillis  int64        `json:"time_ms"`
	Records     []wireRecord `json:"records"`
}

// Append implements Service.
func (c *Client) Append(ctx context.Context, stream string, entries []Entry) (uint64, error) {
	request, err := c.appendRequest(ctx, stream, entries)
	if err != nil {
		return 0, Refused.Wrap(err, "building the append request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, appendTransportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, appendStatusError(response)
	}
	return decodeAppended(response.Body, len(entries))
}

func (c *Client) appendRequest(ctx context.Context, stream string, entries []Entry) (*http.Request, error) {
	body := wireAppend{Records: make([]wireEntry, len(entries))}
	for i, entry := range entries {
		body.Records[i] = wireEntry(entry)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	return request, nil
}

func (c *Client) recordsURL(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// appendTransportError classifies the error of an append that got no response.
// Only after a failed dial is it certain that nothing was sent.
func appendTransportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Outage.Wrap(err, "connecting to the log")
	}
	return InDoubt.Wrap(err, "append got no response")
}

// appendStatusError classifies an append response with a status other than 200.
func appendStatusError(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status == http.StatusTooManyRequests:
		return NewThrottled(parseRetryAfter(response.Header))
	case status == http.StatusServiceUnavailable:
		return Outage.New("the log responded with status %s", response.Status)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return Refused.New("the log responded with status %s: %s", response.Status, errorText(response.Body))
	default:
		return InDoubt.New("the log responded with status %s", response.Status)
	}
}

func errorText(body io.Reader) string {
	text, err := io.ReadAll(io.LimitReader(body, maxErrorTextBytes))
	if err != nil {
		return "unreadable response body"
	}
	return string(bytes.TrimSpace(text))
}

func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

func decodeAppended(body io.Reader, count int) (uint64, error) {
	var appended wireAppended
	if err := decode(body, &appended); err != nil {
		return 0, InDoubt.Wrap(err, "decoding the append response")
	}
	if appended.FirstOffset == nil || appended.Count != count {
		return 0, InDoubt.New("the append response does not confirm all %d records", count)
	}
	return *appended.FirstOffset, nil
}

func decode(body io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(into)
}

// Read implements Service.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, Unreadable.Wrap(err, "building the read request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Page{}, Unreadable.Wrap(err, "reading the log")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Page{}, Unreadable.New("the log responded with status %s", response.Status)
	}
	return decodePage(response.Body)
}

func decodePage(body io.Reader) (Page, error) {
	var wire wirePage
	if err := decode(body, &wire); err != nil {
		return Page{}, Unreadable.Wrap(err, "decoding the read response")
	}
	if wire.FirstOffset == nil || wire.NextOffset == nil {
		return Page{}, Unreadable.New("read response lacks first_offset or next_offset")
	}
	page := Page{
		FirstOffset: *wire.FirstOffset,
		NextOffset:  *wire.NextOffset,
		Time:        time.UnixMilli(wire.TimeMillis),
		Records:     make([]Record, len(wire.Records)),
	}
	for i, record := range wire.Records {
		page.Records[i] = Record{
			Offset: record.Offset,
			Time:   time.UnixMilli(record.TimeMillis),
			Entry:  Entry(record.wireEntry),
		}
	}
	return page, nil
}

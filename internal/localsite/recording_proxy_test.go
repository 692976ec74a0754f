package localsite

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// recordingProxy is an HTTP proxy between entry VMs and a service. It records the
// requests and responses, and aborts them while partitioned is set. It works on
// HTTP rather than TCP so that it records complete messages.
type recordingProxy struct {
	name        string
	target      string
	server      *httptest.Server
	client      *http.Client
	partitioned atomic.Bool

	mu       sync.Mutex
	messages []*message
}

// message is one request through a proxy with its response.
type message struct {
	mu       sync.Mutex
	request  string
	response strings.Builder
}

// newRecordingProxy starts a proxy in front of an address.
func newRecordingProxy(t testing.TB, name, target string) *recordingProxy {
	t.Helper()
	p := &recordingProxy{name: name, target: target, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	p.server = httptest.NewServer(p)
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
		p.client.CloseIdleConnections()
	})
	return p
}

func (p *recordingProxy) addr() string { return p.server.Listener.Addr().String() }

// periodic reports whether a request is sent periodically. Such requests are not
// recorded because their number depends on timing.
func periodic(r *http.Request) bool {
	switch r.URL.Path {
	case "/v1/load", "/v1/vms", "/v1/cache/events", "/v1/state":
		return true
	}
	if strings.HasPrefix(r.URL.Path, "/v1/streams/leases") {
		return true
	}
	return r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/streams/")
}

// ServeHTTP implements http.Handler.
func (p *recordingProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.partitioned.Load() {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	m := p.record(r, body)
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	request.GetBody = nil
	response, err := p.client.Do(request)
	if err != nil {
		m.write("(no answer)\n")
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	m.write(fmt.Sprintf("%d\n", response.StatusCode))
	p.copy(w, response, m)
}

// copy forwards a response as its parts arrive.
func (p *recordingProxy) copy(w http.ResponseWriter, response *http.Response, m *message) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		m.write(string(buffer[:n]))
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil || p.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
		if err == io.EOF {
			return
		}
		if err != nil {
			if response.Request.Context().Err() == nil {
				m.write("(cut)\n")
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// recordedHeaders are the request headers that are recorded.
var recordedHeaders = []string{"X-Request-Id", "Idempotency-Key"}

func (p *recordingProxy) record(r *http.Request, body []byte) *message {
	m := &message{}
	if periodic(r) {
		return m
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s\n", r.Method, r.URL.RequestURI())
	for _, name := range recordedHeaders {
		if value := r.Header.Get(name); value != "" {
			fmt.Fprintf(&text, "%s: %s\n", name, value)
		}
	}
	text.WriteString(sortedJSON(body))
	m.request = text.String()
	p.mu.Lock()
	p.messages = append(p.messages, m)
	p.mu.Unlock()
	return m
}

// sortedJSON returns a JSON body with sorted object keys, other bodies as they are.
func sortedJSON(body []byte) string {
	var value any
	if len(body) == 0 || json.Unmarshal(body, &value) != nil {
		return string(body)
	}
	sorted, err := json.Marshal(value)
	if err != nil {
		return string(body)
	}
	return string(sorted) + "\n"
}

func (m *message) write(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.response.WriteString(text)
}

func (m *message) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ">> " + m.request + "<< " + strings.TrimRight(m.response.String(), "\n") + "\n"
}

// transcript returns all messages in the order in which their requests arrived.
func (p *recordingProxy) transcript() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all strings.Builder
	for _, m := range p.messages {
		all.WriteString(m.String())
	}
	return all.String()
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// kvPath is the path from which a decode stand-in fetches a kept KV cache.
const kvPath = "/standin/kv/{block:[0-9]+}/take"

// kvTimeout limits the duration of the call that fetches a KV cache.
const kvTimeout = 2 * time.Second

// kvSource is the location of a kept KV cache.
type kvSource struct {
	host  string
	port  int
	block uint64
}

// address returns the prefill engine's address, an IP address and port.
func (s *kvSource) address() string {
	return net.JoinHostPort(s.host, strconv.Itoa(s.port))
}

// kvRequest is the body of the call that fetches a KV cache.
type kvRequest struct {
	// PromptHash is the xxhash64 of the prompt's text and the resumed tokens.
	PromptHash uint64 `json:"prompt_hash"`
}

// kvExport describes an exported KV cache.
type kvExport struct {
	// Tokens is the number of tokens in the KV cache, Computed that of tokens
	// which were not cached before the prefill.
	Tokens   int `json:"tokens"`
	Computed int `json:"computed"`
}

func newKVClient() *http.Client {
	return &http.Client{Timeout: kvTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// takeKV fetches a KV cache from its prefill engine, which then frees its memory.
// Every failure is an Evicted error.
func (e *Engine) takeKV(ctx context.Context, source kvSource, promptHash uint64) (kvExport, error) {
	var export kvExport
	body, err := json.Marshal(kvRequest{PromptHash: promptHash})
	if err != nil {
		return export, Evicted.Wrap(err, "KV cache %d", source.block)
	}
	url := fmt.Sprintf("http://%s/standin/kv/%d/take", source.address(), source.block)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return export, Evicted.Wrap(err, "KV cache %d", source.block)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return export, Evicted.Wrap(err, "KV cache %d", source.block)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return export, Evicted.New("KV cache %d: %s", source.block, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&export); err != nil {
		return export, Evicted.Wrap(err, "KV cache %d", source.block)
	}
	return export, nil
}

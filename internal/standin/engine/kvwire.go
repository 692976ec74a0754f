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

// kvPath is where an engine hands a kept KV cache to another stand-in.
const kvPath = "/standin/kv/{block:[0-9]+}/take"

// kvTimeout bounds the call for a KV cache.
const kvTimeout = 2 * time.Second

// kvSource says where the KV cache of a prefill is kept.
type kvSource struct {
	host  string
	port  int
	block uint64
}

// address returns the prefill engine's address, an IP number and port.
func (s *kvSource) address() string {
	return net.JoinHostPort(s.host, strconv.Itoa(s.port))
}

// kvRequest is the body of a call for a KV cache.
type kvRequest struct {
	// PromptHash is the xxhash64 of the prompt's text and the resumed tokens.
	PromptHash uint64 `json:"prompt_hash"`
}

// kvExport describes the KV cache handed over.
type kvExport struct {
	// Tokens is the size of the KV cache, Computed the tokens that were not
	// cached before the prefill.
	Tokens   int `json:"tokens"`
	Computed int `json:"computed"`
}

func newKVClient() *http.Client {
	return &http.Client{Timeout: kvTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// takeKV takes a KV cache from its prefill engine, which frees its memory. Every
// failure is an Evicted error.
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

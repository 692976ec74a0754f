package httpheader

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndToEndDropsHopByHopHeaders(t *testing.T) {
	from := http.Header{
		"Connection":          {"X-Private, close", "X-Other"},
		"X-Private":           {"x"},
		"X-Other":             {"x"},
		"Keep-Alive":          {"timeout=5"},
		"Proxy-Authenticate":  {"x"},
		"Proxy-Authorization": {"x"},
		"Proxy-Connection":    {"keep-alive"},
		"Te":                  {"trailers"},
		"Trailer":             {"X-Sum"},
		"Transfer-Encoding":   {"chunked"},
		"Upgrade":             {"x"},
		"X-Kept":              {"1", "2"},
	}
	before := from.Clone()
	assert.DeepEqual(t, EndToEnd(from), http.Header{"X-Kept": {"1", "2"}})
	assert.DeepEqual(t, from, before)
}

func TestEndToEndOfNilIsEmpty(t *testing.T) {
	assert.DeepEqual(t, EndToEnd(nil), http.Header{})
}

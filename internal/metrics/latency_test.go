package metrics

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLatencyCountsUpToEachBound(t *testing.T) {
	latency := NewLatency()
	for _, ms := range []int{1, 4, 20, 90, 90, 400, 120_000} {
		latency.Observe(time.Duration(ms) * time.Millisecond)
	}
	values := latency.Vars()
	for name, want := range map[string]string{
		"count": "7", "le_5_ms": "2", "le_25_ms": "3", "le_100_ms": "5", "le_500_ms": "6", "le_30000_ms": "6", "p50_ms": "90",
	} {
		assert.Equal(t, values.Get(name).String(), want, name)
	}
}

func TestTextHasOneLinePerValue(t *testing.T) {
	registry := NewRegistry()
	latency := NewLatency()
	latency.Observe(20 * time.Millisecond)
	registry.Mount("answers", latency.Vars())
	text := registry.Text()
	assert.Assert(t, strings.Contains(text, "answers_count 1\n"), text)
	assert.Assert(t, strings.Contains(text, "answers_le_25_ms 1\n"), text)
}

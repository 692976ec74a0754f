package scheduling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitSeparatesLatencyFromRate(t *testing.T) {
	const latency, perToken = 80 * time.Millisecond, 30 * time.Microsecond
	var fit prefillFit
	assert.Equal(t, fit.latency(time.Second), time.Second, "nothing was observed")
	for _, tokens := range []int{800, 3000, 6500, 1200, 2500, 5000, 900, 4000, 3300, 2100, 1700, 2900} {
		fit.observe(tokens, latency+time.Duration(tokens)*perToken)
	}
	off := fit.latency(0) - latency
	assert.Assert(t, off.Abs() < time.Millisecond, "%v", fit.latency(0))
}

func TestFitOfEqualPromptsKeepsTheDefault(t *testing.T) {
	var fit prefillFit
	for range 50 {
		fit.observe(3000, 170*time.Millisecond)
	}
	assert.Equal(t, fit.latency(5*time.Millisecond), 5*time.Millisecond)
}

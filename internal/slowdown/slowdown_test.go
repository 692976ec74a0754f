package slowdown

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a statement that counts in full whatever its age, and against a mean that keeps
// an endpoint excluded after it was slow for long.
func TestStatementDecaysToTheMeanAndTheMeanToUsual(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1000, 0)
	assert.Equal(t, tracker.Estimate(now), 0.0)
	for range 100 {
		tracker.Observe(now, 1)
		now = now.Add(100 * time.Millisecond)
	}
	tracker.Observe(now, 5)
	near := func(after time.Duration, want float64) {
		t.Helper()
		got := tracker.Estimate(now.Add(after))
		assert.Assert(t, math.Abs(got-want) < 0.05*want, "got %f, want %f", got, want)
	}
	near(0, 5)
	near(currentDecay, 1.2+(5-1.2)/math.E)
	near(4*currentDecay, 1.25)
	near(time.Minute, 1)
	tracker.Observe(now.Add(-time.Second), 9)
	near(0, 5)
	for _, wrong := range []float64{0, -1, math.NaN()} {
		tracker.Observe(now.Add(time.Second), wrong)
	}
	near(0, 5)
}

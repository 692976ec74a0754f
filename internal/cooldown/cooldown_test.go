package cooldown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	bounds = Bounds{First: time.Second, Longest: 5 * time.Second}
)

func TestCooldownDoublesUpToTheLongest(t *testing.T) {
	var c Cooldown
	now := start
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		assert.Assert(t, c.Fail(now, bounds))
		assert.Equal(t, c.Until().Sub(now), want)
		now = c.Until()
	}
}

func TestFailuresDuringACooldownCountOnce(t *testing.T) {
	var c Cooldown
	assert.Assert(t, c.Fail(start, bounds))
	assert.Assert(t, !c.Fail(start.Add(bounds.First-1), bounds))
	assert.Equal(t, c.Until(), start.Add(bounds.First))
	assert.Assert(t, !c.Over(start.Add(bounds.First-1)))
	assert.Assert(t, c.Over(start.Add(bounds.First)))
}

func TestExtendLengthensACooldown(t *testing.T) {
	var c Cooldown
	c.Extend(start, bounds)
	c.Extend(start, bounds)
	assert.Equal(t, c.Until(), start.Add(2*bounds.First))
}

func TestEndHalvedHalvesTheNextCooldown(t *testing.T) {
	var c Cooldown
	for range 3 {
		c.Extend(start, bounds)
	}
	c.EndHalved()
	assert.Assert(t, c.Over(start))
	c.Extend(start, bounds)
	assert.Equal(t, c.Until(), start.Add(4*bounds.First))
}

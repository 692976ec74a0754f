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

func TestAbsenceDoublesUpToTheLongest(t *testing.T) {
	var a Cooldown
	now := start
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		assert.Assert(t, a.Fail(now, bounds))
		assert.Equal(t, a.Until().Sub(now), want)
		now = a.Until()
	}
}

func TestFailuresDuringAnAbsenceCountOnce(t *testing.T) {
	var a Cooldown
	assert.Assert(t, a.Fail(start, bounds))
	assert.Assert(t, !a.Fail(start.Add(bounds.First-1), bounds))
	assert.Equal(t, a.Until(), start.Add(bounds.First))
	assert.Assert(t, !a.Over(start.Add(bounds.First-1)))
	assert.Assert(t, a.Over(start.Add(bounds.First)))
}

func TestExtendLengthensAnAbsence(t *testing.T) {
	var a Cooldown
	a.Extend(start, bounds)
	a.Extend(start, bounds)
	assert.Equal(t, a.Until(), start.Add(2*bounds.First))
}

func TestEndHalvedHalvesTheNextAbsence(t *testing.T) {
	var a Cooldown
	for range 3 {
		a.Extend(start, bounds)
	}
	a.EndHalved()
	assert.Assert(t, a.Over(start))
	a.Extend(start, bounds)
	assert.Equal(t, a.Until(), start.Add(4*bounds.First))
}

package endpoint

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// A time that an endpoint asks for holds until its end and is not shortened by a later answer. A long one
// ended after half a minute, and the endpoint got requests in the rest of it.
func TestEndpointThatAskedForQuietIsNotPicked(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	now := time.Unix(1_700_000_000, 0)
	r.now = func() time.Time { return now }
	candidates := []*configuration.Endpoint{{Name: "e1"}}
	picked := func() bool { return r.PickLeastLoaded(candidates, "", nil) != nil }
	assert.Assert(t, picked())
	r.MarkQuiet("e1", 3*time.Second)
	r.MarkQuiet("e1", time.Second)
	assert.Equal(t, r.QuietFor("e1"), 3*time.Second)
	assert.Equal(t, r.QuietFor("e2"), time.Duration(0))
	assert.Assert(t, !picked())
	assert.Assert(t, r.Usable("e1"), "other VMs may use it")
	now = now.Add(3 * time.Second)
	assert.Assert(t, picked())
	r.MarkQuiet("e1", 10*time.Minute)
	now = now.Add(10*time.Minute - time.Nanosecond)
	assert.Assert(t, !picked())
	now = now.Add(time.Nanosecond)
	assert.Assert(t, picked())
}

// A step of the time of day must not end the time that an endpoint asked for, which it did when it was
// compared without the monotonic clock.
func TestStepOfTheTimeOfDayDoesNotEndQuiet(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	step := time.Duration(0)
	r.now = func() time.Time { return stepped(time.Now(), step) }
	r.MarkQuiet("e1", time.Minute)
	for _, step = range []time.Duration{5 * time.Minute, -5 * time.Minute} {
		assert.Assert(t, r.QuietFor("e1") > 50*time.Second, "step of %v: %v left", step, r.QuietFor("e1"))
	}
}

// stepped returns a time whose time of day is changed by whole seconds while its monotonic reading
// stays, as after a step of the system's clock.
func stepped(now time.Time, step time.Duration) time.Time {
	const secondsShift = 30 // of time.Time's first word, if it has a monotonic reading
	*(*uint64)(unsafe.Pointer(&now)) += uint64(int64(step/time.Second)) << secondsShift
	return now
}

package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// A zone is partitioned from the others: each attempt on an endpoint in another zone
// costs its caller the connection timeout.
func TestUnreachableEndpointsArePassedOver(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRegistry(timeline.Discard)
	r.now = func() time.Time { return now }
	local := &configuration.Endpoint{Name: "near", Zone: "a"}
	remote := []*configuration.Endpoint{{Name: "far1", Zone: "b"}, {Name: "far2", Zone: "c"}}
	all := append([]*configuration.Endpoint{local}, remote...)
	r.MarkUnreachable("near")
	for range 10 {
		assert.Assert(t, r.PickLeastLoaded(all, "a", nil) != local)
	}
	r.MarkUnreachable("far1")
	r.MarkUnreachable("far2")
	assert.Equal(t, r.PickLeastLoaded(all, "a", nil), local, "all are tried if none is reachable")

	now = now.Add(baseUnreachable)
	assert.Equal(t, r.PickLeastLoaded(all, "a", nil), local, "it is tried again")
	r.MarkUnreachable("near")
	now = now.Add(baseUnreachable)
	assert.Assert(t, r.PickLeastLoaded(all, "a", nil) != local, "the time doubles")
	r.Observe("near", []string{"near"}, true, time.Millisecond)
	assert.Equal(t, r.PickLeastLoaded(all, "a", nil), local)
}

func TestEndpointsWithoutSamplesDoNotMakeOthersSlow(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	group := []string{"used", "idle1", "idle2"}
	for range 2 * slowSamples {
		r.Observe("used", group, true, 2*slowFloor)
	}
	assert.Assert(t, r.Usable("used"))
}

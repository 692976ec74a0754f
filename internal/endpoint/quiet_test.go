package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// A time that an endpoint asks for holds until its end, is not shortened by a later answer and
// keeps no endpoint out of service for long.
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
	r.MarkQuiet("e1", 365*24*time.Hour)
	now = now.Add(maxQuiet)
	assert.Assert(t, picked())
}

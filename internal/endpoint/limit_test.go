package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Answers overtake each other: an answer to an earlier call must not undo what a later one said.
func TestOlderObservationOfALimitChangesNothing(t *testing.T) {
	r := NewRegistry(timeline.Discard)
	at := time.Unix(1_700_000_000, 0)
	named := Limit{Named: true, PerSecond: 3}
	assert.Assert(t, !r.ObserveLimit("e1", Limit{}, at), "nothing was named before")
	assert.Assert(t, r.ObserveLimit("e1", named, at.Add(2*time.Second)))
	assert.Assert(t, !r.ObserveLimit("e1", Limit{}, at.Add(time.Second)))
	limit, since := r.Limit("e1")
	assert.Equal(t, limit, named)
	assert.Equal(t, since, at.Add(2*time.Second))
	assert.Assert(t, !r.ObserveLimit("e1", Limit{Named: true, PerSecond: 5}, at.Add(3*time.Second)), "it still names one")
	assert.Assert(t, r.ObserveLimit("e1", Limit{}, at.Add(4*time.Second)))
	limit, _ = r.Limit("e1")
	assert.Equal(t, limit, Limit{})
	limit, _ = r.Limit("e2")
	assert.Equal(t, limit, Limit{}, "another start of the endpoint has no limit")
}

package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func records(pairs ...string) []Record {
	var all []Record
	for i := 0; i < len(pairs); i += 2 {
		all = append(all, Record{Key: pairs[i], Value: []byte(pairs[i+1])})
	}
	return all
}

func keys(changes []Record) []string {
	var all []string
	for _, rec := range changes {
		all = append(all, rec.Key)
	}
	return all
}

// A delayed copy of an older value once restored an endpoint that had left.
func TestDelayedCopiesChangeNothing(t *testing.T) {
	r := newReplica(endpointMeaning)
	apply := func(value string) int {
		return len(r.applyPage(Page{Records: records("e1", value), Next: r.next + 1}))
	}
	assert.Equal(t, apply("ready 5"), 1)
	assert.Equal(t, apply("draining 4"), 0, "a copy of an older value")
	assert.Equal(t, apply("ready 6"), 0, "the same meaning")
	assert.Equal(t, apply("draining 7"), 1)
	assert.Equal(t, apply(""), 1)
	assert.Equal(t, apply(""), 0, "it is deleted already")
	assert.Equal(t, apply("draining 7"), 0, "a delayed copy does not restore it")
	assert.Equal(t, apply("ready 8"), 1, "a newer value restores it")
}

func TestKeysMissingAfterAnOutageAreKeptForAWhile(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := newReplica(endpointMeaning)
	r.applyListing(Page{Records: records("e1", "ready 1", "e2", "ready 1"), Next: 2}, time.Time{})
	assert.Equal(t, len(r.applyListing(Page{Records: records("e2", "ready 1"), Next: 2}, now.Add(simGrace))), 0)
	assert.Equal(t, len(r.expire(now)), 0)
	assert.Equal(t, len(r.applyListing(Page{Records: records("e2", "ready 1"), Next: 2}, time.Time{})), 0, "a further listing does not drop it")
	assert.DeepEqual(t, keys(r.expire(now.Add(simGrace))), []string{"e1"})

	// A key that is in the listing after the outage and not in a later one has left.
	r.applyListing(Page{Records: records("e2", "ready 1"), Next: 2}, now.Add(simGrace))
	assert.DeepEqual(t, keys(r.applyListing(Page{Next: 2}, time.Time{})), []string{"e2"})

	assert.Equal(t, len(r.applyPage(Page{Records: records("e1", "ready 9"), Next: 3})), 1)
	assert.DeepEqual(t, keys(r.applyListing(Page{Next: 3}, time.Time{})), []string{"e1"})
}

// Whatever a source has gone through, an update makes a follower's state equal to it.
// A deletion that came from a listing has no record of its own, and one that the source
// has forgotten is not in its update.
func TestUpdatesMakeStatesEqual(t *testing.T) {
	source, follower := newReplica(endpointMeaning), newReplica(endpointMeaning)
	now := time.Unix(1_700_000_000, 0)
	step := 0
	sync := func(what string) {
		t.Helper()
		step++
		_, same := follower.adopt(source.updateSince(follower.next, !follower.listed), now)
		assert.Assert(t, same, "%d: %s", step, what)
		assert.Equal(t, follower.next, source.next)
	}
	source.applyListing(Page{Records: records("e1", "ready 1", "e2", "ready 1", "e3", "ready 1"), Next: 10}, time.Time{})
	sync("the first state")
	source.applyPage(Page{Records: records("e1", "draining 2", "e4", "ready 1"), Next: 12})
	sync("changed and new keys")
	source.applyPage(Page{Records: records("e4", "ready 2"), Next: 13})
	assert.Equal(t, len(source.updateSince(12, false).entries), 0, "renewals are not passed on")
	sync("a renewal")
	source.applyListing(Page{Records: records("e1", "draining 2", "e4", "ready 2"), Next: 13}, now)
	sync("keys that are missing for a while")
	source.expire(now)
	sync("keys that did not come back, at the same offset")
	for n := range 2 * maxDeleted {
		key := fmt.Sprint("x", n)
		source.applyPage(Page{Records: records(key, "ready 1", key, ""), Next: source.next + 2})
	}
	source.applyPage(Page{Records: records("e4", ""), Next: source.next + 1})
	assert.Assert(t, source.updateSince(follower.next, false).whole, "deletions were forgotten")
	sync("more deletions than are remembered")
}

// A follower that differs from its source, for whatever reason, must find that out.
func TestDifferingStateIsNoticed(t *testing.T) {
	source, follower := newReplica(endpointMeaning), newReplica(endpointMeaning)
	source.applyListing(Page{Records: records("e1", "ready 1"), Next: 5}, time.Time{})
	follower.applyListing(Page{Records: records("e1", "ready 1", "e9", "ready 1"), Next: 5}, time.Time{})
	_, same := follower.adopt(source.updateSince(5, false), time.Time{})
	assert.Assert(t, !same)
	changes, same := follower.adopt(source.updateSince(5, true), time.Time{})
	assert.Assert(t, same)
	assert.DeepEqual(t, keys(changes), []string{"e9"})
}

func TestEncodingKeepsUpdates(t *testing.T) {
	source := newReplica(endpointMeaning)
	source.applyListing(Page{Records: records("e1", "ready 1"), Next: 5}, time.Time{})
	source.applyPage(Page{Records: records("e1", "", "e2", "ready 3"), Next: 7})
	sent := Response{Held: 1500 * time.Nanosecond, Topics: []TopicUpdate{{Topic: "t", Age: 1500 * time.Nanosecond, update: source.updateSince(0, false)}}}
	got := responseFromProto(responseToProto(&sent))
	assert.Equal(t, got.Held, time.Microsecond, "the time held is rounded down")
	assert.Equal(t, got.Topics[0].Age, 2*time.Microsecond, "an age is rounded up")
	follower := newReplica(endpointMeaning)
	follower.applyListing(Page{Records: records("e1", "ready 1"), Next: 5}, time.Time{})
	_, same := follower.adopt(got.Topics[0].update, time.Time{})
	assert.Assert(t, same)
}

package builds

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observation is the builds that are registered from a time on.
type observation struct {
	after  time.Duration
	builds []string
}

// A stream whose record no VM has may go on only if no other build can have begun it.
func TestSoleBuildIsTheOnlyOneThatMayHaveBegunAStream(t *testing.T) {
	start := time.Now()
	ago := func(d time.Duration) time.Time { return start.Add(-d) }
	v1, v2, both := []string{"v1"}, []string{"v2"}, []string{"v1", "v2"}
	const era = 2
	record := func(serving []string, left ...Left) *Record {
		return &Record{Service: "pool", Serving: serving, Left: left, Era: era}
	}
	for _, c := range []struct {
		name string
		seen []observation
		// record is what the store has when the process starts.
		record *Record
		at     time.Duration
		want   string
	}{
		{"no engine", []observation{{0, nil}}, record(nil), 0, ""},
		{"just started, no record", []observation{{0, v1}}, nil, 0, ""},
		{"observed for almost a minute", []observation{{0, v1}}, nil, Memory - 1, ""},
		{"observed for a minute", []observation{{0, v1}}, nil, Memory, "v1"},
		{"just started, record names the build", []observation{{0, v1}}, record(v1), 0, "v1"},
		{"just started, record names another one", []observation{{0, v2}}, record(v1), 0, ""},
		{"just started, record names two", []observation{{0, v2}}, record(both), 0, ""},
		{"the other one was missing for almost a minute", []observation{{0, v2}}, record(both), Memory - 1, ""},
		{"the other one was missing for a minute", []observation{{0, v2}}, record(both), Memory, "v2"},
		{"the other one left lately", []observation{{0, v2}}, record(v2, Left{"v1", ago(time.Second)}), 0, ""},
		{"the other one left a minute ago", []observation{{0, v2}}, record(v2, Left{"v1", ago(Memory)}), 0, "v2"},
		{"the other one left in the future", []observation{{0, v2}}, record(v2, Left{"v1", ago(-time.Hour)}), 0, ""},
		{"a time in the future counts as now", []observation{{0, v2}}, record(v2, Left{"v1", ago(-time.Hour)}), Memory, "v2"},
		{"record began lately", []observation{{0, v1}}, &Record{Service: "pool", Serving: v1, Since: ago(time.Second), Era: era}, 0, ""},
		{"record began a minute ago", []observation{{0, v1}}, &Record{Service: "pool", Serving: v1, Since: ago(Memory), Era: era}, 0, "v1"},
		{"record of an earlier era", []observation{{0, v1}}, &Record{Service: "pool", Serving: v1, Era: era - 1}, 0, ""},
		{"two builds", []observation{{0, both}}, record(both), Memory, ""},
		{"replaced a moment ago", []observation{{0, v1}, {Memory, v2}}, record(v1), Memory, ""},
		{"replaced a minute ago", []observation{{0, v1}, {Memory, v2}}, record(v1), 2 * Memory, "v2"},
		{"replaced a moment ago, no record", []observation{{0, v1}, {Memory, v2}}, nil, Memory, ""},
		{"replaced a minute ago, no record", []observation{{0, v1}, {Memory, v2}}, nil, 2 * Memory, "v2"},
		{"gone", []observation{{0, v1}, {time.Second, nil}}, record(v1), Memory, ""},
		{"back", []observation{{0, v1}, {time.Second, nil}, {2 * time.Second, v1}}, record(v1), Memory, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory(func() uint64 { return era })
			if c.record != nil {
				assert.NilError(t, h.Apply(start, *c.record))
			}
			h.RecordsKnown()
			for _, o := range c.seen {
				h.Observe(start.Add(o.after), map[string][]string{"pool": o.builds, "desk": {"v9"}})
			}
			sole, ok := h.Sole(start.Add(c.at), "pool")
			assert.Equal(t, sole, c.want)
			assert.Equal(t, ok, c.want != "")
		})
	}
}

// Builds may come and go while a VM is held up or cut off from the store.
func TestInterruptedObservationProvesNothing(t *testing.T) {
	start := time.Now()
	h := NewHistory(func() uint64 { return 0 })
	assert.NilError(t, h.Apply(start, Record{Service: "pool", Serving: []string{"v1"}}))
	h.RecordsKnown()
	h.Observe(start, map[string][]string{"pool": {"v1"}})
	now := start.Add(2 * Memory)
	_, ok := h.Sole(now, "pool")
	assert.Assert(t, ok)
	h.Interrupt(now)
	_, ok = h.Sole(now, "pool")
	assert.Assert(t, !ok)
	assert.Assert(t, h.Wanted(), "the records must be read again")
	h.Refreshed()
	_, ok = h.Sole(now, "pool")
	assert.Assert(t, ok)
}

// A VM that starts after a kill of all VMs would have no trace of a build that no record lists, however
// long the store has accepted none.
func TestUnlistedBuildIsHeldUntilARecordListsIt(t *testing.T) {
	start := time.Now()
	const long = time.Hour
	one, both := map[string][]string{"pool": {"v1"}}, map[string][]string{"pool": {"v1", "v2"}}
	v1, v2 := Record{Service: "pool", Serving: []string{"v1"}}, Record{Service: "pool", Serving: []string{"v1", "v2"}}
	for _, c := range []struct {
		name     string
		records  []Record
		observed map[string][]string
		held     bool
	}{
		{"first build of a service", nil, one, false},
		{"two first builds", nil, both, true},
		{"unlisted", []Record{v1}, both, true},
		{"listed", []Record{v1, v2}, both, false},
		{"listed as having left", []Record{{Service: "pool", Serving: []string{"v1"}, Left: []Left{{"v2", start}}}}, both, true},
		{"alone and unlisted", []Record{{Service: "pool", Serving: []string{"v0"}}}, one, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := NewHistory(func() uint64 { return 0 })
			h.Observe(start, c.observed)
			builds := c.observed["pool"]
			build := builds[len(builds)-1]
			assert.Assert(t, h.Held(start, "pool", build), "while the records are unknown")
			assert.Equal(t, h.Held(start.Add(long), "pool", build), len(builds) > 1, "while the records are unknown")
			for _, record := range c.records {
				assert.NilError(t, h.Apply(start, record))
			}
			h.RecordsKnown()
			assert.Equal(t, h.Held(start, "pool", build), c.held)
			assert.Equal(t, h.Held(start.Add(long), "pool", build), c.held)
		})
	}
}

// Engines of a service whose builds no record can name would get no streams for ever. Nothing is
// concluded from such a record.
func TestBuildThatNoRecordCanNameIsNotHeld(t *testing.T) {
	start := time.Now()
	var many []string
	for i := range maxBuilds + 1 {
		many = append(many, fmt.Sprintf("v%02d", i))
	}
	h := NewHistory(func() uint64 { return 0 })
	h.Observe(start, map[string][]string{"pool": many[:maxBuilds]})
	h.RecordsKnown()
	assert.NilError(t, h.Apply(start, Record{Service: "pool", Serving: many[:maxBuilds]}))
	h.Observe(start.Add(time.Second), map[string][]string{"pool": many})
	assert.Assert(t, !h.Held(start.Add(time.Second), "pool", many[maxBuilds]))
	_, sole := h.Sole(start.Add(time.Second), "pool")
	assert.Assert(t, !sole)
}

// A VM that was cut off, frozen or slow while engines of a new build joined took the former build for
// the only one, and let a stream of the new build go on there.
func TestVMOutOfStepDoesNotTakeAFormerBuildForTheOnlyOne(t *testing.T) {
	start := time.Now()
	for age := time.Duration(0); age <= 2*MaxAge; age += 100 * time.Millisecond {
		inStep, behind := NewHistory(func() uint64 { return 0 }), NewHistory(func() uint64 { return 0 })
		joined := start.Add(time.Minute)
		for _, h := range []*History{inStep, behind} {
			h.Observe(start, map[string][]string{"pool": {"v1"}})
			h.RecordsKnown()
			assert.NilError(t, h.Apply(start, Record{Service: "pool", Serving: []string{"v1"}}))
		}
		inStep.Observe(joined, map[string][]string{"pool": {"v1", "v2"}})
		assert.NilError(t, inStep.Apply(joined, Record{
			Service: "pool", Serving: []string{"v1", "v2"}, Joined: []Joined{{"v2", joined}},
		}))
		now := joined.Add(age)
		// The registrations of the VM behind are of the moment before v2 joined.
		_, sole := behind.Sole(now, "pool")
		concludes := sole && now.Sub(joined.Add(-time.Nanosecond)) <= MaxAge
		begins := !inStep.Held(now, "pool", "v2")
		assert.Assert(t, !concludes || !begins, "after %v", age)
		assert.Equal(t, begins, age >= MaxAge)
		assert.Assert(t, !inStep.Held(now, "pool", "v1"), "the former build serves meanwhile")
	}
}

// A VM that starts has not seen when a build joined. It must not begin its streams before the others
// have the build, nor wait for builds that serve for long.
func TestVMThatStartsHoldsOnlyBuildsThatJoinedLately(t *testing.T) {
	start := time.Now()
	for joined, held := range map[time.Duration]bool{
		0: true, MaxAge + clockTolerance - 1: true, MaxAge + clockTolerance: false, Memory: false,
	} {
		h := NewHistory(func() uint64 { return 0 })
		assert.NilError(t, h.Apply(start, Record{
			Service: "pool", Serving: []string{"v1", "v2"}, Joined: []Joined{{"v2", start.Add(-joined)}},
		}))
		h.RecordsKnown()
		h.Observe(start, map[string][]string{"pool": {"v1", "v2"}})
		assert.Equal(t, h.Held(start, "pool", "v2"), held, "joined %v ago", joined)
		assert.Assert(t, !h.Held(start, "pool", "v1"))
		assert.Assert(t, !h.Held(start.Add(MaxAge), "pool", "v2"))
	}
}

// A service whose engines left a moment ago, also before this VM started, may have begun a stream.
func TestServiceIsAloneOnceTheEnginesOfOthersHaveLeftForAMinute(t *testing.T) {
	start := time.Now()
	h := NewHistory(func() uint64 { return 0 })
	assert.NilError(t, h.Apply(start, Record{Service: "former", Serving: []string{"v1"}}))
	h.Observe(start, map[string][]string{"pool": {"v1"}})
	assert.Assert(t, !h.Alone(start, "pool"))
	assert.Assert(t, !h.Alone(start.Add(Memory-1), "pool"))
	assert.Assert(t, h.Alone(start.Add(Memory), "pool"))
	h.Observe(start.Add(Memory), map[string][]string{"pool": {"v1"}, "other": {"v1"}})
	assert.Assert(t, !h.Alone(start.Add(Memory), "pool"))
}

// A record that names no builds, or too many, would be taken for the history of a service.
func TestUnusableRecordIsReportedWithItsPlaces(t *testing.T) {
	h := NewHistory(func() uint64 { return 0 })
	long := strings.Repeat("x", maxNameBytes+1)
	err := h.Apply(time.Now(), Record{Serving: []string{"v1", long}, Left: []Left{{Build: "v0"}}})
	for _, problem := range []string{"service: is missing", "serving[1]: has 129 bytes, at most 128 are accepted", "left[0].at: is missing"} {
		assert.ErrorContains(t, err, problem)
	}
	err = h.Apply(time.Now(), Record{Service: "pool", Serving: make([]string, maxBuilds+1)})
	assert.ErrorContains(t, err, "serving: 65 builds are in the record, at most 64 are accepted")
}

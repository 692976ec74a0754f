package roles

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// engines returns engines from words such as "a:v1:P", which give zone, build and
// role, with names in the order of the words.
func engines(words string) []*configuration.Endpoint {
	var all []*configuration.Endpoint
	for _, word := range strings.Fields(words) {
		parts := strings.Split(word, ":")
		role := configuration.RoleDecode
		if parts[2] == "P" {
			role = configuration.RolePrefill
		}
		all = append(all, &configuration.Endpoint{
			Name: "e" + strconv.Itoa(len(all)), Model: "m", Zone: parts[0], Build: parts[1], Role: role,
		})
	}
	return all
}

// changesAfter returns the orders that are due after a time without any change.
func changesAfter(p *planner, all []*configuration.Endpoint, d time.Duration) []string {
	p.plan(start, all)
	var got []string
	for _, c := range p.plan(start.Add(d), all) {
		got = append(got, c.Engine.Name+" to "+string(c.To))
	}
	return got
}

// A stream can go on only at a decode engine of its build.
func TestOrdersKeepADecodeEngineOfEachBuild(t *testing.T) {
	const due = registrationQuietPeriod + largeImbalanceDelay
	cases := []struct {
		name, engines string
		want          []string
	}{
		{"last decode engine of a build", "a:v1:D a:v2:D a:v2:D b:v1:P", []string{"e1 to prefill", "e3 to decode"}},
		{"last decode engines of all builds", "a:v1:D a:v2:D a:v3:D b:v1:P b:v2:P b:v3:P", []string{"e3 to decode"}},
		{"only engine of a build", "a:v1:D a:v2:D a:v2:D", []string{"e1 to prefill"}},
		{"only engines of builds", "a:v1:D a:v2:D a:v3:D", []string{"e0 to prefill"}},
		{"build with the most decode engines", "a:v1:D a:v1:D a:v2:D b:v2:D b:v2:D", []string{"e2 to prefill"}},
		{"engines without a build", "a::D a::D a::D", []string{"e0 to prefill"}},
		{"last decode engine without a build", "a::D a:v1:D a:v2:D b::P b:v1:P b:v2:P", []string{"e0 to prefill", "e3 to decode"}},
		{"to decode, a build without decode engines", "a:v1:P a:v1:D a:v2:P a:v2:P a:v1:D", []string{"e2 to decode"}},
		{"to decode, one build", "a:v1:P a:v1:P a:v1:D a:v1:D", []string{"e0 to decode"}},
		{"build without a decode engine, balanced zone", "a:v1:D a:v1:D a:v2:P b:v1:D b:v2:P b:v1:D", []string{"e2 to decode"}},
		{"build of one engine without a decode engine", "a:v1:D a:v1:D a:v2:P", nil},
		{"two zones, two decode engines of a build", "a:v1:D a:v2:D b:v1:D b:v2:D a:v2:D b:v2:D", []string{"e1 to prefill", "e3 to prefill"}},
		{"two zones, the last two decode engines", "a:v1:D a:v2:D a:v3:D b:v1:D b:v2:P b:v3:P c:v2:P c:v3:P c:v1:D c:v1:D c:v1:D", []string{"e0 to prefill", "e4 to decode", "e7 to decode"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, changesAfter(newPlanner(), engines(c.engines), due), c.want)
		})
	}
}

func TestBuildWithoutADecodeEngineWaitsForTheUsualDelays(t *testing.T) {
	all := engines("a:v1:D a:v1:D a:v2:P b:v1:D b:v2:P b:v1:D")
	assert.Equal(t, len(changesAfter(newPlanner(), all, largeImbalanceDelay-time.Millisecond)), 0)
	p := newPlanner()
	p.plan(start, all)
	again := engines("a:v1:D a:v1:D a:v2:P b:v1:D b:v2:D b:v1:D")
	p.plan(start.Add(time.Second), again)
	p.plan(start.Add(2*time.Second), all)
	assert.Equal(t, len(p.plan(start.Add(2*time.Second+largeImbalanceDelay-time.Millisecond), all)), 0, "the delay begins anew")
	assert.Equal(t, len(p.plan(start.Add(2*time.Second+largeImbalanceDelay), all)), 1)
}

// An engine that an order has not reached yet counts under its new role.
func TestPendingOrdersCountForTheirBuild(t *testing.T) {
	all := engines("a:v1:D a:v1:D b:v1:P b:v1:P b:v2:D b:v2:D b:v2:D c:v1:D")
	p := newPlanner()
	p.plan(start, all)
	now := start.Add(registrationQuietPeriod + largeImbalanceDelay)
	p.recordOrder(now, &Entry{Engine: "e7", Model: "m", Zone: "c", Role: configuration.RolePrefill})
	p.recordOrder(now, &Entry{Engine: "e0", Model: "m", Zone: "a", Role: configuration.RolePrefill})
	builds := p.countBuilds(now, all)
	assert.Equal(t, *builds[build{"m", "v1"}], buildCount{engines: 5, decode: 1})
	assert.Equal(t, *builds[build{"m", "v2"}], buildCount{engines: 3, decode: 3})
}

// fleetBuilds returns engines of random builds and roles in three zones.
func fleetBuilds(random *rand.Rand) []*configuration.Endpoint {
	var words []string
	for _, zone := range []string{"a", "b", "c"} {
		for range 1 + random.IntN(9) {
			role := []string{"D", "P"}[random.IntN(2)]
			words = append(words, zone+":v"+strconv.Itoa(random.IntN(4))+":"+role)
		}
	}
	return engines(strings.Join(words, " "))
}

// Orders for one build must neither undo those for a zone in turn nor be undone by
// them, whatever engines there are.
func TestOrdersComeToAnEndAndLeaveADecodeEngineOfEachBuild(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for n := range 300 {
		all := fleetBuilds(random)
		f := newTestFleet(t, 1, all)
		lost := ""
		check := f.balancers[0].options.Engines
		f.balancers[0].options.Engines = func() []*configuration.Endpoint {
			if now := withoutDecode(all); len(now) > 0 && lost == "" {
				lost = now
			} else if len(now) == 0 {
				lost = "none"
			} else if lost == "none" {
				t.Fatalf("case %d: an order took the last decode engine of %s", n, now)
			}
			return check()
		}
		f.run(t.Context(), 3*time.Minute)
		assert.Equal(t, withoutDecode(all), "", "case %d", n)
		given := len(f.received)
		f.run(t.Context(), 3*time.Minute)
		assert.Equal(t, len(f.received), given, "case %d: orders do not come to an end", n)
		assert.Assert(t, given <= 2*len(all), "case %d: %d orders to %d engines", n, given, len(all))
	}
}

// withoutDecode names the builds of two or more engines without a decode engine.
func withoutDecode(all []*configuration.Endpoint) string {
	total, decode := map[string]int{}, map[string]int{}
	for _, e := range all {
		total[e.Build]++
		if e.Role == configuration.RoleDecode {
			decode[e.Build]++
		}
	}
	var names []string
	for i := range 4 {
		name := "v" + strconv.Itoa(i)
		if total[name] >= minEnginesOfBuild && decode[name] == 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

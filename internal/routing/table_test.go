package routing

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLookupPrefersTheLongestPrefix(t *testing.T) {
	table := NewTable(1, Limits{}, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil)
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/", "short"},
		{"A.Example:8080", "/x/y/1", "long"},
		{"a.example", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"a.example", "*", ""},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		got := ""
		if route := table.Lookup(c.host, c.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, c.want, "%s %s", c.host, c.path)
	}
}

func TestSplitFollowsTheWeights(t *testing.T) {
	route := Route{Destinations: []Destination{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := map[string]int{}
	for i := range 10000 {
		counts[route.Choose(strconv.Itoa(i))]++
	}
	assert.Equal(t, counts["none"], 0)
	assert.Assert(t, counts["b"] > 800 && counts["b"] < 1200, "%v", counts)
	assert.Equal(t, route.Choose("7"), route.Choose("7"))
}

// A route that has just moved was taken for one that has always led to its service.
func TestRouteIsUnchangedSinceItsDestinationsAre(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	tableOf := func(version uint64, service string, previous *Table, now time.Time) *Table {
		table := NewTable(version, Limits{}, []Route{{Host: "h", Prefix: "/a/", Destinations: []Destination{{service, 1}}}}, nil)
		table.Follow(previous, now)
		return table
	}
	since := func(table *Table) time.Time { return table.Lookup("h", "/a/x").UnchangedSince }
	first := tableOf(1, "pool", nil, at(0))
	assert.Equal(t, since(first), at(0))
	second := tableOf(2, "pool", first, at(1))
	assert.Equal(t, since(second), at(0))
	third := tableOf(3, "other", second, at(2))
	assert.Equal(t, since(third), at(2))
	assert.Equal(t, since(tableOf(4, "pool", third, at(3))), at(3), "it led to another service meanwhile")
}

// Guards against a stream that is taken up at a service which did not begin it, because the route lacks the services
// to which its requests went before: after a move, by a new longer prefix, or once a longer prefix is gone.
func TestRouteHasTheFormerServicesOfItsRequests(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var table *Table
	put := func(seconds int, services map[string]string) {
		var routes []Route
		for prefix, service := range services {
			routes = append(routes, Route{Host: "h", Prefix: prefix, Destinations: []Destination{{service, 1}}})
		}
		next := NewTable(uint64(seconds+1), Limits{}, routes, nil)
		next.Follow(table, at(seconds))
		table = next
	}
	led := func(path, service string, after int) bool {
		return table.Lookup("h", path).LedElsewhere(service, at(after))
	}
	put(0, map[string]string{"/a/": "one"})
	assert.Assert(t, !led("/a/x", "one", -1000))
	put(10, map[string]string{"/a/": "two"})
	assert.Assert(t, led("/a/x", "two", 9))
	assert.Assert(t, !led("/a/x", "two", 10), "the change was long ago")
	put(20, map[string]string{"/a/": "two", "/a/b/": "three"})
	assert.Assert(t, led("/a/x", "two", 9), "an unchanged route keeps its past")
	assert.Assert(t, !led("/a/x", "two", 10))
	assert.Assert(t, led("/a/b/x", "three", 19), "its requests went to the shorter prefix")
	put(30, map[string]string{"/a/": "two"})
	assert.Assert(t, led("/a/b/x", "two", 29), "the longer prefix is gone")
	assert.Equal(t, table.Lookup("h", "/a/b/x").UnchangedSince, at(30))
	put(40, map[string]string{"/a/": "one"})
	assert.Assert(t, led("/a/x", "one", 39))
	put(40+int(formerRetention/time.Second), map[string]string{"/a/": "two"})
	assert.Equal(t, len(table.Lookup("h", "/a/x").FormerServices), 1, "old changes are forgotten")
}

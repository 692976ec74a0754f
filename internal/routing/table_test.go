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

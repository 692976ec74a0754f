package routing

import (
	"strconv"
	"testing"

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

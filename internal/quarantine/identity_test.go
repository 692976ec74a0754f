package quarantine

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Two requests must have the same identity only if they differ in nothing but their IDs, and the name for any
// caller must not depend on the caller.
func TestIdentityTellsRequestsApart(t *testing.T) {
	same := Identify("GET", "h", "/a/b", []byte("body"), "c")
	assert.Equal(t, same, Identify("GET", "h", "/a/b", []byte("body"), "c"))
	assert.Assert(t, validName(string(same)))
	for name, other := range map[string]Identity{
		"method": Identify("POST", "h", "/a/b", []byte("body"), "c"),
		"host":   Identify("GET", "g", "/a/b", []byte("body"), "c"),
		"target": Identify("GET", "h", "/a/b?x", []byte("body"), "c"),
		"body":   Identify("GET", "h", "/a/b", []byte("bode"), "c"),
		"border": Identify("GET", "h/", "a/b", []byte("body"), "c"),
	} {
		assert.Assert(t, ofAnyCaller(string(other)) != ofAnyCaller(string(same)), name)
	}
	other := Identify("GET", "h", "/a/b", []byte("body"), "d")
	assert.Assert(t, other != same)
	assert.Equal(t, ofAnyCaller(string(other)), ofAnyCaller(string(same)))
	assert.Equal(t, ofAnyCaller(ofAnyCaller(string(same))), "")
	assert.Equal(t, ofAnyCaller("x"), "")
}

func BenchmarkIdentify(b *testing.B) {
	for _, size := range []int{0, 3 << 10, 100 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				Identify("POST", "h.example", "/a/b/c", body, "10.0.0.1")
			}
		})
	}
}

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ofBuild returns an instance of a service with a build.
func ofBuild(name, service, build string) Instance {
	i := instance(name, service, "")
	i.Build = build
	return i
}

// A stream whose origin is not known may go on only if no other build can have begun it.
func TestSoleBuildIsTheOnlyOneThatMayHaveBegunAStream(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name          string
		before, after []Instance
		elapsed       time.Duration
		want          string
		ok            bool
	}{
		{"none", nil, nil, 0, "", false},
		{"one build", nil, []Instance{ofBuild("1", "pool", "v1"), ofBuild("2", "pool", "v1")}, 0, "v1", true},
		{"two builds", nil, []Instance{ofBuild("1", "pool", "v1"), ofBuild("2", "pool", "v2")}, 0, "", false},
		{"another service", nil, []Instance{ofBuild("1", "pool", "v1"), ofBuild("2", "desk", "v2")}, 0, "v1", true},
		{"former build", []Instance{ofBuild("1", "pool", "v1")}, []Instance{ofBuild("2", "pool", "v2")}, buildMemory, "", false},
		{"forgotten build", []Instance{ofBuild("1", "pool", "v1")}, []Instance{ofBuild("2", "pool", "v2")}, buildMemory + time.Second, "v2", true},
		{"replaced engine", []Instance{ofBuild("1", "pool", "v1")}, []Instance{ofBuild("2", "pool", "v1")}, 0, "v1", true},
		{"unknown build", nil, []Instance{ofBuild("1", "pool", "")}, 0, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := NewStore()
			store.SetInstances(c.before)
			store.setInstancesAt(c.after, now)
			sole, ok := store.SoleBuild("pool", now.Add(c.elapsed))
			assert.Equal(t, sole, c.want)
			assert.Equal(t, ok, c.ok)
		})
	}
}

package fleet

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// instance returns an instance of a service in zone a.
func instance(name, service string, role configuration.Role) Instance {
	return Instance{ID: name, Endpoint: configuration.Endpoint{Name: name, Zone: "a", Service: service, Role: role}}
}

func table(version uint64) *routing.Table {
	return routing.NewTable(version, routing.Limits{}, nil, []routing.Service{
		{Name: "desk"},
		{Name: "pool", Engines: &routing.Engines{Slots: 12, MemoryTokens: 30000}},
	})
}

func TestDrainingPlainInstanceGetsNoNewRequest(t *testing.T) {
	leaving := instance("d2", "desk", "")
	leaving.Draining = true
	view := NewView(table(1), []Instance{instance("d1", "desk", ""), leaving}, nil)
	assert.Equal(t, len(view.Plain("desk")), 1)
	assert.Equal(t, view.Plain("desk")[0].Name, "d1")
	assert.Assert(t, view.Instance("d2") != nil, "requests in flight need the instance")
}

func TestEnginesAreFoundByRoleAndZone(t *testing.T) {
	view := NewView(table(1), []Instance{
		instance("p1", "pool", configuration.RolePrefill),
		instance("e1", "pool", configuration.RoleDecode),
		instance("x", "unknown", ""),
	}, []EntryVM{{Name: "vm1", Zone: "a"}})
	assert.Equal(t, len(view.Engines("pool", configuration.RoleDecode, "a")), 1)
	assert.Equal(t, len(view.Engines("pool", configuration.RoleDecode, "b")), 0)
	assert.Equal(t, view.Engines("pool", configuration.RoleDecode, "")[0].MemoryPieces, 30000)
	assert.Assert(t, view.Instance("x") == nil, "its service is not in the configuration")
	assert.DeepEqual(t, view.EntryVMs("a"), []string{"vm1"})
	assert.DeepEqual(t, view.Models(), []string{"pool"})
}

func TestDepartedInstanceDiffersFromUnknownInstance(t *testing.T) {
	store := NewStore()
	store.SetTable(table(1))
	store.SetInstances([]Instance{instance("d1", "desk", "")})
	store.SetInstances(nil)
	assert.Assert(t, store.View().Departed("d1"))
	assert.Assert(t, !store.View().Departed("d2"))
	store.SetInstances([]Instance{instance("d1", "desk", "")})
	assert.Assert(t, !store.View().Departed("d1"), "it is back")
}

func TestFleetIsKnownOnceConfigurationAndRegistrationsAreRead(t *testing.T) {
	for _, registrationsFirst := range []bool{false, true} {
		store := NewStore()
		steps := []func(){func() { store.SetTable(table(1)) }, func() { store.SetInstances(nil) }}
		if registrationsFirst {
			slices.Reverse(steps)
		}
		store.SetEntryVMs([]EntryVM{{Name: "vm1", Zone: "a"}})
		steps[0]()
		assert.Assert(t, !store.View().Known())
		steps[1]()
		assert.Assert(t, store.View().Known(), "none are registered")
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	store := NewStore()
	assert.Assert(t, store.SetTable(table(5)))
	assert.Assert(t, !store.SetTable(table(5)))
	assert.Assert(t, !store.SetTable(table(4)))
	assert.Equal(t, store.Table().Version, uint64(5))
}

package origin

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

func noneAvoided(string) bool { return false }

// In a fleet with more members than a search asks, the holders that the serving VM has
// chosen must be among those that are asked, and one of them among the first.
func TestSearchesReachHoldersInALargeFleet(t *testing.T) {
	members := largeFleet().All
	for n := range 200 {
		stream := fmt.Sprintf("%016x", n)
		server, finder := members[n], members[399-n]
		ranks := rank(stream, server, members, noneAvoided)
		order, likely := searchOrder(stream, finder, members)
		var asked, first []string
		for i, m := range order[:maxAsked] {
			asked = append(asked, m.VM)
			if i < likely {
				first = append(first, m.VM)
			}
		}
		holders := ranks.holders()
		assert.Equal(t, len(holders), copies)
		assert.Assert(t, holders[0].Zone == server.Zone && holders[1].Zone != server.Zone)
		for _, h := range holders {
			assert.Assert(t, h.VM == finder.VM || slices.Contains(asked, h.VM), stream)
		}
		assert.Assert(t, holders[1].VM == finder.VM || slices.Contains(first, holders[1].VM), stream)
	}
}

// Each VM keeps a connection of some 35 kB to every VM that it sends records to.
func TestHoldersOutsideTheZoneAreFew(t *testing.T) {
	members := largeFleet().All
	foreign := make(map[string]bool)
	for n := range 2000 {
		ranks := rank(fmt.Sprint(n), members[0], members, noneAvoided)
		foreign[ranks.holders()[1].VM] = true
	}
	assert.Assert(t, len(foreign) <= foreignGroups, "%d", len(foreign))
}

// A copy counts only at a process that has it and that stays.
func TestCopiesThatDoNotCount(t *testing.T) {
	members := slices.Clone(largeFleet().All)
	ranks := rank("s", members[0], members, noneAvoided)
	own, foreign := ranks.sides()
	for _, side := range [][]candidate{own, foreign} {
		holder, second := &side[0], &side[1]
		assert.Assert(t, ranks.counts(holder.VM, 1, holder))
		assert.Assert(t, ranks.counts(second.VM, 1, holder))
		assert.Assert(t, !ranks.counts(holder.VM, 2, holder))
		assert.Assert(t, !ranks.counts(second.VM, 2, holder))
	}
	assert.Assert(t, !ranks.counts(own[1].VM, 1, &foreign[0]))
	assert.Assert(t, !ranks.counts(foreign[1].VM, 1, &own[0]))
	assert.Assert(t, !ranks.counts("unknown", 1, &own[0]))
	// A member that drains falls behind those that do not; with only it and one other,
	// it is still among the first.
	pair := []membership.Member{members[0], own[0].Member, own[1].Member}
	pair[2].Draining = true
	ranks = rank("s", members[0], pair, noneAvoided)
	holder := ranks.holders()[0]
	assert.Equal(t, holder.VM, own[0].VM)
	assert.Assert(t, !ranks.counts(own[1].VM, 1, &holder))
}

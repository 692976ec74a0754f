package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const vms = 5

func members() []membership.Member {
	all := make([]membership.Member, vms)
	for n := range all {
		all[n] = membership.Member{VM: fmt.Sprintf("vm-%d", n), State: membership.Alive}
	}
	return all
}

// TestWeightIsStable pins one weight, because the home zones of keys depend on the
// weights.
func TestWeightIsStable(t *testing.T) {
	assert.Equal(t, Weight("key", "node"), uint64(3321720653439110261))
}

func TestRanksAreAPermutation(t *testing.T) {
	all := members()
	for n := range 100 {
		key := fmt.Sprint(n)
		seen := make(map[int]bool)
		for _, member := range all {
			rank := Rank(key, member.VM, all, membership.Member.Available)
			seen[rank] = true
			first := First(key, all, membership.Member.Available)
			assert.Equal(t, rank == 0, first.VM == member.VM)
		}
		assert.Equal(t, len(seen), vms)
		assert.Assert(t, seen[0] && seen[vms-1])
	}
}

func TestKeysAreSpread(t *testing.T) {
	const keys = 1000
	counts := make(map[string]int)
	for n := range keys {
		counts[First(fmt.Sprint(n), members(), membership.Member.Available).VM]++
	}
	for vm, count := range counts {
		assert.Assert(t, count > keys/vms/2 && count < keys/vms*2, "%s: %d", vm, count)
	}
	assert.Equal(t, len(counts), vms)
}

// TestLostMemberMovesOnlyItsKeys checks that the keys of other members stay where
// they are when a member is removed.
func TestLostMemberMovesOnlyItsKeys(t *testing.T) {
	all := members()
	for n := range 1000 {
		key := fmt.Sprint(n)
		before := First(key, all, membership.Member.Available)
		after := First(key, all[1:], membership.Member.Available)
		if before.VM != all[0].VM {
			assert.Equal(t, after, before)
		}
	}
}

func TestOnlyEligibleMembersCount(t *testing.T) {
	all := members()
	all[0].Draining = true
	all[1].State = membership.Suspect
	none := func(membership.Member) bool { return false }
	for n := range 100 {
		key := fmt.Sprint(n)
		first := First(key, all, membership.Member.Available)
		assert.Assert(t, first.Available())
		assert.Assert(t, Rank(key, all[0].VM, all, membership.Member.Available) <= vms-2)
		assert.Equal(t, First(key, all, none), membership.Member{})
		assert.Equal(t, Rank(key, all[0].VM, all, none), 0)
	}
}

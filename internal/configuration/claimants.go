package configuration

import (
	"cmp"
	"slices"
)

// claimants are the teams that list the same bearer key, sorted by name. The
// first one owns the key, so that all VMs with the same documents agree on the
// owner.
type claimants []*CompiledTeam

func compareName(team *CompiledTeam, name string) int {
	return cmp.Compare(team.Name(), name)
}

// with returns the claimants including a team; the receiver is not modified.
func (c claimants) with(team *CompiledTeam) claimants {
	at, found := slices.BinarySearchFunc(c, team.Name(), compareName)
	if found {
		return c
	}
	return slices.Insert(slices.Clone(c), at, team)
}

// without returns the claimants without a team; the receiver is not modified.
func (c claimants) without(name string) claimants {
	at, found := slices.BinarySearchFunc(c, name, compareName)
	if !found {
		return c
	}
	return slices.Delete(slices.Clone(c), at, at+1)
}

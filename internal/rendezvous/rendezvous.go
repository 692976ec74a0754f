// Package rendezvous chooses members for keys by rendezvous hashing (highest
// random weight): each member has a weight for each key, and the member of the
// highest weight comes first. A member that joins or leaves moves only the keys
// that it is first for.
//
// Members with different views may choose differently, and the weights are not
// agreed between versions unless a caller's design says so.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// First returns the eligible member that comes first for a key; zero if none is
// eligible.
func First(key string, members []membership.Member, eligible func(membership.Member) bool) membership.Member {
	var best membership.Member
	var bestWeight uint64
	for _, member := range members {
		if !eligible(member) {
			continue
		}
		weight := Weight(key, member.VM)
		if best.VM == "" || weight > bestWeight {
			best = member
			bestWeight = weight
		}
	}
	return best
}

// Rank returns how many other eligible members come before a VM for a key.
// Members of the same weight are in order of their names.
func Rank(key, vm string, members []membership.Member, eligible func(membership.Member) bool) int {
	own := Weight(key, vm)
	rank := 0
	for _, member := range members {
		if member.VM == vm || !eligible(member) {
			continue
		}
		weight := Weight(key, member.VM)
		if weight > own || weight == own && member.VM < vm {
			rank++
		}
	}
	return rank
}

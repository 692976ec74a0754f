// Package rendezvous chooses members for keys by rendezvous hashing (highest
// random weight): each member has a weight for each key, and the member of the
// highest weight comes first. When a member joins or leaves, only the keys for
// which it comes first move.
//
// VMs with different views of the membership may choose differently. Callers must
// not rely on equal weights in different versions of the router unless their own
// design says so.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// First returns the eligible member that comes first for a key, or the zero member
// if none is eligible.
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
// Members of equal weight are ordered by name.
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

package swim

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// digests holds one digest per bucket of members. Members that are gone do not
// count.
type digests [bucketCount]uint64

func bucketOf(vm string) int { return int(xxhash.Sum64String(vm) % bucketCount) }

// toggle adds an update to the digest of its bucket, or removes it if the digest
// contains it.
func (d *digests) toggle(u *update) {
	if u.State != membership.Gone {
		d[bucketOf(u.VM)] ^= digestOf(u)
	}
}

func digestOf(u *update) uint64 {
	b := make([]byte, 0, 2*maxNameBytes+maxAddressBytes+24)
	for _, text := range []string{u.VM, u.Zone, u.Address} {
		b = append(b, text...)
		b = append(b, 0)
	}
	b = binary.BigEndian.AppendUint64(b, u.Incarnation)
	b = binary.BigEndian.AppendUint64(b, u.Refutation)
	b = append(b, byte(rank(u.State)))
	return xxhash.Sum64(b)
}

// differing returns the buckets that differ, nil if none does. An empty slice
// stands for equal digests; a slice of another length differs in all buckets.
func (d *digests) differing(other []uint64) map[int]bool {
	if len(other) == 0 || slices.Equal(d[:], other) {
		return nil
	}
	buckets := make(map[int]bool, bucketCount)
	for i := range d {
		if len(other) != len(d) || d[i] != other[i] {
			buckets[i] = true
		}
	}
	return buckets
}

package peersync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// bucketCount is the number of hash buckets in which subjects are compared.
const bucketCount = 64

// digests holds, for each bucket, a digest of the positions of its subjects.
type digests struct {
	buckets [bucketCount]uint64
}

func digestsOf(versions []configuration.Current) digests {
	var d digests
	for _, current := range versions {
		d.buckets[bucketOf(current.Record.Subject)] ^= positionDigest(current)
	}
	return d
}

func bucketOf(subject string) int {
	return int(xxhash.Sum64String(subject) % bucketCount)
}

func positionDigest(current configuration.Current) uint64 {
	encoded := []byte(current.Record.Subject)
	encoded = binary.BigEndian.AppendUint64(encoded, current.Version)
	encoded = binary.BigEndian.AppendUint64(encoded, current.Origin)
	return xxhash.Sum64(encoded)
}

// total returns the digest over all buckets.
func (d digests) total() uint64 {
	hash := xxhash.New()
	var encoded [8]byte
	for _, bucket := range d.buckets {
		binary.BigEndian.PutUint64(encoded[:], bucket)
		_, _ = hash.Write(encoded[:])
	}
	return hash.Sum64()
}

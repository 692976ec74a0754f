package claim

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// benchKeys is the number of keys of the memory measurement.
const benchKeys = 200_000

func benchRecord(n int) *claimv1.Record {
	key := Key{Team: "blechklang", Key: "1780000000000-" + strconv.Itoa(n) + "-0123456789abcdef"}
	return claimRecord(key, &claimv1.Writer{Vm: "vm-1", Incarnation: 7_301_444_403_200_000_001, Sequence: uint64(n)})
}

// BenchmarkApply measures decoding and applying one record.
func BenchmarkApply(b *testing.B) {
	data := make([][]byte, 10_000)
	for n := range data {
		data[n], _ = proto.Marshal(benchRecord(n))
	}
	x := newIndex()
	now := time.Now()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		record := &claimv1.Record{}
		if err := proto.Unmarshal(data[n%len(data)], record); err != nil {
			b.Fatal(err)
		}
		if n%len(data) == 0 {
			x = newIndex()
		}
		x.apply(uint64(n), now, record)
	}
}

// BenchmarkMemoryPerKey reports the memory of one key in an index.
func BenchmarkMemoryPerKey(b *testing.B) {
	for b.Loop() {
		before := heap()
		x := newIndex()
		for n := range benchKeys {
			x.apply(uint64(n), time.Now(), benchRecord(n))
		}
		b.ReportMetric(float64(heap()-before)/benchKeys, "B/key")
		runtime.KeepAlive(x)
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

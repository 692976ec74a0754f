package timeline

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func sequences(events []Event) []uint64 {
	var list []uint64
	for _, e := range events {
		list = append(list, e.Sequence)
	}
	return list
}

func TestRingKeepsTheLatestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring := NewRing("vm-a", 7, 3)
		start := time.Now()
		for range 6 {
			time.Sleep(time.Second)
			ring.Record(FirstToken, "r", "d")
		}
		batch := ring.Since(Query{})
		assert.DeepEqual(t, sequences(batch.Events), []uint64{3, 4, 5, 6})
		assert.Equal(t, batch.Dropped, uint64(2))
		assert.Equal(t, ring.Dropped(), uint64(2))
		assert.DeepEqual(t, batch.Events[0], Event{
			Sequence: 3, Wall: start.Add(3 * time.Second), Monotonic: 3 * time.Second,
			VM: "vm-a", Incarnation: 7, Request: "r", Kind: FirstToken, Detail: "d",
		})
		assert.DeepEqual(t, sequences(ring.Since(Query{After: 5}).Events), []uint64{6})
		assert.Equal(t, ring.Since(Query{After: 99}).Next, uint64(6))
	})
}

func TestSincePagesAndFilters(t *testing.T) {
	ring := NewRing("vm-a", 1, 16)
	for _, request := range []string{"1", "2", "1.1", "12", "1"} {
		ring.Record(RequestReceived, request, "")
	}
	page := ring.Since(Query{Request: "1", Limit: 2})
	assert.DeepEqual(t, sequences(page.Events), []uint64{1, 3})
	assert.Assert(t, page.More)
	page = ring.Since(Query{Request: "1", Limit: 2, After: page.Next})
	assert.DeepEqual(t, sequences(page.Events), []uint64{5})
	assert.Assert(t, !page.More)
	assert.DeepEqual(t, sequences(Filter(ring.Since(Query{}).Events, "1")), []uint64{1, 3, 5})
}

func TestSinceStopsBeforeAnUnfinishedEvent(t *testing.T) {
	ring := NewRing("vm-a", 1, 4)
	ring.Record(RequestReceived, "", "")
	unfinished := ring.last.Add(1)
	ring.Record(RequestReceived, "", "")
	batch := ring.Since(Query{})
	assert.DeepEqual(t, sequences(batch.Events), []uint64{1})
	ring.store(&Event{Sequence: unfinished})
	assert.DeepEqual(t, sequences(ring.Since(Query{After: batch.Next}).Events), []uint64{2, 3})
}

func TestLateWriterDoesNotOverwriteALaterEvent(t *testing.T) {
	ring := NewRing("vm-a", 1, 2)
	overtaken := ring.last.Add(1)
	ring.Record(RequestReceived, "", "")
	ring.Record(RequestReceived, "", "")
	ring.store(&Event{Sequence: overtaken})
	assert.DeepEqual(t, sequences(ring.Since(Query{}).Events), []uint64{2, 3})
}

func TestConcurrentWritersAndReaderLoseNothing(t *testing.T) {
	const writers, perWriter = 8, 500
	ring := NewRing("vm-a", 1, writers*perWriter)
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for n := range perWriter {
				ring.Record(RequestReceived, strconv.Itoa(n), "")
			}
		})
	}
	var got []Event
	var after uint64
	for after < writers*perWriter {
		batch := ring.Since(Query{After: after})
		assert.Equal(t, batch.Dropped, uint64(0))
		got = append(got, batch.Events...)
		after = batch.Next
	}
	group.Wait()
	assert.Equal(t, len(got), writers*perWriter)
	for i, e := range got {
		assert.Equal(t, e.Sequence, uint64(i+1))
	}
}

func TestMergeKeepsTheOrderOfEachProcess(t *testing.T) {
	at := func(vm string, sequence uint64, seconds int64, kind Kind, detail string) Event {
		return Event{VM: vm, Incarnation: 1, Sequence: sequence, Wall: time.Unix(seconds, 0), Kind: kind, Detail: detail}
	}
	events := []Event{
		at("vm-b", 1, 11, RequestReceived, ""),
		at("vm-b", 2, 15, RequestAnswered, ""),
		// The clock of vm-a is set back between its second and third event.
		at("vm-a", 1, 10, SlotReserved, "decode-1"),
		at("vm-a", 2, 14, PrefillStarted, "prefill-1"),
		at("vm-a", 3, 5, PrefillFinished, "prefill-1"),
		at("vm-a", 2, 14, PrefillStarted, "prefill-1"),
	}
	var text, lines bytes.Buffer
	assert.NilError(t, WriteText(&text, Merge(events)))
	golden.Assert(t, text.String(), "merged.txt")
	assert.NilError(t, WriteJSON(&lines, Merge(events)))
	golden.Assert(t, lines.String(), "merged.jsonl")
	assert.Equal(t, len(Merge(nil)), 0)
}

func BenchmarkRecord(b *testing.B) {
	ring := NewRing("vm-a", 1, 1<<14)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ring.Record(FirstToken, "vm-a.1.5", "decode-1")
		}
	})
}

// BenchmarkMemory reports the bytes of one event in a full ring.
func BenchmarkMemory(b *testing.B) {
	const events = 1 << 14
	for b.Loop() {
		before := liveHeap()
		ring := NewRing("vm-a", 1, events)
		for i := range events {
			ring.Record(FirstToken, fmt.Sprint("vm-a.1.", i), "decode-1")
		}
		b.ReportMetric(float64(liveHeap()-before)/events, "B/event")
		runtime.KeepAlive(ring)
	}
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

package configuration

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// BenchmarkFold measures the time to decode and apply the records of a fleet and
// of teams with three classes each, as a VM does when it starts.
func BenchmarkFold(b *testing.B) {
	for _, teams := range []int{110, 1100, 11000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			records, size := encodedTeams(b, teams)
			for b.Loop() {
				fold := NewFold()
				for i, data := range records {
					record, err := DecodeRecord(data)
					assert.NilError(b, err)
					fold.Apply(record, uint64(i))
				}
			}
			perRecord := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / float64(len(records))
			b.ReportMetric(perRecord, "ns/record")
			b.ReportMetric(float64(size)/float64(len(records)), "bytes/record")
		})
	}
}

func encodedTeams(b *testing.B, teams int) (records [][]byte, size int) {
	fleet := testFleet()
	all := []Record{publishOf(FleetSubject, 0, "operator", &fleet)}
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		team := testTeam(name, 1)
		all = append(all, publishOf(TeamSubject(name), 0, "operator", &team))
	}
	for _, record := range all {
		data, err := record.Encode()
		assert.NilError(b, err)
		records = append(records, data)
		size += len(data)
	}
	return records, size
}

// BenchmarkTeamChange measures the time from the record of one team's change to
// the new snapshot.
func BenchmarkTeamChange(b *testing.B) {
	for _, teams := range []int{110, 1100, 11000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			store := NewStore(timeline.Discard)
			records, _ := encodedTeams(b, teams)
			for i, data := range records {
				store.ApplyBatch(logservice.Batch{CaughtUp: i == len(records)-1, Records: []logservice.Record{
					{Offset: uint64(i), Entry: logservice.Entry{Data: data}},
				}})
			}
			version := uint64(1)
			team := testTeam("team-0", 1)
			for b.Loop() {
				data, err := publishOf(TeamSubject("team-0"), version, "operator", &team).Encode()
				assert.NilError(b, err)
				store.ApplyBatch(logservice.Batch{CaughtUp: true, Time: time.Now(), Records: []logservice.Record{
					{Offset: uint64(len(records)) + version, Entry: logservice.Entry{Data: data}},
				}})
				version++
			}
			assert.Equal(b, store.Snapshot().Version(TeamSubject("team-0")), version)
		})
	}
}

// BenchmarkLookUp measures the lookup of one request's team and class.
func BenchmarkLookUp(b *testing.B) {
	bundle := testBundle()
	for i := range 1100 {
		bundle.Teams = append(bundle.Teams, testTeam(fmt.Sprintf("team-%d", i), 1))
	}
	snapshot, err := NewSnapshot(bundle)
	assert.NilError(b, err)
	for b.Loop() {
		team, ok := snapshot.TeamByKey("key of team-500")
		assert.Assert(b, ok)
		_, ok = team.Match("POST", "/bookings/17", "", "")
		assert.Assert(b, ok)
	}
}

// BenchmarkMemory reports the bytes that a store keeps for each team.
func BenchmarkMemory(b *testing.B) {
	const teams = 1100
	records, _ := encodedTeams(b, teams)
	for b.Loop() {
		before := liveHeap()
		store := NewStore(timeline.Discard)
		for i, data := range records {
			store.ApplyBatch(logservice.Batch{CaughtUp: i == len(records)-1, Records: []logservice.Record{
				{Offset: uint64(i), Entry: logservice.Entry{Data: data}},
			}})
		}
		b.ReportMetric(float64(liveHeap()-before)/teams, "B/team")
		runtime.KeepAlive(store)
	}
}

// BenchmarkFleetMemory reports the bytes of a snapshot for each endpoint and VM
// of the fleet.
func BenchmarkFleetMemory(b *testing.B) {
	const engines, vms = 1300, 400
	for b.Loop() {
		before := liveHeap()
		bundle := testBundle()
		for i := range engines {
			e := bundle.Fleet.Endpoints[0]
			e.Name, e.Address = fmt.Sprint("engine-", i), fmt.Sprintf("10.1.%d.%d:9100", i/200, i%200)
			bundle.Fleet.Endpoints = append(bundle.Fleet.Endpoints, e)
		}
		for i := range vms {
			vm := VM{Name: fmt.Sprint("entry-", i), Zone: "zone-a", Address: fmt.Sprintf("10.2.%d.%d:7400", i/200, i%200)}
			bundle.Fleet.VMs = append(bundle.Fleet.VMs, vm)
		}
		snapshot, err := NewSnapshot(bundle)
		assert.NilError(b, err)
		b.ReportMetric(float64(liveHeap()-before)/(engines+vms), "B/entry")
		record, err := publishOf(FleetSubject, 0, "operator", &bundle.Fleet).Encode()
		assert.NilError(b, err)
		b.ReportMetric(float64(len(record)), "B/fleet-record")
		runtime.KeepAlive(snapshot)
	}
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

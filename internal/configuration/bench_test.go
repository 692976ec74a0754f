package configuration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// BenchmarkFold measures the time to read and fold the records of a fleet and of
// teams with three classes each, as a VM does when it starts.
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

// BenchmarkLookUp measures what one request costs: its team and its class.
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

package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// batchOf returns a batch of consecutive records, each a Record or its encoded
// form, from an offset up to the log's head.
func batchOf(t *testing.T, from uint64, records ...any) logservice.Batch {
	t.Helper()
	batch := logservice.Batch{CaughtUp: true, Time: time.Now()}
	for i, record := range records {
		data, ok := record.([]byte)
		if !ok {
			var err error
			data, err = record.(Record).Encode()
			assert.NilError(t, err)
		}
		batch.Records = append(batch.Records, logservice.Record{Offset: from + uint64(i), Time: time.Now(), Entry: logservice.Entry{Data: data}})
	}
	return batch
}

func fleetAndTeam() (Record, Record) {
	fleet, team := testFleet(), testTeam("a", 1)
	return publishOf(FleetSubject, 0, "p", &fleet), publishOf(TeamSubject("a"), 0, "p", &team)
}

func TestStoreServesOnlyACompleteState(t *testing.T) {
	fleet, team := fleetAndTeam()
	store := NewStore(timeline.Discard)
	changed := store.Changed()
	batch := batchOf(t, 0, fleet, team)
	batch.CaughtUp = false
	store.ApplyBatch(batch)
	assert.Assert(t, store.Snapshot() == nil)
	store.ApplyBatch(batchOf(t, 2))
	assert.Equal(t, store.Snapshot().Version(TeamSubject("a")), uint64(1))
	<-changed
}

func TestStoreWithoutAFleetServesNothing(t *testing.T) {
	_, team := fleetAndTeam()
	store := NewStore(timeline.Discard)
	store.ApplyBatch(batchOf(t, 0, team))
	assert.Assert(t, store.Complete() && store.Snapshot() == nil)
}

func TestStoreIgnoresUnreadableRecords(t *testing.T) {
	fleet, team := fleetAndTeam()
	store := NewStore(timeline.Discard)
	future := []byte(`{"format": 9, "kind": "publish", "subject": "team/a", "base": 1, "version": 2}`)
	broken := []byte(`{"format": 1, "kind": "publish", "subject": "team/a", "base": 1, "version": 2, "document": {"name": "a"}}`)
	store.ApplyBatch(batchOf(t, 0, fleet, team, future, broken))
	assert.Equal(t, store.Snapshot().Version(TeamSubject("a")), uint64(1))
	assert.Equal(t, store.Vars().Get("unknown_format").String(), "1")
	assert.Equal(t, store.Vars().Get("malformed").String(), "1")
	next := testTeam("a", 2)
	store.ApplyBatch(batchOf(t, 4, publishOf(TeamSubject("a"), 1, "p", &next)))
	team2, _ := store.Snapshot().Team("a")
	assert.Equal(t, team2.Team.Share, 2.0)
}

func TestStalePeerChangesNothing(t *testing.T) {
	fleet, team := fleetAndTeam()
	next := testTeam("a", 2)
	store := NewStore(timeline.Discard)
	store.ApplyBatch(batchOf(t, 0, fleet, team, publishOf(TeamSubject("a"), 1, "p", &next)))
	before := store.Snapshot()
	store.ApplyPeer([]Record{team.reappend(1), publishOf(TeamSubject("a"), 2, "p", &next)})
	assert.Assert(t, store.Snapshot() == before)
	empty := NewStore(timeline.Discard)
	empty.ApplyPeer([]Record{fleet})
	assert.Equal(t, len(empty.All()), 0, "a publish from a peer has no offset and must be ignored")
}

// TestVersionsOutliveRetention runs two of three VMs, with a log outage during
// which all records expire. A reader that starts later must still find every
// version.
func TestVersionsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 10 * time.Minute
		log := logtest.New(logtest.Options{Retention: retention, Latency: 5 * time.Millisecond})
		bundle := testBundle("a", "b", "c")
		bundle.Fleet.Times.LogRetention, bundle.Fleet.Times.KeyWindow = Duration(retention), seconds(60)
		publish(t, log, bundle)
		var members []membership.Member
		for i := range 3 {
			members = append(members, membership.Member{VM: fmt.Sprintf("vm-%d", i), State: membership.Alive})
		}
		var vms sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for _, member := range members[:2] {
			view := membership.Static{This: member, All: members}
			vms.Go(func() { runVM(ctx, t, log, view) })
		}
		time.Sleep(2 * retention)
		log.SetAway(true)
		time.Sleep(2 * retention)
		log.SetAway(false)
		time.Sleep(2 * time.Second)
		outlived, _, err := ReadAll(t.Context(), log)
		assert.NilError(t, err)
		assert.Equal(t, len(outlived.All()), 4)
		time.Sleep(3 * retention)
		fold, entries, err := ReadAll(t.Context(), log)
		assert.NilError(t, err)
		assert.Assert(t, entries[0].Offset >= 4, "the publishes are still in the log")
		for _, current := range fold.All() {
			assert.Equal(t, current.Version, uint64(1))
		}
		assert.Equal(t, len(fold.All()), 4)
		// Each version is re-appended once per third to half of the retention.
		assert.Assert(t, len(entries) <= 4*4, "%d records kept", len(entries))
		cancel()
		vms.Wait()
	})
}

// TestPublishAfterAnOutageIsInForceInTime varies the length of the outage, so that
// its end falls at different points between two probes of the log.
func TestPublishAfterAnOutageIsInForceInTime(t *testing.T) {
	const limit = 4 * time.Second
	for length := time.Second; length < 20*time.Second; length += 270 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			log := logtest.New(logtest.Options{Latency: 5 * time.Millisecond})
			bundle := testBundle("a")
			publish(t, log, bundle)
			ctx, cancel := context.WithCancel(t.Context())
			store := NewStore(timeline.Discard)
			var follow sync.WaitGroup
			follow.Go(func() { _ = store.Follow(ctx, logservice.NewHealth(log, timeline.Discard)) })
			time.Sleep(10 * time.Second)
			log.SetAway(true)
			time.Sleep(length)
			log.SetAway(false)
			start := time.Now()
			bundle.Teams[0].Share = 2
			publish(t, log, bundle)
			for changed := store.Changed(); store.Snapshot().Version(TeamSubject("a")) < 2; changed = store.Changed() {
				<-changed
			}
			assert.Check(t, time.Since(start) <= limit, "%s after an outage of %s", time.Since(start), length)
			cancel()
			follow.Wait()
		})
	}
}

func runVM(ctx context.Context, t *testing.T, log logservice.Service, view membership.View) {
	store := NewStore(timeline.Discard)
	appender, err := logservice.NewAppender(log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = store.Follow(ctx, log) })
	tasks.Go(func() { _ = NewReappender(store, view, appender).Run(ctx) })
	tasks.Wait()
}

// publish publishes a bundle that must be accepted.
func publish(t *testing.T, log logservice.Service, bundle Bundle) Report {
	t.Helper()
	report, err := tryPublish(t, log, bundle, "operator")
	assert.NilError(t, err)
	assert.Assert(t, report.Accepted())
	return report
}

func tryPublish(t *testing.T, log logservice.Service, bundle Bundle, name string) (Report, error) {
	t.Helper()
	appender, err := logservice.NewAppender(log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return NewPublisher(log, appender, name).Publish(ctx, bundle)
}

func TestEveryRankReappendsBeforeExpiry(t *testing.T) {
	const retention = time.Hour
	assert.Equal(t, reappendAge(retention, 0), 20*time.Minute)
	for rank := range 100 {
		assert.Assert(t, reappendAge(retention, rank) <= retention*9/10)
	}
}

func TestOneMemberIsResponsibleForASubject(t *testing.T) {
	members := []membership.Member{
		{VM: "vm-1", State: membership.Alive}, {VM: "vm-2", State: membership.Alive},
		{VM: "vm-3", State: membership.Suspect}, {VM: "vm-4", State: membership.Alive, Draining: true},
	}
	responsible := map[string]int{}
	for i := range 100 {
		subject := TeamSubject(fmt.Sprint(i))
		first := rendezvous.Rank(subject, "vm-1", members, membership.Member.Available)
		second := rendezvous.Rank(subject, "vm-2", members, membership.Member.Available)
		assert.Equal(t, first+second, 1)
		responsible[fmt.Sprint(first)]++
	}
	assert.Assert(t, responsible["0"] > 30 && responsible["1"] > 30, "%v", responsible)
}

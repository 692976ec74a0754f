package configuration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
)

func subjectsOf(report Report) []string {
	var subjects []string
	for _, result := range report.Results {
		subjects = append(subjects, result.Subject)
	}
	return subjects
}

func TestOnlyChangedSubjectsArePublished(t *testing.T) {
	log := logtest.New(logtest.Options{})
	bundle := testBundle("a", "b")
	assert.DeepEqual(t, subjectsOf(publish(t, log, bundle)), []string{FleetSubject, "team/a", "team/b"})
	assert.Equal(t, len(publish(t, log, bundle).Results), 0)
	bundle.Teams[1].Share = 2
	report := publish(t, log, bundle)
	assert.DeepEqual(t, report.Results, []Result{{Subject: "team/b", Version: 2, Accepted: true}})
}

func TestRefusedPublishReportsWinnerAndDifferences(t *testing.T) {
	log := logtest.New(logtest.Options{})
	bundle := testBundle("a", "b")
	publish(t, log, bundle)
	bundle.BasedOn = map[string]uint64{"team/a": 1, "team/b": 1}
	theirs := testBundle("a", "b")
	theirs.Teams[0].Share = 5
	_, err := tryPublish(t, log, theirs, "alice")
	assert.NilError(t, err)
	bundle.Teams[0].Share, bundle.Teams[1].Share = 7, 7
	appends := log.Appends()
	report, err := tryPublish(t, log, bundle, "bob")
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Results, []Result{{
		Subject: "team/a", Version: 2, Winner: "alice",
		Differences: []Difference{{Path: "share", InForce: "5", Yours: "7"}},
	}})
	assert.Equal(t, log.Appends(), appends, "a bundle with a refused change was partly published")
}

func TestInvalidBundleIsNotPublished(t *testing.T) {
	log := logtest.New(logtest.Options{})
	bundle := testBundle("a", "b")
	bundle.Teams[1].Classes[0].Model = "other"
	_, err := tryPublish(t, log, bundle, "bob")
	assert.ErrorContains(t, err, `teams[1].classes[0].model: unknown model "other"`)
	assert.Equal(t, log.Appends(), 0)
}

func TestTeamIsRemovedOnlyExplicitly(t *testing.T) {
	log := logtest.New(logtest.Options{})
	publish(t, log, testBundle("a", "b"))
	_, err := tryPublish(t, log, testBundle("a"), "bob")
	assert.ErrorContains(t, err, "team/b is in force but missing")
	fold, _, err := ReadAll(t.Context(), log)
	assert.NilError(t, err)
	bundle := BundleOf(fold.All())
	bundle.Teams = bundle.Teams[:1]
	assert.DeepEqual(t, publish(t, log, bundle).Results, []Result{{Subject: "team/b", Version: 2, Accepted: true}})
	again := testBundle("a", "b")
	assert.DeepEqual(t, publish(t, log, again).Results, []Result{{Subject: "team/b", Version: 3, Accepted: true}})
}

func TestPublishIsConfirmedDespiteLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := faultyLog([]logtest.Fault{{LoseAnswer: true, Delay: 700 * time.Millisecond}, {LoseAnswer: true}})
		publish(t, log, testBundle("a"))
		time.Sleep(time.Second)
		fold, entries, err := ReadAll(t.Context(), log)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 4, "each record is expected twice")
		current, _ := fold.Get("team/a")
		assert.Equal(t, current.Version, uint64(1))
	})
}

func TestPublishDuringAnOutageIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := faultyLog([]logtest.Fault{{Outage: true}})
		report, err := tryPublish(t, log, testBundle("a"), "bob")
		assert.Assert(t, errorx.IsOfType(err, NotPublished), "%v", err)
		assert.Equal(t, len(report.Results), 0)
	})
}

func TestPublishWithoutAResponseIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lose := logtest.Fault{LoseRequest: true}
		log := logtest.New(logtest.Options{Faults: func(string, []logservice.Entry) logtest.Fault { return lose }})
		_, err := tryPublish(t, log, testBundle("a"), "bob")
		assert.Assert(t, errorx.IsOfType(err, Unconfirmed), "%v", err)
	})
}

// TestPublishToALogWithoutItsFirstRecords checks that a publisher which cannot
// know the versions in force fails with Incomplete instead of starting again at
// version 1, and that Seed supplies the missing versions.
func TestPublishToALogWithoutItsFirstRecords(t *testing.T) {
	log := logtest.New(logtest.Options{})
	bundle := testBundle("a")
	publish(t, log, bundle)
	fold, _, err := ReadAll(t.Context(), log)
	assert.NilError(t, err)
	log.Trim(Stream, 2)
	_, err = tryPublish(t, log, bundle, "bob")
	assert.Assert(t, errorx.IsOfType(err, Incomplete), "%v", err)

	appender, err := logservice.NewAppender(log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	publisher := NewPublisher(log, appender, "bob")
	for _, current := range fold.All() {
		publisher.Seed([]Record{current.Reappend()})
	}
	bundle.Teams[0].Share = 2
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	report, err := publisher.Publish(ctx, bundle)
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Results, []Result{{Subject: "team/a", Version: 2, Accepted: true}})
}

// TestPublishOverAnUnknownVersion checks that a publish also fails with Incomplete
// if the log no longer holds the version of one team on which a later publish,
// which it still holds, is based.
func TestPublishOverAnUnknownVersion(t *testing.T) {
	log := logtest.New(logtest.Options{})
	bundle := testBundle("a")
	for share := range 3 {
		bundle.Teams[0].Share = float64(share + 1)
		publish(t, log, bundle)
	}
	fold, _, err := ReadAll(t.Context(), log)
	assert.NilError(t, err)
	fleet, _ := fold.Get(FleetSubject)
	data, err := fleet.Reappend().Encode()
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), Stream, []logservice.Entry{{ID: "r", Data: data}})
	assert.NilError(t, err)
	log.Trim(Stream, 3)
	_, err = tryPublish(t, log, bundle, "bob")
	assert.Assert(t, errorx.IsOfType(err, Incomplete), "%v", err)
}

func TestDiff(t *testing.T) {
	got := diff([]byte(`{"a": [1, 2], "b": {"c": 1}, "d": 1}`), []byte(`{"a": [1], "b": {"c": "x"}, "e": null, "d": 1}`))
	assert.DeepEqual(t, got, []Difference{
		{Path: "a[1]", InForce: "2"},
		{Path: "b.c", InForce: "1", Yours: `"x"`},
		{Path: "e", Yours: "null"},
	})
}

package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

var (
	terms = DefaultTerms()
	epoch = time.UnixMilli(1_780_000_000_000)
	vmA   = Holder{VM: "vm-a", Incarnation: 1}
	vmB   = Holder{VM: "vm-b", Incarnation: 1}
)

// writer appends records to a fold and numbers them.
type writer struct {
	fold   *Fold
	at     time.Time
	logged []logservice.Record
}

func newWriter() *writer { return &writer{fold: NewFold(terms), at: epoch} }

func (w *writer) apply(record Record) Verdict {
	record.Format, record.Lease = Format, "zone-a/drafter"
	data, err := record.Encode()
	if err != nil {
		panic(err)
	}
	offset := uint64(len(w.logged))
	entry := logservice.Entry{ID: fmt.Sprint("id-", offset), Data: data}
	w.logged = append(w.logged, logservice.Record{Offset: offset, Time: w.at, Entry: entry})
	_, verdict := w.fold.Apply(w.logged[offset])
	return verdict
}

func (w *writer) acquire(holder Holder) Verdict {
	return w.apply(Record{Kind: KindAcquire, Holder: holder, ValidUntilMillis: w.at.Add(terms.Validity).UnixMilli()})
}

func (w *writer) renew(holder Holder, fencing uint64) Verdict {
	return w.apply(Record{Kind: KindRenew, Holder: holder, Fencing: fencing})
}

func TestLeaseExpiresByLogClockThenHandoverDelay(t *testing.T) {
	w := newWriter()
	assert.Equal(t, w.acquire(vmA), Acquired)
	assert.Equal(t, w.acquire(vmB), Refused)
	w.at = epoch.Add(terms.Duration - 1)
	assert.Equal(t, w.renew(vmA, 0), Renewed)
	end := w.at.Add(terms.Duration)
	w.at = end
	assert.Equal(t, w.renew(vmA, 0), Refused)
	w.at = end.Add(terms.HandoverDelay - 1)
	assert.Equal(t, w.acquire(vmB), Refused)
	assert.Equal(t, w.acquire(vmA), Refused, "the handover delay applies to the previous holder as well")
	w.at = end.Add(terms.HandoverDelay)
	assert.Equal(t, w.acquire(vmB), Acquired)
	state, _ := w.fold.Get("zone-a/drafter")
	assert.Equal(t, state.Fencing, uint64(len(w.logged)-1))
	assert.Equal(t, w.renew(vmA, 0), Refused)
}

func TestReleaseIsFollowedByHandoverDelay(t *testing.T) {
	w := newWriter()
	assert.Equal(t, w.acquire(vmA), Acquired)
	assert.Equal(t, w.apply(Record{Kind: KindRelease, Holder: vmB}), Refused)
	assert.Equal(t, w.apply(Record{Kind: KindRelease, Holder: vmA}), Released)
	w.at = epoch.Add(terms.HandoverDelay - 1)
	assert.Equal(t, w.acquire(vmB), Refused)
	w.at = epoch.Add(terms.HandoverDelay)
	assert.Equal(t, w.acquire(vmB), Acquired)
}

func TestTenureEndsUnlessAcquiredAgain(t *testing.T) {
	w := newWriter()
	assert.Equal(t, w.acquire(vmA), Acquired)
	for ; w.at.Before(epoch.Add(terms.MaxTenure)); w.at = w.at.Add(terms.Renewal) {
		assert.Equal(t, w.renew(vmA, 0), Renewed)
	}
	assert.Equal(t, w.renew(vmA, 0), Refused)
	assert.Equal(t, w.acquire(vmA), Acquired)
}

func TestLateOrRepeatedAcquireHasNoEffect(t *testing.T) {
	w := newWriter()
	late := Record{Kind: KindAcquire, Holder: vmA, ValidUntilMillis: epoch.Add(-1).UnixMilli()}
	assert.Equal(t, w.apply(late), Refused)
	assert.Equal(t, w.acquire(vmA), Acquired)
	again := w.logged[1]
	again.Offset = 2
	_, verdict := w.fold.Apply(again)
	assert.Equal(t, verdict, Refused)
	state, _ := w.fold.Get("zone-a/drafter")
	assert.Equal(t, state.Fencing, uint64(1))
}

func TestStepBackOfTheLogsClockEndsNoLease(t *testing.T) {
	w := newWriter()
	assert.Equal(t, w.acquire(vmA), Acquired)
	w.at = epoch.Add(-time.Hour)
	assert.Equal(t, w.acquire(vmB), Refused)
	assert.Equal(t, w.renew(vmA, 0), Renewed)
}

func TestUnreadableRecordUnsettlesAllLeases(t *testing.T) {
	for _, data := range []string{
		`{`, `{"format":2,"lease":"l","holder":{"vm":"v"}}`, `{"format":1}`,
		`{"format":1,"kind":"lend","lease":"l","holder":{"vm":"v"}}`,
	} {
		fold := NewFold(terms)
		assert.Assert(t, fold.Settled(epoch))
		_, verdict := fold.Apply(logservice.Record{Time: epoch, Entry: logservice.Entry{Data: []byte(data)}})
		assert.Equal(t, verdict, Unreadable, data)
		assert.Assert(t, !fold.Settled(epoch.Add(terms.Duration+terms.HandoverDelay-1)))
		assert.Assert(t, fold.Settled(epoch.Add(terms.Duration+terms.HandoverDelay)))
	}
}

// span is a period in which one VM holds the lease according to the log.
type span struct {
	holder     Holder
	fencing    uint64
	start, end time.Time
}

// drawRecord draws an arbitrary record, valid or not.
func drawRecord(t *rapid.T, latest uint64) Record {
	record := Record{
		Kind:   rapid.SampledFrom([]Kind{KindAcquire, KindRenew, KindRenew, KindRelease}).Draw(t, "kind"),
		Holder: rapid.SampledFrom([]Holder{vmA, vmB, {VM: "vm-a", Incarnation: 2}}).Draw(t, "holder"),
	}
	if rapid.IntRange(0, 4).Draw(t, "old") == 0 {
		latest -= min(latest, rapid.Uint64Range(0, 3).Draw(t, "behind"))
	}
	record.Fencing = latest
	return record
}

// findViolation describes the first violation in a sequence of spans, empty if there
// is none.
func findViolation(spans []span, handoverDelay time.Duration) string {
	for i := 1; i < len(spans); i++ {
		before, after := spans[i-1], spans[i]
		if after.fencing <= before.fencing {
			return fmt.Sprintf("fencing number %d after %d", after.fencing, before.fencing)
		}
		if after.holder != before.holder && after.start.Before(before.end.Add(handoverDelay)) {
			return fmt.Sprintf("%v begins %s after the end of %v", after.holder, after.start.Sub(before.end), before.holder)
		}
	}
	return ""
}

// spansOf applies drawn records and returns the spans that their verdicts imply.
func spansOf(rt *rapid.T, foldTerms Terms) []span {
	w := newWriter()
	w.fold = NewFold(foldTerms)
	var spans []span
	for range rapid.IntRange(5, 60).Draw(rt, "records") {
		w.at = w.at.Add(time.Duration(rapid.IntRange(-1, 12).Draw(rt, "seconds")) * time.Second)
		state, _ := w.fold.Get("zone-a/drafter")
		record := drawRecord(rt, state.Fencing)
		record.ValidUntilMillis = w.at.Add(time.Duration(rapid.IntRange(-1, 5).Draw(rt, "valid")) * time.Second).UnixMilli()
		verdict := w.apply(record)
		state, _ = w.fold.Get("zone-a/drafter")
		switch verdict {
		case Acquired:
			spans = append(spans, span{state.Holder, state.Fencing, w.fold.latest, state.Expires})
		case Renewed, Released:
			spans[len(spans)-1].end = state.Expires
		}
	}
	return spans
}

func TestNeverTwoHoldersAndFencingRises(t *testing.T) {
	setChecks(t, "1000")
	rapid.Check(t, func(rt *rapid.T) {
		if wrong := findViolation(spansOf(rt, terms), terms.HandoverDelay); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func TestCheckRejectsAFoldWithoutHandoverDelay(t *testing.T) {
	setChecks(t, "100")
	broken := terms
	broken.HandoverDelay = 0
	found := 0
	rapid.Check(t, func(rt *rapid.T) {
		if findViolation(spansOf(rt, broken), terms.HandoverDelay) != "" {
			found++
		}
	})
	assert.Assert(t, found > 0, "no schedule detects the missing handover delay")
}

// runHolders appends the records of successive holders. Each renews for a drawn
// number of times and then stops; a second VM may compete for the free lease.
func runHolders(rt *rapid.T) *writer {
	w := newWriter()
	for w.at.Before(epoch.Add(3 * terms.settlePeriod())) {
		first := rapid.SampledFrom([]Holder{vmA, vmB}).Draw(rt, "first")
		w.acquire(first)
		fencing := uint64(len(w.logged) - 1)
		if rapid.Bool().Draw(rt, "race") {
			w.at = w.at.Add(time.Duration(rapid.IntRange(0, 4).Draw(rt, "late")) * time.Second)
			w.acquire(Holder{VM: "vm-c"})
		}
		renewals := rapid.SampledFrom([]int{0, 1, 5, 60, 100, 400}).Draw(rt, "renewals")
		for i := range renewals {
			w.at = w.at.Add(terms.Renewal)
			if i%60 == 59 {
				w.acquire(first)
				fencing = uint64(len(w.logged) - 1)
				continue
			}
			w.renew(first, fencing)
		}
		state, _ := w.fold.Get("zone-a/drafter")
		w.at = state.Free.Add(time.Duration(rapid.IntRange(0, 3).Draw(rt, "idle")) * time.Second)
	}
	return w
}

func TestReaderWithoutTheOldestRecordsAgreesOnceSettled(t *testing.T) {
	setChecks(t, "6")
	rapid.Check(t, func(rt *rapid.T) {
		w := runHolders(rt)
		whole, late := NewFold(terms), NewFold(terms)
		start := rapid.IntRange(0, len(w.logged)/2).Draw(rt, "start")
		late.Skip(w.logged[start].Time)
		for i, logged := range w.logged {
			_, verdict := whole.Apply(logged)
			if i < start {
				continue
			}
			_, same := late.Apply(logged)
			if late.Settled(logged.Time) && same != verdict {
				rt.Fatalf("record %d, read from record %d on: %s, want %s", i, start, same, verdict)
			}
		}
	})
}

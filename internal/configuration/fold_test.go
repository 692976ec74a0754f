package configuration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// foldReader reads the log from an offset onwards.
type foldReader struct {
	start int
	fold  *Fold
}

// foldRun is a log with readers that start at different offsets. Reader 0 reads
// the whole log.
type foldRun struct {
	log     []Record
	readers []*foldReader
}

func (r *foldRun) append(record Record) {
	offset := len(r.log)
	r.log = append(r.log, record)
	for _, reader := range r.readers {
		if reader.start <= offset {
			reader.fold.Apply(record, uint64(offset))
		}
	}
}

var foldSubjects = []string{TeamSubject("a"), TeamSubject("b")}

// step appends a randomly drawn record to the log or passes one reader's version
// directly to another reader.
func (r *foldRun) step(t *rapid.T) {
	subject := rapid.SampledFrom(foldSubjects).Draw(t, "subject")
	reader := rapid.SampledFrom(r.readers).Draw(t, "reader")
	current, known := reader.fold.Get(subject)
	switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
	case action < 5:
		base := current.Version + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
		r.append(Record{
			Kind: KindPublish, Subject: subject, Base: base, Version: base + 1, Publisher: fmt.Sprint(len(r.log)),
		})
	case action < 7 && len(r.log) > 0:
		r.append(rapid.SampledFrom(r.log).Draw(t, "duplicate"))
	case action < 9 && known:
		r.append(current.Reappend())
	case known:
		rapid.SampledFrom(r.readers).Draw(t, "peer").fold.Apply(current.Reappend(), 0)
	}
}

// versions returns the reader's versions of the subjects.
func (r *foldReader) versions() [2]uint64 {
	var versions [2]uint64
	for i, subject := range foldSubjects {
		current, _ := r.fold.Get(subject)
		versions[i] = current.Version
	}
	return versions
}

func (r *foldReader) state() string {
	text := ""
	for _, current := range r.fold.All() {
		text += fmt.Sprintf("%s %v %s\n", current.Record.Subject, current.Position, current.Record.Publisher)
	}
	return text
}

// TestReadersConverge checks that readers that start at any offset never return
// to a lower version, never hold a higher version than the reader of the whole
// log, and agree with that reader once every reader has re-appended its state.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &foldRun{}
		starts := rapid.SliceOfN(rapid.IntRange(0, 30), 3, 3).Draw(t, "starts")
		for _, start := range append([]int{0}, starts...) {
			run.readers = append(run.readers, &foldReader{start: start, fold: NewFold()})
		}
		for range 40 {
			before := make([][2]uint64, len(run.readers))
			for i, reader := range run.readers {
				before[i] = reader.versions()
			}
			run.step(t)
			checkVersions(t, run, before)
		}
		for _, reader := range run.readers {
			reader.start = min(reader.start, len(run.log))
		}
		want := run.readers[0].state()
		for _, reader := range run.readers {
			for _, current := range reader.fold.All() {
				run.append(current.Reappend())
			}
		}
		for i, reader := range run.readers {
			assert.Equal(t, reader.state(), want, "reader %d", i)
		}
	})
}

func checkVersions(t *rapid.T, run *foldRun, before [][2]uint64) {
	whole := run.readers[0].versions()
	for i, reader := range run.readers {
		for j, version := range reader.versions() {
			assert.Assert(t, version >= before[i][j], "reader %d returned to a lower version", i)
			assert.Assert(t, version <= whole[j], "reader %d has a higher version than the reader of the whole log", i)
		}
	}
}

func TestFoldOutcomes(t *testing.T) {
	team := testTeam("a", 1)
	subject := TeamSubject("a")
	publish := func(base uint64) Record { return publishOf(subject, base, "p", &team) }
	reappend := func(version, origin uint64) Record { return publish(version - 1).reappend(origin) }
	for _, test := range []struct {
		name    string
		current Position
		record  Record
		offset  uint64
		want    Outcome
	}{
		{"first publish", Position{}, publish(0), 0, Accepted},
		{"next publish", Position{3, 10}, publish(3), 11, Accepted},
		{"superseded base", Position{3, 10}, publish(2), 11, Refused},
		{"unknown base", Position{3, 10}, publish(4), 11, Ahead},
		{"publish at a lower offset than the current version", Position{3, 10}, publish(3), 9, Known},
		{"re-append of a higher version", Position{3, 10}, reappend(5, 12), 20, Accepted},
		{"re-append with lower origin", Position{3, 10}, reappend(3, 9), 20, Accepted},
		{"re-append of the current version", Position{3, 10}, reappend(3, 10), 20, Known},
		{"re-append with higher origin", Position{3, 10}, reappend(3, 11), 20, Known},
		{"re-append of a superseded version", Position{3, 10}, reappend(2, 1), 20, Known},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcome, position := decide(test.current, &test.record, test.offset)
			assert.Equal(t, outcome, test.want)
			assert.Equal(t, position == test.current, test.want != Accepted)
		})
	}
}

func TestFoldBehind(t *testing.T) {
	fold := NewFold()
	team := testTeam("a", 1)
	record := publishOf(TeamSubject("a"), 4, "p", &team)
	assert.Equal(t, fold.Apply(record, 100), Ahead)
	assert.Assert(t, fold.Behind(TeamSubject("a")))
	assert.Equal(t, fold.Apply(record.reappend(100), 120), Accepted)
	assert.Assert(t, !fold.Behind(TeamSubject("a")))
}

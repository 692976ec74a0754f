package measure

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/problem"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

// isType returns the predicate of an error type for assert.ErrorType.
func isType(kind *errorx.Type) func(error) bool {
	return func(err error) bool { return errorx.IsOfType(err, kind) }
}

var testOutputs = engine.Range{Min: 5, Max: 50}

// passingEvaluation returns the data of a run for which all checks pass: a
// completion, a booking that ran and a booking that was refused as not-run.
func passingEvaluation(t *testing.T) *evaluation {
	t.Helper()
	classes, err := offeredClasses(testBundle(), testLoad())
	assert.NilError(t, err)
	text, book, refused := &classes[0], &classes[1], &classes[1]
	receipt, err := json.Marshal(plain.Receipt{Path: "/book", IdempotencyKey: "k1", RequestID: "vm.1.2"})
	assert.NilError(t, err)
	e := &evaluation{
		outputs:        testOutputs,
		counts:         &counts{byKey: map[string]int{"k1": 1}, byRequest: map[string]int{"vm.1.1": 2, "vm.1.2": 1}},
		workAfterGrace: map[string]int{"d1": 0},
		records: []record{
			{plannedRequest: &plannedRequest{offeredClass: text, prompt: "hello"}, status: statusAnswered, requestID: "vm.1.1"},
			{plannedRequest: &plannedRequest{offeredClass: book, key: "k1"}, status: statusAnswered, requestID: "vm.1.2", body: receipt},
			{plannedRequest: &plannedRequest{offeredClass: refused, key: "k2"}, status: statusRefused, requestID: "vm.1.3", outcome: string(problem.NotRun)},
		},
	}
	e.records[0].text = expectedText(e.records[0].plannedRequest, testOutputs)
	return e
}

// failedChecks returns the names of the checks that failed.
func failedChecks(e *evaluation) []string {
	point := Point{Checks: e.check()}
	names := []string{}
	for _, c := range point.Broken() {
		names = append(names, c.Name)
	}
	return names
}

func TestChecksPassWithoutViolations(t *testing.T) {
	e := passingEvaluation(t)
	assert.DeepEqual(t, failedChecks(e), []string{})
	for _, c := range e.check() {
		assert.Assert(t, c.Subjects > 0, "%s checked no case", c.Name)
	}
}

func TestEveryCheckDetectsItsViolation(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(e *evaluation)
		want  string
	}{
		{"second execution", func(e *evaluation) { e.counts.byKey["k1"] = 2 }, CheckSingleExecution},
		{"refused request ran", func(e *evaluation) { e.counts.byRequest["vm.1.3"] = 1 }, CheckNotRun},
		{"refused key ran", func(e *evaluation) { e.counts.byKey["k2"] = 1 }, CheckNotRunKey},
		{"cut answer", func(e *evaluation) { e.records[0].text = e.records[0].text[1:] }, CheckOwnAnswer},
		{"duplicated answer", func(e *evaluation) { e.records[0].text += e.records[0].text }, CheckOwnAnswer},
		{"answer to another request", func(e *evaluation) {
			e.records[0].text = engine.NewAnswer("other", testOutputs, 0).Text()
		}, CheckOwnAnswer},
		{"receipt of another key", func(e *evaluation) { e.records[1].key = "k9" }, CheckOwnAnswer},
		{"receipt of another path", func(e *evaluation) { e.records[1].body = []byte(`{"path":"/x","idempotency_key":"k1"}`) }, CheckOwnAnswer},
		{"no receipt", func(e *evaluation) { e.records[1].body = nil }, CheckOwnAnswer},
		{"interrupted answer", func(e *evaluation) { e.records[0].status = statusCutShort }, CheckFinished},
		{"no answer", func(e *evaluation) { e.records[0].status = statusUnreachable }, CheckFinished},
		{"second answer", func(e *evaluation) { e.records = append(e.records, e.records[1]) }, CheckSingleAnswer},
		{"memory still held", func(e *evaluation) { e.counts.piecesHeld = 1 }, CheckMemory},
		{"work for a leaving endpoint", func(e *evaluation) { e.workAfterGrace["d1"] = 1 }, CheckLeaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := passingEvaluation(t)
			test.fault(e)
			assert.DeepEqual(t, failedChecks(e), []string{test.want})
		})
	}
}

func TestChecksThatNeedCountsAreSkippedWithoutThem(t *testing.T) {
	e := passingEvaluation(t)
	e.counts = nil
	for _, c := range e.check() {
		needsCounts := c.Name != CheckOwnAnswer && c.Name != CheckFinished && c.Name != CheckSingleAnswer && c.Name != CheckLeaving
		assert.Equal(t, c.Subjects == 0, needsCounts, c.Name)
	}
}

func TestEngineExecutionsAreCountedByRequest(t *testing.T) {
	c := newCounts()
	c.addEngine(&engine.Counts{Executions: map[string]int{"vm.1.7.1": 1, "vm.1.7.2": 1, "vm.1.70.1": 1}})
	assert.DeepEqual(t, c.byRequest, map[string]int{"vm.1.7": 2, "vm.1.70": 1})
}

func TestLatencyCountsFromTheIntendedSendTime(t *testing.T) {
	classes, err := offeredClasses(testBundle(), testLoad())
	assert.NilError(t, err)
	answer := &caller.Answer{Status: 200, Tokens: 3, FirstToken: 900 * time.Millisecond, Whole: 960 * time.Millisecond,
		Gaps: []time.Duration{30 * time.Millisecond, 30 * time.Millisecond}}
	onTime := newRecord(&plannedRequest{offeredClass: &classes[0]}, 0, answer, nil, false)
	assert.Assert(t, onTime.metTargets())
	late := newRecord(&plannedRequest{offeredClass: &classes[0]}, 200*time.Millisecond, answer, nil, false)
	assert.Equal(t, late.firstToken, 1100*time.Millisecond)
	assert.Equal(t, late.wholeAnswer, 1160*time.Millisecond)
	assert.Assert(t, !late.metTargets())
	answer.Whole += 2 * time.Millisecond
	slow := newRecord(&plannedRequest{offeredClass: &classes[0]}, 0, answer, nil, false)
	assert.Assert(t, !slow.metTargets(), "a mean of 31 ms between tokens misses 30 ms")
}

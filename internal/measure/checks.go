package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/problem"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Check is the result of one check of a guarantee to callers.
type Check struct {
	Name string `json:"name"`
	// Subjects is the number of cases that were checked.
	Subjects int `json:"subjects"`
	// Broken is the number of cases that violate the guarantee, Examples describe
	// the first of them.
	Broken   int      `json:"broken"`
	Examples []string `json:"examples,omitempty"`
}

// The names of the checks.
const (
	CheckSingleExecution = "no key executed more than once"
	CheckNotRun          = "no request refused as not-run executed"
	CheckNotRunKey       = "no key whose requests were all refused as not-run executed"
	CheckOwnAnswer       = "every answer is whole, single and its caller's own"
	CheckFinished        = "every request got a whole answer or a refusal"
	CheckSingleAnswer    = "no key answered twice"
	CheckMemory          = "engine memory back to zero after the end"
	CheckLeaving         = "no work to an endpoint 3 s after it began to leave"
)

// maxExamples limits the number of examples of a check.
const maxExamples = 3

func (c *Check) fail(format string, args ...any) {
	c.Broken++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, fmt.Sprintf(format, args...))
	}
}

// evaluation holds the data on which the checks are run.
type evaluation struct {
	records []record
	outputs engine.Range
	// counts were read when the engines held no memory or memoryWait had passed;
	// nil if the counters of the stand-ins are not accessible.
	counts     *counts
	memoryWait time.Duration
	// workAfterGrace holds how much work each leaving endpoint received later than
	// 3 s (leavingGrace) after it began to leave.
	workAfterGrace map[string]int
}

// check runs all checks.
func (e *evaluation) check() []Check {
	return []Check{
		e.checkSingleExecution(),
		e.checkNotRun(),
		e.checkNotRunKey(),
		e.checkOwnAnswer(),
		e.checkFinished(),
		e.checkSingleAnswer(),
		e.checkMemory(),
		e.checkLeaving(),
	}
}

func (e *evaluation) checkSingleExecution() Check {
	c := Check{Name: CheckSingleExecution}
	if e.counts == nil {
		return c
	}
	for key, n := range e.singleExecutionKeys() {
		c.Subjects++
		if n > 1 {
			c.fail("key %s was executed %d times", key, n)
		}
	}
	return c
}

// singleExecutionKeys returns the number of executions by key, for the keys of
// classes whose requests must not be executed twice.
func (e *evaluation) singleExecutionKeys() map[string]int {
	keys := make(map[string]int)
	for i := range e.records {
		r := &e.records[i]
		if r.key != "" && r.class.Repeat == configuration.NeverRepeat {
			keys[r.key] = e.counts.byKey[r.key]
		}
	}
	return keys
}

func (e *evaluation) checkNotRun() Check {
	c := Check{Name: CheckNotRun}
	if e.counts == nil {
		return c
	}
	for i := range e.records {
		r := &e.records[i]
		if !r.refusedNotRun() {
			continue
		}
		c.Subjects++
		if n := e.counts.byRequest[r.requestID]; n > 0 {
			c.fail("request %s was refused as not-run (%s) and executed %d times", r.requestID, r.problem, n)
		}
	}
	return c
}

func (r *record) refusedNotRun() bool {
	return r.status == statusRefused && r.outcome == string(problem.NotRun)
}

func (e *evaluation) checkNotRunKey() Check {
	c := Check{Name: CheckNotRunKey}
	if e.counts == nil {
		return c
	}
	ran := make(map[string]bool)
	for i := range e.records {
		if r := &e.records[i]; r.key != "" {
			ran[r.key] = ran[r.key] || !r.refusedNotRun()
		}
	}
	for _, key := range slices.Sorted(maps.Keys(ran)) {
		if ran[key] {
			continue
		}
		c.Subjects++
		if n := e.counts.byKey[key]; n > 0 {
			c.fail("key %s was refused as not-run and executed %d times", key, n)
		}
	}
	return c
}

func (e *evaluation) checkOwnAnswer() Check {
	c := Check{Name: CheckOwnAnswer}
	for i := range e.records {
		r := &e.records[i]
		if r.status != statusAnswered {
			continue
		}
		c.Subjects++
		if fault := e.answerMismatch(r); fault != "" {
			c.fail("request %s of class %s: %s", r.requestID, r.Class, fault)
		}
	}
	return c
}

// answerMismatch describes how an answer differs from the expected one. It is empty
// if it does not differ.
func (e *evaluation) answerMismatch(r *record) string {
	if !r.class.ModelBacked() {
		return receiptMismatch(r)
	}
	want := expectedText(r.plannedRequest, e.outputs)
	if r.text == want {
		return ""
	}
	return fmt.Sprintf("the answer has %d bytes and is not the expected one of %d bytes", len(r.text), len(want))
}

func (e *evaluation) checkFinished() Check {
	c := Check{Name: CheckFinished}
	for i := range e.records {
		r := &e.records[i]
		if r.status == statusDisconnected {
			continue
		}
		c.Subjects++
		if r.status == statusCutShort || r.status == statusUnreachable {
			c.fail("request %s of class %s: %s %s %s", r.requestID, r.Class, r.status, r.problem, r.detail)
		}
	}
	return c
}

func (e *evaluation) checkSingleAnswer() Check {
	c := Check{Name: CheckSingleAnswer}
	answers := make(map[string]int)
	for i := range e.records {
		r := &e.records[i]
		if r.key == "" {
			continue
		}
		if r.status == statusAnswered {
			answers[r.key]++
		}
	}
	for _, key := range slices.Sorted(maps.Keys(answers)) {
		c.Subjects++
		if answers[key] > 1 {
			c.fail("key %s was answered %d times", key, answers[key])
		}
	}
	return c
}

func (e *evaluation) checkMemory() Check {
	c := Check{Name: CheckMemory}
	if e.counts == nil {
		return c
	}
	c.Subjects = 1
	if held := e.counts.piecesHeld; held > 0 {
		c.fail("%d pieces were held %s after the end", held, e.memoryWait)
	}
	return c
}

func (e *evaluation) checkLeaving() Check {
	c := Check{Name: CheckLeaving}
	for _, name := range slices.Sorted(maps.Keys(e.workAfterGrace)) {
		c.Subjects++
		if n := e.workAfterGrace[name]; n > 0 {
			c.fail("%s received %d pieces of work", name, n)
		}
	}
	return c
}

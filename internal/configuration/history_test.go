package configuration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// The sequential specification is a register whose versions are never replaced. A
// publish succeeds if and only if its base is the current version. A VM may read
// any published version that is not lower than the one it read last.

type historyInput struct {
	// reader is the index of the reading VM, -1 for a publish.
	reader int
	base   uint64
	value  float64
}

type historyOutput struct {
	// omitted marks operations that are left out of the history: publishes that
	// certainly had no effect, so that a later read of their value is an error,
	// and reads of an unchanged version.
	omitted bool
	// unknown marks a publish that may take effect at any later time or never.
	unknown  bool
	accepted bool
	version  uint64
	value    float64
}

type historyState struct {
	values []float64
	seen   [historyReaders]uint64
}

// historyReaders is the number of reading VMs.
const historyReaders = 3

func stepHistory(state, input, output any) []any {
	s, in, out := state.(historyState), input.(historyInput), output.(historyOutput)
	if in.reader >= 0 {
		return s.read(in, out)
	}
	succeeds := in.base == uint64(len(s.values))
	published := historyState{values: append(slices.Clone(s.values), in.value), seen: s.seen}
	switch {
	case out.unknown && succeeds:
		return []any{s, published}
	case out.unknown || !out.accepted && !succeeds:
		return []any{s}
	case out.accepted && succeeds:
		return []any{published}
	default:
		return nil
	}
}

func (s historyState) read(in historyInput, out historyOutput) []any {
	if out.version < s.seen[in.reader] || out.version > uint64(len(s.values)) {
		return nil
	}
	if out.version > 0 && s.values[out.version-1] != out.value {
		return nil
	}
	s.seen[in.reader] = out.version
	return []any{s}
}

var historyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{historyState{}} },
	Step: stepHistory,
	Equal: func(a, b any) bool {
		x, y := a.(historyState), b.(historyState)
		return slices.Equal(x.values, y.values) && x.seen == y.seen
	},
}).ToModel()

// schedule is a randomly drawn run of concurrent publishers and readers.
type schedule struct {
	// pauses holds the milliseconds before each publish, by publisher.
	pauses [][]int
	faults []logtest.Fault
	// outageStart and outageLength are in milliseconds.
	outageStart, outageLength int
	// timeout is the timeout of a publish in milliseconds.
	timeout int
}

func drawSchedule(t *rapid.T) schedule {
	fault := rapid.Custom(func(t *rapid.T) logtest.Fault {
		delay := time.Duration(rapid.SampledFrom([]int{0, 40, 505, 515, 900}).Draw(t, "delay_ms")) * time.Millisecond
		return rapid.SampledFrom([]logtest.Fault{
			{}, {}, {}, {Outage: true}, {LoseRequest: true}, {LoseAnswer: true}, {LoseAnswer: true, Delay: delay},
		}).Draw(t, "fault")
	})
	return schedule{
		pauses:       rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 400), 1, 4), 2, 4).Draw(t, "pauses"),
		faults:       rapid.SliceOfN(fault, 0, 12).Draw(t, "faults"),
		outageStart:  rapid.IntRange(0, 1000).Draw(t, "outage_start_ms"),
		outageLength: rapid.SampledFrom([]int{0, 300, 2000}).Draw(t, "outage_ms"),
		timeout:      rapid.SampledFrom([]int{100, 600, 3000}).Draw(t, "timeout_ms"),
	}
}

// historyRun runs a schedule and records its operations.
type historyRun struct {
	schedule
	rule   acceptanceRule
	log    *logtest.Log
	stores [historyReaders]*Store
	clock  atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

// runSchedule returns the operations of a schedule under a rule. Versions of the
// team count from the first publish; every publish has a distinct value.
func runSchedule(t *testing.T, s schedule, rule acceptanceRule) []porcupine.Operation {
	h := &historyRun{schedule: s, rule: rule, log: faultyLog(s.faults)}
	ctx, cancel := context.WithCancel(t.Context())
	var background, publishers sync.WaitGroup
	for i := range h.stores {
		h.stores[i] = NewStore(timeline.Discard)
		h.stores[i].fold = newFold(rule)
		// The last VM starts late and reads the whole log at once.
		background.Go(func() {
			time.Sleep(time.Duration(i/2) * 300 * time.Millisecond)
			_ = h.stores[i].Follow(ctx, h.log)
		})
		background.Go(func() { h.readPeriodically(ctx, i) })
	}
	background.Go(func() {
		time.Sleep(time.Duration(s.outageStart) * time.Millisecond)
		h.log.SetAway(s.outageLength > 0)
		time.Sleep(time.Duration(s.outageLength) * time.Millisecond)
		h.log.SetAway(false)
	})
	background.Go(func() { h.reappendPeriodically(ctx, t) })
	for i, pauses := range s.pauses {
		publishers.Go(func() { h.publishAll(ctx, t, i, pauses) })
	}
	publishers.Wait()
	time.Sleep(2 * time.Second)
	cancel()
	background.Wait()
	return h.operations
}

func faultyLog(faults []logtest.Fault) *logtest.Log {
	var mu sync.Mutex
	return logtest.New(logtest.Options{Latency: 10 * time.Millisecond, Faults: func(string, []logservice.Entry) (f logtest.Fault) {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) > 0 {
			f, faults = faults[0], faults[1:]
		}
		return f
	}})
}

func (h *historyRun) record(client int, in historyInput, do func() historyOutput) {
	call := h.clock.Add(1)
	out := do()
	end := h.clock.Add(1)
	if out.unknown {
		end = 1 << 60
	}
	if out.omitted {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (h *historyRun) readPeriodically(ctx context.Context, reader int) {
	var last uint64
	for sleep(ctx, 75*time.Millisecond) == nil {
		h.record(reader, historyInput{reader: reader}, func() historyOutput {
			version, value := h.read(reader)
			unchanged := version == last
			last = version
			return historyOutput{omitted: unchanged, version: version, value: value}
		})
	}
}

func (h *historyRun) read(reader int) (uint64, float64) {
	snapshot := h.stores[reader].Snapshot()
	if snapshot == nil {
		return 0, 0
	}
	team, ok := snapshot.Team("a")
	if !ok {
		return 0, 0
	}
	return snapshot.Version(TeamSubject("a")), team.Team.Share
}

// publishAll publishes values that are based on the version in force on one VM at
// that time.
func (h *historyRun) publishAll(ctx context.Context, t *testing.T, publisher int, pauses []int) {
	appender, err := logservice.NewAppender(h.log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	for i, milliseconds := range pauses {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		base, _ := h.read(publisher % historyReaders)
		value := float64(100*publisher + i + 1)
		p := NewPublisher(h.log, appender, fmt.Sprint(publisher))
		p.rule = h.rule
		h.record(historyReaders+publisher, historyInput{reader: -1, base: base, value: value}, func() historyOutput {
			return h.publishValue(ctx, p, base, value)
		})
	}
}

// reappendPeriodically re-appends the first VM's version, which may be superseded
// on other VMs.
func (h *historyRun) reappendPeriodically(ctx context.Context, t *testing.T) {
	appender, err := logservice.NewAppender(h.log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	defer appender.Close()
	for i := 0; sleep(ctx, 350*time.Millisecond) == nil; i++ {
		current, ok := h.stores[0].Current(TeamSubject("a"))
		if !ok {
			continue
		}
		data, err := current.Reappend().Encode()
		assert.NilError(t, err)
		_, _ = appender.Append(ctx, Stream, logservice.PurposeConfiguration, logservice.Entry{ID: fmt.Sprintf("reappend.%d", i), Data: data})
	}
}

func (h *historyRun) publishValue(ctx context.Context, p *Publisher, base uint64, value float64) historyOutput {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(h.timeout)*time.Millisecond)
	defer cancel()
	bundle := testBundle("a")
	// Small documents keep a schedule fast, so that many can be checked.
	bundle.Fleet = Fleet{Zones: bundle.Fleet.Zones, Times: bundle.Fleet.Times}
	bundle.Teams[0].Classes = nil
	bundle.Teams[0].Share = value
	bundle.BasedOn = map[string]uint64{TeamSubject("a"): base}
	report, err := p.Publish(ctx, bundle)
	for _, result := range report.Results {
		if result.Subject == TeamSubject("a") {
			return historyOutput{accepted: result.Accepted}
		}
	}
	notPublished := errorx.IsOfType(err, NotPublished)
	return historyOutput{omitted: notPublished, unknown: !notPublished}
}

func linearizable(operations []porcupine.Operation) bool {
	return porcupine.CheckOperations(historyModel, operations)
}

func TestPublishesAndReadsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := rapid.Custom(drawSchedule).Draw(rt, "schedule")
		var operations []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { operations = runSchedule(t, s, decide) })
		assert.Assert(rt, linearizable(operations))
	})
}

// lastWriterWins is an incorrect rule that accepts every publish.
func lastWriterWins(current Position, record *Record, offset uint64) (Outcome, Position) {
	if record.Kind == KindPublish {
		return Accepted, Position{record.Version, offset}
	}
	return decide(current, record, offset)
}

// TestLastWriterWinsIsRejected checks that the linearizability check detects an
// incorrect rule.
func TestLastWriterWinsIsRejected(t *testing.T) {
	const schedules = 30
	rejected := 0
	generator := rapid.Custom(drawSchedule)
	for seed := range schedules {
		var operations []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { operations = runSchedule(t, generator.Example(seed), lastWriterWins) })
		if !linearizable(operations) {
			rejected++
		}
	}
	assert.Assert(t, rejected >= schedules/5, "%d of %d", rejected, schedules)
}

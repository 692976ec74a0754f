package completion_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/internal/canceller"
	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/reservation"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	modelName = "drafter"
	zoneName  = "zone-a"
	maxTokens = 24
	// stallingSlowdown slows engines by a factor with which only a cancel ends an
	// attempt within the duration of a test.
	stallingSlowdown = 1e6
)

var outputs = standin.Range{Min: maxTokens, Max: maxTokens}

// pool is a set of stand-in prefill and decode engines with a runner that uses
// them.
type pool struct {
	engines map[string]*standin.Server
	runner  *completion.Runner
	next    uint64
}

type staticConfiguration struct{ snapshot *configuration.Snapshot }

func (f staticConfiguration) Snapshot() *configuration.Snapshot { return f.snapshot }

// startPool starts prefill engines p1, p2 and decode engines d1, d2 with the
// given number of slots each.
func startPool(t *testing.T, slots int) *pool {
	t.Helper()
	return startPoolWith(t, slots, time.Minute)
}

// startPoolOfBuilds starts a pool whose decode engines have the given builds.
// reserver may wrap the pool's reserver.
func startPoolOfBuilds(t *testing.T, builds map[string]string, reserver func(completion.Reserver) completion.Reserver) *pool {
	t.Helper()
	p, snapshot := startEngines(t, 4, builds)
	p.runner = newRunner(t, staticConfiguration{snapshot}, time.Minute, reserver)
	return p
}

// startPoolWith starts a pool whose phases count as stalled after the given time.
func startPoolWith(t *testing.T, slots int, stallFloor time.Duration) *pool {
	t.Helper()
	p, snapshot := startEngines(t, slots, nil)
	p.runner = newRunner(t, staticConfiguration{snapshot}, stallFloor, func(r completion.Reserver) completion.Reserver { return r })
	return p
}

// startEngines starts the engines of a pool without a runner.
func startEngines(t *testing.T, slots int, builds map[string]string) (*pool, *configuration.Snapshot) {
	t.Helper()
	p := &pool{engines: make(map[string]*standin.Server)}
	var bundle configuration.Bundle
	for _, name := range []string{"p1", "p2", "d1", "d2"} {
		role := configuration.RoleDecode
		if strings.HasPrefix(name, "p") {
			role = configuration.RolePrefill
		}
		server, err := standin.Start("127.0.0.1:0", standin.Options{
			Name: name, Model: modelName, Role: role, Slots: slots, OutputTokens: outputs,
			TokenInterval: configuration.Duration(2 * time.Millisecond),
		})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = server.Close() })
		server.SetFaults(standin.Faults{IgnoreClose: true})
		p.engines[name] = server
		bundle.Fleet.Endpoints = append(bundle.Fleet.Endpoints, configuration.Endpoint{
			Name: name, Zone: zoneName, Address: server.Addr(), Kind: configuration.KindEngine,
			Model: modelName, Role: role, Slots: slots, MemoryPieces: 1 << 20, PieceTokens: 16,
			LinkBytesPerSecond: 1 << 40, Build: builds[name],
		})
	}
	bundle.Format = configuration.Format
	bundle.Fleet.Zones = []configuration.Zone{{Name: zoneName}}
	bundle.Fleet.Times = configuration.Times{
		DrainLimit:   configuration.Duration(time.Minute),
		LogRetention: configuration.Duration(time.Hour),
		KeyWindow:    configuration.Duration(time.Minute),
	}
	bundle.Fleet.Models = []configuration.Model{{
		Name: modelName, PrefillTokensPerSecond: 20_000, KVBytesPerToken: 1000,
		TokenInterval: configuration.Duration(2 * time.Millisecond),
		KVRetention:   configuration.Duration(800 * time.Millisecond),
	}}
	snapshot, err := configuration.NewSnapshot(bundle)
	assert.NilError(t, err)
	return p, snapshot
}

// newRunner connects a runner to its dependencies as the daemon does. wrap returns
// the reserver that the runner uses.
func newRunner(
	t *testing.T, conf staticConfiguration, stallFloor time.Duration, wrap func(completion.Reserver) completion.Reserver,
) *completion.Runner {
	t.Helper()
	self := membership.Member{VM: "vm-1", Zone: zoneName, Incarnation: 1, State: membership.Alive}
	reserver := reservation.New(reservation.Params{
		View:  membership.Static{This: self, All: []membership.Member{self}},
		Fleet: func() reservation.Fleet { return conf.snapshot },
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { reserver.Run(ctx) })
	clients := openai.NewPool(conf)
	cancels := canceller.New(clients, timeline.Discard)
	t.Cleanup(func() {
		cancels.Close(context.Background())
		stop()
		running.Wait()
		clients.Close()
	})
	return completion.New(completion.Options{
		VM: "vm-1", Incarnation: 1, Zone: zoneName,
		Reserver: wrap(reserver), Engines: clients, Canceller: cancels,
		Endpoints: endpoint.NewRegistry(timeline.Discard), Configuration: conf, Events: timeline.Discard,
		StallFloor: stallFloor,
	})
}

// summaryClass has a between-token target so long that no decode counts as stalled.
func summaryClass() *configuration.Class {
	return &configuration.Class{
		Name: "summary", Model: modelName, Order: configuration.OrderFirstCome, QueueLimit: 10,
		Targets: configuration.Targets{BetweenTokens: configuration.Duration(time.Minute)},
	}
}

// request returns a request with the given prompt and a new number.
func (p *pool) request(prompt string) *completion.Request {
	p.next++
	return &completion.Request{
		Number: p.next, ID: prompt, Team: &configuration.Team{Name: "team"},
		Class:  summaryClass(),
		Prompt: &engine.Prompt{Text: prompt}, PromptText: prompt, MaxTokens: maxTokens, Arrived: time.Now(),
	}
}

func (p *pool) setFaults(prefix string, faults standin.Faults) {
	for name, e := range p.engines {
		if strings.HasPrefix(name, prefix) {
			e.SetFaults(faults)
		}
	}
}

// awaitNothingHeld waits until no engine holds resources for an attempt.
func (p *pool) awaitNothingHeld(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, e := range p.engines {
			c := e.Counts()
			if c.PiecesHeld+c.Active+c.Importing+c.Queued+c.Kept > 0 {
				return poll.Continue("%s holds %+v", name, c)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

func (p *pool) await(t *testing.T, what string, happened func(standin.Counts) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range p.engines {
			if happened(e.Counts()) {
				return poll.Success()
			}
		}
		return poll.Continue("no engine has %s", what)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

// textSink collects the text of an answer.
type textSink struct {
	mu  sync.Mutex
	all strings.Builder
	n   int
	// onToken is called after each token.
	onToken func(n int) error
}

func (s *textSink) Token(token engine.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.Write(token.Text)
	s.n++
	if s.onToken != nil {
		return s.onToken(s.n)
	}
	return nil
}

func wholeAnswer(prompt string) string { return standin.NewAnswer(prompt, outputs, maxTokens).Text() }

func TestAnswerIsWhole(t *testing.T) {
	p := startPool(t, 4)
	var got textSink
	result, err := p.runner.Run(t.Context(), p.request("dossier"), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.all.String(), wholeAnswer("dossier"))
	assert.Equal(t, result.CompletionTokens, maxTokens)
	p.awaitNothingHeld(t)
}

// callerGone runs a request whose caller disconnects once the condition holds.
func callerGone(t *testing.T, p *pool, what string, happened func(standin.Counts) bool) {
	t.Helper()
	ctx, cancelCaller := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	request := p.request(what)
	go func() {
		_, err := p.runner.Run(ctx, request, &textSink{})
		ended <- err
	}()
	p.await(t, what, happened)
	cancelCaller()
	err := <-ended
	assert.Assert(t, errorx.IsOfType(err, completion.CallerGone), "%v", err)
	p.awaitNothingHeld(t)
}

func TestCallerGoneInPrefill(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("p", standin.Faults{IgnoreClose: true, LateAnswers: configuration.Duration(time.Hour)})
	callerGone(t, p, "started a prefill", func(c standin.Counts) bool { return len(c.Executions) > 0 })
}

func TestCallerGoneInTransfer(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("d", standin.Faults{IgnoreClose: true, StallTransfers: true})
	callerGone(t, p, "started a transfer", func(c standin.Counts) bool { return c.Importing > 0 })
}

func TestCallerGoneInDecode(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("d", standin.Faults{IgnoreClose: true, Slow: stallingSlowdown})
	callerGone(t, p, "started a decode", func(c standin.Counts) bool { return c.Active > 0 })
}

func TestCallerGoneInQueue(t *testing.T) {
	p := startPool(t, 1)
	p.setFaults("d", standin.Faults{IgnoreClose: true, Slow: stallingSlowdown})
	ctx, stop := context.WithCancel(t.Context())
	var holders sync.WaitGroup
	for _, prompt := range []string{"first", "second"} {
		request := p.request(prompt)
		holders.Go(func() { _, _ = p.runner.Run(ctx, request, &textSink{}) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.engines["d1"].Counts().Active+p.engines["d2"].Counts().Active == 2 {
			return poll.Success()
		}
		return poll.Continue("slots are free")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	waiting, cancelCaller := context.WithCancel(t.Context())
	cancelCaller()
	_, err := p.runner.Run(waiting, p.request("third"), &textSink{})
	assert.Assert(t, errorx.IsOfType(err, completion.CallerGone), "%v", err)
	stop()
	holders.Wait()
	p.awaitNothingHeld(t)
	executed := 0
	for _, e := range p.engines {
		executed += len(e.Counts().Executions)
	}
	const prefillsAndDecodes = 4
	assert.Equal(t, executed, prefillsAndDecodes, "the request in the queue reached an engine")
}

func TestCallerThatStopsReadingIsCancelled(t *testing.T) {
	p := startPool(t, 4)
	sink := &textSink{onToken: func(int) error { return context.DeadlineExceeded }}
	_, err := p.runner.Run(t.Context(), p.request("unread"), sink)
	assert.Assert(t, errorx.IsOfType(err, completion.CallerGone), "%v", err)
	p.awaitNothingHeld(t)
}

func TestDecodeCrashIsResumedWithoutLossOrRepeat(t *testing.T) {
	p := startPool(t, 4)
	var got textSink
	got.onToken = func(n int) error {
		if n == maxTokens/2 {
			for _, name := range []string{"d1", "d2"} {
				if p.engines[name].Counts().Active > 0 {
					p.engines[name].Crash()
				}
			}
		}
		return nil
	}
	_, err := p.runner.Run(t.Context(), p.request("crash"), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.all.String(), wholeAnswer("crash"))
	assert.Equal(t, p.runner.Counters.Resumed.Load(), int64(1))
	p.awaitNothingHeld(t)
}

func TestResumeIsNotRefusedForTheTargetOfTheFirstToken(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("d", standin.Faults{CrashAfterTokens: maxTokens / 2})
	request := p.request("late resume")
	request.Class.Targets.FirstToken = configuration.Duration(time.Minute)
	var got textSink
	got.onToken = func(n int) error {
		if n == 1 {
			// The caller has its first token; move the arrival so that the target has passed.
			request.Arrived = request.Arrived.Add(-time.Hour)
		}
		return nil
	}
	_, err := p.runner.Run(t.Context(), request, &got)
	assert.NilError(t, err)
	assert.Equal(t, got.all.String(), wholeAnswer("late resume"))
}

func TestCrashOfEveryDecodeEngineIsSurvivedOnceTheyAreBack(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("d", standin.Faults{CrashAfterTokens: maxTokens / 4})
	var got textSink
	_, err := p.runner.Run(t.Context(), p.request("all crash"), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.all.String(), wholeAnswer("all crash"))
	p.awaitNothingHeld(t)
}

func TestCrossedEventsReachNoCaller(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("d1", standin.Faults{CrossAnswers: 1, ReplaceCrossed: true})
	for _, prompt := range []string{"one", "two", "three", "four"} {
		var got textSink
		_, err := p.runner.Run(t.Context(), p.request(prompt), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.all.String(), wholeAnswer(prompt))
	}
	assert.Assert(t, p.runner.Counters.Crossed.Load() > 0, "no crossed event was met")
	p.awaitNothingHeld(t)
}

func TestCrossedPrefillAnswerIsNotUsed(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("p1", standin.Faults{CrossAnswers: 1})
	for _, prompt := range []string{"one", "two", "three"} {
		var got textSink
		_, err := p.runner.Run(t.Context(), p.request(prompt), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.all.String(), wholeAnswer(prompt))
	}
	assert.Assert(t, p.runner.Counters.Crossed.Load() > 0, "no crossed answer was met")
	p.awaitNothingHeld(t)
}

func TestStalledTransferIsMovedToAnotherEngine(t *testing.T) {
	p := startPoolWith(t, 4, 500*time.Millisecond)
	p.setFaults("d1", standin.Faults{IgnoreClose: true, StallTransfers: true})
	for _, prompt := range []string{"one", "two"} {
		var got textSink
		_, err := p.runner.Run(t.Context(), p.request(prompt), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.all.String(), wholeAnswer(prompt))
	}
	assert.Assert(t, p.runner.Counters.TransferStalls.Load() > 0, "no transfer stalled")
	p.awaitNothingHeld(t)
}

func TestCancelIsRepeatedUntilAcknowledged(t *testing.T) {
	p := startPool(t, 4)
	p.setFaults("d", standin.Faults{IgnoreClose: true, Slow: stallingSlowdown, LoseCancelAnswers: true})
	ctx, cancelCaller := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	request := p.request("lost")
	go func() {
		_, err := p.runner.Run(ctx, request, &textSink{})
		ended <- err
	}()
	p.await(t, "started a decode", func(c standin.Counts) bool { return c.Active > 0 })
	cancelCaller()
	err := <-ended
	assert.Assert(t, errorx.IsOfType(err, completion.CallerGone), "%v", err)
	p.setFaults("d", standin.Faults{IgnoreClose: true})
	p.awaitNothingHeld(t)
}

func TestRefusalWithoutEnginesDidNotRun(t *testing.T) {
	p := startPool(t, 4)
	request := p.request("x")
	request.Class.Model = "unknown"
	_, err := p.runner.Run(t.Context(), request, &textSink{})
	var refused *completion.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Outcome, completion.OutcomeNotRun)
}

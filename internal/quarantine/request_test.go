package quarantine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// engines is the set of addresses at which nothing listens.
type engines struct {
	mu    sync.Mutex
	ended map[string]bool
	// replaced are the engines whose addresses belong to other processes.
	replaced map[string]bool
}

func (e *engines) Replaced(engine, _ string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replaced[engine]
}

func (e *engines) replace(engine string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replaced[engine] = true
}

func (e *engines) Refuses(_ context.Context, address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[address]
}

func (e *engines) crash(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[address] = true
}

// noPeers are calls that fail.
type noPeers struct{}

func (noPeers) Exchange(context.Context, membership.Member, Message) (Message, error) {
	return Message{}, errors.New("no such VM")
}

// fixture is a service of a VM without peers, in virtual time.
type fixture struct {
	*Service
	engines *engines
}

// inBubble runs a test with a service in virtual time.
func inBubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := decisionlog.Discard()
		defer log.Close()
		self := membership.Member{VM: "vm", Zone: "a", State: membership.Alive}
		e := &engines{ended: make(map[string]bool), replaced: make(map[string]bool)}
		f := &fixture{engines: e, Service: New(Params{
			View: membership.Static{This: self, All: []membership.Member{self}}, Peers: noPeers{}, Engines: e, Log: log,
			Clock: time.Now, Random: rand.New(rand.NewPCG(1, 1)),
		})}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		test(t, f)
		cancel()
		running.Wait()
	})
}

// crashOn lets an engine crash on a request.
func (f *fixture) crashOn(r *Request, engine string) {
	attempt := r.Begin(engine, engine)
	f.engines.crash(engine)
	attempt.Broken()
	synctest.Wait()
}

// quarantine lets three engines crash on prompts with some parts, a second apart.
func (f *fixture) quarantine(parts ...string) {
	for i := range minClusters {
		f.crashOn(f.Request("pool", "", parts), fmt.Sprint("e", i))
		time.Sleep(time.Second)
	}
}

func (f *fixture) holds(parts ...string) bool {
	_, held := f.Request("pool", "", parts).Held()
	return held
}

// A part that crashes engines was sent to one engine after the other.
func TestPartOnWhichEnginesCrashIsHeldBack(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		assert.Assert(t, !f.holds("a", "x"))
		f.quarantine("a", "x")
		hold, held := f.Request("pool", "", []string{"a", "x"}).Held()
		assert.Assert(t, held)
		assert.Equal(t, hold, Hold{Parts: "a, x", Crashes: 3, RetryAfter: firstTrialDelay - time.Second})
		assert.Assert(t, !f.holds("a"))
		assert.Assert(t, !f.holds())
		_, held = f.Request("other", "", []string{"a", "x"}).Held()
		assert.Assert(t, !held)
	})
}

// A connection that an engine breaks off says nothing about the prompt if the engine lives.
func TestBrokenAttemptsOfLivingEnginesDoNotCount(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		for i := range 10 {
			f.Request("pool", "", []string{"x"}).Begin(fmt.Sprint("e", i), "alive").Broken()
			time.Sleep(time.Second)
		}
		assert.Assert(t, !f.holds("x"))
	})
}

// A crash counts for requests whose answers had just begun, not for those that it
// interrupts later.
func TestOnlyBeginningsOfAnswersAreSuspected(t *testing.T) {
	for _, c := range []struct {
		since time.Duration
		held  bool
	}{{0, true}, {survivalTime - 1, true}, {survivalTime, false}} {
		inBubble(t, func(t *testing.T, f *fixture) {
			for i := range minClusters {
				engine := fmt.Sprint("e", i)
				attempt := f.Request("pool", "", []string{"x"}).Begin(engine, engine)
				attempt.Event()
				time.Sleep(c.since)
				f.engines.crash(engine)
				attempt.Broken()
				time.Sleep(10 * time.Second)
			}
			assert.Equal(t, f.holds("x"), c.held, "%v after the first event", c.since)
		})
	}
}

// Sound requests that share a part with those that crash engines must be served.
func TestSoundAnswerLiftsTheQuarantine(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		sound := f.Request("pool", "", []string{"x"}).Begin("e9", "e9")
		sound.Event()
		f.quarantine("x")
		assert.Assert(t, f.holds("x"))
		later := f.Request("pool", "", []string{"x"}).Begin("e9", "e9")
		later.Event()
		later.Complete()
		time.Sleep(maxClearDelay)
		synctest.Wait()
		assert.Assert(t, !f.holds("x"))
	})
}

// A quarantine that is wrong, or whose cause was mended, must end without an operator.
func TestOneRequestAtATimeTriesAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.quarantine("x")
		time.Sleep(firstTrialDelay)
		trial := f.Request("pool", "", []string{"x"})
		for range 3 {
			_, held := trial.Held()
			assert.Assert(t, !held)
		}
		assert.Assert(t, f.holds("x"), "a second trial")
		f.crashOn(trial, "e7")
		_, held := trial.Held()
		assert.Assert(t, held, "the trial must not reach another engine")
		time.Sleep(firstTrialDelay)
		assert.Assert(t, f.holds("x"), "the time between trials doubles")
		time.Sleep(firstTrialDelay)
		trial = f.Request("pool", "", []string{"x"})
		_, held = trial.Held()
		assert.Assert(t, !held)
		attempt := trial.Begin("e8", "e8")
		attempt.Event()
		time.Sleep(survivalTime)
		attempt.Event()
		time.Sleep(maxClearDelay)
		synctest.Wait()
		assert.Assert(t, !f.holds("x"))
	})
}

// A quarantine must not outlast its evidence.
func TestQuarantineEndsWithTheRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.quarantine("x")
		time.Sleep(Retention)
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, len(f.inForce), 0)
	})
}

package quarantine

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// comesAgain returns the identity of a request from a caller.
func comesAgain(target, caller string) Identity { return Identify("GET", "h", target, nil, caller) }

// The same request from any caller.
var anyCaller = ofAnyCaller(string(comesAgain("/w", "c")))

// A request that crashes engines was taken for a sound one whenever it came again. The most specific subject
// that explains the crashes is blamed, and not what was at the same engines.
func TestWholeRequestsAreBlamed(t *testing.T) {
	const chain = 60 * time.Millisecond
	w, v := string(comesAgain("/w", "c")), string(comesAgain("/v", "d"))
	crashes := func(l *ledger, first, gap time.Duration, engine string, parts ...string) {
		for i := range time.Duration(minClusters) {
			l.crashed(first+i*gap, engine+strconv.Itoa(int(i)), sortedSet(parts)...)
		}
	}
	for name, c := range map[string]struct {
		facts func(l *ledger)
		want  string
	}{
		"retries that follow each other at once": {func(l *ledger) { crashes(l, 0, chain, "e", w) }, w},
		"two engines":                            {func(l *ledger) { l.crashed(0, "e0", w); l.crashed(time.Minute, "e1", w) }, ""},
		"engines that end at the same moment":    {func(l *ledger) { crashes(l, 0, 10*time.Millisecond, "e", w) }, ""},
		"several callers": {func(l *ledger) {
			for i := range 3 {
				l.crashed(time.Duration(i)*chain, fmt.Sprint("e", i), string(comesAgain("/w", fmt.Sprint(i))))
			}
		}, anyCaller},
		"one caller, and another one once": {func(l *ledger) {
			crashes(l, 0, chain, "e", w)
			l.crashed(time.Second, "e3", string(comesAgain("/w", "d")))
		}, anyCaller},
		"sound for other callers": {func(l *ledger) {
			crashes(l, 0, chain, "e", w)
			l.answered(-time.Second, string(comesAgain("/w", "d")))
		}, w},
		"sound for this caller": {func(l *ledger) {
			crashes(l, 0, chain, "e", w)
			l.answered(-time.Second, w)
		}, ""},
		"a bystander at one engine": {func(l *ledger) {
			crashes(l, 0, chain, "e", w)
			l.crashed(0, "e0", v)
		}, w},
		"a bystander at all engines": {func(l *ledger) { crashes(l, 0, chain, "e", w, v) }, min(w, v) + " " + max(w, v)},
		"a popular bystander at all engines": {func(l *ledger) {
			l.answered(-time.Second, v)
			crashes(l, 0, chain, "e", w, v)
		}, w},
		"a bystander with some crashes in common": {func(l *ledger) {
			crashes(l, 0, chain, "e", w)
			l.crashed(0, "e0", v)
			l.crashed(chain, "e1", v)
			l.crashed(time.Second, "f0", v)
		}, min(w, v) + " " + max(w, v)},
		"a part of its prompt": {func(l *ledger) { crashes(l, 0, time.Second, "e", w, "x") }, w},
		"a part of many prompts that come again": {func(l *ledger) {
			crashes(l, 0, chain, "e", w, "x")
			l.crashed(time.Second, "f0", v, "x")
			l.crashed(2*time.Second, "f1", string(comesAgain("/u", "c")), "x")
		}, "x"},
		"a part beside it": {func(l *ledger) {
			crashes(l, 0, chain, "e", w)
			crashes(l, time.Second, time.Second, "f", "x")
		}, w + " x"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			c.facts(l)
			assert.Equal(t, l.quarantined(), c.want)
		})
	}
}

// crashThree lets three engines crash on a request within 300 ms.
func (f *fixture) crashThree(identity Identity, parts ...string) {
	for i := range minClusters {
		f.crashOn(f.Request("pool", identity, parts), fmt.Sprint(identity, i))
		time.Sleep(80 * time.Millisecond)
	}
}

func (f *fixture) holdsWhole(identity Identity) bool {
	_, held := f.Request("pool", identity, nil).Held()
	return held
}

// A request that crashes engines must not reach a fourth one under any ID, other requests must.
func TestRequestOnWhichEnginesCrashIsHeldBack(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		w := comesAgain("/w", "c")
		f.crashThree(w, "x")
		hold, held := f.Request("pool", w, []string{"x"}).Held()
		assert.Assert(t, held && hold.Whole && hold.Crashes == 3 && hold.RetryAfter > 50*time.Second, "%+v", hold)
		assert.Assert(t, !f.holdsWhole(comesAgain("/w", "d")), "the request of another caller")
		assert.Assert(t, !f.holdsWhole(comesAgain("/v", "c")), "another request of the caller")
		assert.Assert(t, !f.holds("x"), "a part of its prompt")
	})
}

// A wrong verdict on a request ends with a trial, of which there is one at a time.
func TestOneTrialOfARequestAtATime(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		w := comesAgain("/w", "c")
		f.crashThree(w)
		time.Sleep(firstTrialDelay)
		trial := f.Request("pool", w, nil)
		_, held := trial.Held()
		assert.Assert(t, !held)
		assert.Assert(t, f.holdsWhole(w), "a second trial")
		trial.Begin("f", "f").Answer()
		assert.Assert(t, !f.holdsWhole(w))
	})
}

// An engine that was back at its address before it was asked did not count as crashed. Its successor's
// registration shows that it has.
func TestEngineThatIsBackBeforeItIsAskedHasCrashed(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		w := comesAgain("/w", "c")
		for i := range minClusters {
			engine := fmt.Sprint("e", i)
			f.Request("pool", w, nil).Begin(engine, engine).Broken()
			time.Sleep(time.Second)
			f.engines.replace(engine)
		}
		time.Sleep(2 * expirePeriod)
		synctest.Wait()
		assert.Assert(t, f.holdsWhole(w))
	})
}

// An engine that broke off a connection and lived on was not asked again when it crashed soon afterwards.
func TestEngineThatCrashesAfterItBrokeOffAnotherConnectionIsAskedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		w := comesAgain("/w", "c")
		for i := range minClusters {
			engine := fmt.Sprint("e", i)
			f.Request("pool", comesAgain("/v", "d"), nil).Begin(engine, engine).Broken()
			time.Sleep(time.Second)
			f.crashOn(f.Request("pool", w, nil), engine)
		}
		assert.Assert(t, f.holdsWhole(w))
		assert.Assert(t, !f.holdsWhole(comesAgain("/v", "d")), "it broke off while the engines lived")
	})
}

// The crash that completes a verdict must count before the request is sent to the next engine.
func TestRequestWaitsUntilItsCrashCounts(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		r := f.Request("pool", comesAgain("/w", "c"), nil)
		for i := range minClusters {
			engine := fmt.Sprint("e", i)
			f.engines.crash(engine)
			attempt := r.Begin(engine, engine)
			attempt.Broken()
			attempt.Settle(t.Context())
			_, held := r.Held()
			assert.Equal(t, held, i == minClusters-1, "after %d crashes", i+1)
			time.Sleep(80 * time.Millisecond)
		}
		before := time.Now()
		r.Begin("e9", "e9").Settle(t.Context())
		assert.Equal(t, time.Since(before), time.Duration(0), "an attempt that did not break")
	})
}

// What a VM remembers of sound requests must not grow with their number.
func TestSoundRequestsAreRememberedWithinBounds(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		for i := range 3 * maxOwnSounds {
			f.Request("pool", comesAgain(fmt.Sprint("/", i), "c"), nil).Begin("e", "e").Answer()
			if i%1000 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Assert(t, len(f.own) <= maxOwnSounds, "%d", len(f.own))
		_, remembered := f.own[subject{"pool", string(comesAgain(fmt.Sprint("/", 3*maxOwnSounds-1), "c"))}]
		assert.Assert(t, remembered, "the latest one")
	})
}

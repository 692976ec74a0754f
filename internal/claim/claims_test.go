package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// bubble runs a test with three VMs on a fake clock.
func bubble(t *testing.T, test func(t *testing.T, c *cluster, a, b, d *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		a, b, d := c.start(t, "vm-1", "a"), c.start(t, "vm-2", "b"), c.start(t, "vm-3", "c")
		test(t, c, a, b, d)
		c.stop()
	})
}

// refused claims and expects a refusal after which nothing ran.
func refused(t *testing.T, v *vm, key Key, kind *errorx.Type) {
	t.Helper()
	_, err := v.claims.Claim(context.Background(), key)
	assert.Assert(t, errorx.IsOfType(err, kind), "%v", err)
	assert.Assert(t, errorx.HasTrait(err, NotRun))
}

// A key's time is judged by the log service's clock, which is older than the
// answer that tells it by the time that the answer was on its way.
func TestKeyIsNotInTheFutureOfASlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.ClockSkew = 0
		c := newCluster(1, settings)
		c.log.answerDelay = 100 * time.Millisecond
		a := c.start(t, "vm-1", "a")
		for n := range 20 {
			must(t, a, newKey(n), Run)
			time.Sleep(time.Second)
		}
		c.stop()
	})
}

func TestOnlyTheFirstClaimRuns(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, d *vm) {
		for n := range 40 {
			key := newKey(n)
			ticket := must(t, a, key, Run).Ticket
			assert.Assert(t, ticket.MayExecute())
			must(t, b, key, Running)
			must(t, a, key, Running)
			ticket.Finish(Outcome{Execution: Ran, Delivered: true})
			assert.Assert(t, !ticket.MayExecute())
			flush(t, a)
			time.Sleep(2 * freshFor)
			must(t, d, key, Answered)
		}
	})
}

func TestUndeliveredAnswerIsDeliveredOnce(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, d *vm) {
		key := newKey(1)
		answer := Answer{Status: 201, Body: []byte("booked"), Header: map[string][]string{"X-Slot": {"7"}}}
		must(t, a, key, Run).Ticket.Finish(Outcome{Execution: Ran, Answer: answer})
		flush(t, a)
		first := must(t, b, key, Recorded)
		assert.DeepEqual(t, first.Answer, answer)
		must(t, d, key, Withheld)
		first.Delivery.Return()
		flush(t, b)
		time.Sleep(2 * freshFor)
		second := must(t, d, key, Recorded)
		must(t, a, key, Withheld)
		second.Delivery.Delivered()
		flush(t, d)
		time.Sleep(2 * freshFor)
		must(t, a, key, Answered)
	})
}

func TestDeathDuringDeliveryIsToldTruthfully(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, d *vm) {
		key := newKey(1)
		must(t, a, key, Run).Ticket.Finish(Outcome{Execution: Ran, Answer: Answer{Status: 200}})
		flush(t, a)
		must(t, b, key, Recorded)
		b.kill()
		must(t, d, key, DeliveryUnknown)
	})
}

func TestLargeBodyIsDropped(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, _ *vm) {
		key := newKey(1)
		must(t, a, key, Run).Ticket.Finish(Outcome{Execution: Ran, Answer: Answer{Status: 200, Body: make([]byte, MaxBodyBytes+1)}})
		flush(t, a)
		got := must(t, b, key, Recorded)
		assert.Assert(t, got.Answer.BodyDropped)
		assert.Equal(t, len(got.Answer.Body), 0)
	})
}

func TestRepeatsAreToldWhetherItRan(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, _ *vm) {
		for n, test := range []struct {
			execution Execution
			kind      Kind
		}{{DidNotRun, ClosedNotRun}, {MayHaveRun, Unknown}, {0, Unknown}} {
			key := newKey(n)
			must(t, a, key, Run).Ticket.Finish(Outcome{Execution: test.execution})
			flush(t, a)
			must(t, b, key, test.kind)
		}
	})
}

func TestKeyOfDeadClaimantStaysUnknown(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		key := newKey(1)
		must(t, a, key, Run)
		a.kill()
		must(t, b, key, Unknown)
		reborn := c.start(t, "vm-1", "a")
		must(t, reborn, key, Unknown)
		time.Sleep(59 * time.Minute)
		must(t, b, key, Unknown)
	})
}

func TestLogAwayRefusesAndKnownKeysAreAnswered(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		known := newKey(1)
		ticket := must(t, a, known, Run).Ticket
		c.log.setAway(true)
		fresh := newKey(2)
		refused(t, a, fresh, LogAway)
		must(t, b, known, Running)
		ticket.Finish(Outcome{Execution: Ran, Delivered: true})
		time.Sleep(time.Minute)
		c.log.setAway(false)
		flush(t, a)
		time.Sleep(2 * freshFor)
		must(t, b, known, Answered)
		must(t, b, fresh, Run)
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	for name, f := range map[string]faults{
		"effect before": {lostDone: 1},
		"effect later":  {lostLate: 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
				c.log.setFaults(f)
				key := newKey(1)
				must(t, a, key, Run)
				must(t, b, key, Running)
			})
		})
	}
}

func TestUnsettledClaimIsClosedAndNeverRuns(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		c.log.lateBy = 10 * time.Second
		key := newKey(1)
		must(t, a, newKey(2), Run)
		c.log.setFaults(faults{lostNever: 1})
		refused(t, a, key, NotSettled)
		c.log.setFaults(faults{})
		flush(t, a)
		time.Sleep(2 * freshFor)
		must(t, b, key, ClosedNotRun)
	})
}

// TestClaimIsGivenUpWhileItsAppendHangs lets the caller's time end before the
// append's: the claim is on the log, so the key must be closed.
func TestClaimIsGivenUpWhileItsAppendHangs(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, _, b, _ *vm) {
		c.settings.ClaimTimeout = c.settings.AppendTimeout / 2
		alone := c.start(t, "vm-0", "a")
		c.isolate(alone)
		c.log.setFaults(faults{slow: 1})
		key := newKey(1)
		refused(t, alone, key, NotSettled)
		c.log.setFaults(faults{})
		flush(t, alone)
		must(t, b, key, ClosedNotRun)
	})
}

func TestPausedClaimantDoesNotExecuteLate(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, _ *vm) {
		key := newKey(1)
		ticket := must(t, a, key, Run).Ticket
		time.Sleep(defaultExecuteWithin)
		assert.Assert(t, !ticket.MayExecute())
		must(t, b, key, Running)
		ticket.Finish(Outcome{Execution: DidNotRun})
		flush(t, a)
		time.Sleep(2 * freshFor)
		must(t, b, key, ClosedNotRun)
	})
}

func TestUnreachableOwnerIsPassedOver(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, d *vm) {
		c.mu.Lock()
		for _, from := range c.vms {
			for _, to := range c.vms {
				c.cut[[2]string{from.member.VM, to.member.VM}] = true
			}
		}
		c.mu.Unlock()
		for n := range 20 {
			key := newKey(n)
			must(t, a, key, Run)
			must(t, b, key, Running)
			must(t, d, key, Running)
		}
	})
}

func TestKeyTimeIsJudged(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, _, _ *vm) {
		key := newKey(1)
		time.Sleep(time.Hour + time.Second)
		refused(t, a, key, KeyExpired)
		refused(t, a, Key{Team: "band", Key: "9780000000000-x"}, KeyFuture)
		refused(t, a, Key{Team: "band", Key: "x"}, KeyMalformed)
		refused(t, a, Key{Team: "band", Key: "a.01976a3c-8a5e-7000-8000-000000000001"}, KeyMalformed)
	})
}

// TestClaimOutlivesItsKey lets retention pass: at no time after a claim is a
// second one granted, also by a VM that never saw the first.
func TestClaimOutlivesItsKey(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, _, _ *vm) {
		key := newKey(1)
		must(t, a, key, Run)
		a.kill()
		for n := range 30 {
			time.Sleep(5 * time.Minute)
			fresh := c.start(t, "fresh", "a")
			c.isolate(fresh)
			decision, err := fresh.claims.Claim(context.Background(), key)
			if err == nil {
				assert.Equal(t, decision.Kind, Unknown, "after %d steps", n)
			} else {
				assert.Assert(t, errorx.IsOfType(err, KeyExpired), "after %d steps: %v", n, err)
			}
			fresh.kill()
		}
	})
}

// TestOutcomeOfUnseenClaimIsRecorded gives an outcome to a reader whose index
// is older than the claim.
func TestOutcomeOfUnseenClaimIsRecorded(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		lone := c.start(t, "vm-0", "a")
		c.isolate(lone)
		time.Sleep(2 * openEvery)
		for n := range Shards {
			key := newKey(n)
			ticket := must(t, a, key, Run).Ticket
			record := outcomeRecord(key, ticket.writer, Outcome{Execution: Ran, Delivered: true}.message())
			result := lone.claims.submitHere(context.Background(), record, ticket.key.Issued)
			assert.Equal(t, result.status, claimv1.Settlement_SETTLEMENT_SETTLED)
			time.Sleep(2 * freshFor)
			must(t, b, key, Answered)
		}
	})
}

// TestReturnedDeliveryNeverWins lets a delivery take effect after its attempt
// has given it back.
func TestReturnedDeliveryNeverWins(t *testing.T) {
	x := newIndex()
	key := newKey(1)
	writer := func(n uint64) *claimv1.Writer { return &claimv1.Writer{Vm: "vm-1", Incarnation: 1, Sequence: n} }
	for n, record := range []*claimv1.Record{
		claimRecord(key, writer(1)),
		outcomeRecord(key, writer(1), Outcome{Execution: Ran}.message()),
		returnedRecord(key, writer(2)),
		deliveryRecord(key, writer(2)),
		deliveryRecord(key, writer(3)),
	} {
		x.apply(uint64(n), time.Now(), record)
	}
	assert.Equal(t, x.entries[key.text()].state().GetDeliverer().GetSequence(), uint64(3))
}

// TestIncompleteIndexRefuses checks the second guard: even a key within its
// window is refused if an earlier claim could have left the log.
func TestIncompleteIndexRefuses(t *testing.T) {
	x := newIndex()
	now := time.Now()
	x.incomplete(now)
	assert.Assert(t, !x.covers(now.Add(Margin), time.Second))
	assert.Assert(t, x.covers(now.Add(Margin+time.Second+1), time.Second))
}

func TestSettingsAreValidated(t *testing.T) {
	s := testSettings()
	assert.NilError(t, s.Validate())
	s.KeyWindow = s.LogRetention - s.ClockSkew - 2*Margin
	assert.Assert(t, errorx.IsOfType(s.Validate(), BadSettings))
}

func TestBoundKeysGoOnWithoutTheLog(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		c.log.setAway(true)
		text, err := a.claims.Issue()
		assert.NilError(t, err)
		key := Key{Team: "band", Key: text}
		assert.Equal(t, must(t, b, key, Elsewhere).VM, "vm-1")
		ticket := must(t, a, key, Run).Ticket
		must(t, a, key, Running)
		ticket.Finish(Outcome{Execution: Ran, Answer: Answer{Status: 200}})
		delivery := must(t, a, key, Recorded).Delivery
		must(t, a, key, Withheld)
		delivery.Return()
		must(t, a, key, Recorded).Delivery.Delivered()
		must(t, a, key, Answered)
		time.Sleep(time.Hour + 2*time.Second)
		refused(t, a, Key{Team: "band", Key: text}, KeyExpired)
		a.kill()
		must(t, c.start(t, "vm-1", "a"), key, Unknown)
		must(t, b, key, Unknown)
	})
}

func TestBoundKeysAreBounded(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, _, _ *vm) {
		for range c.settings.MaxBoundKeys {
			text, err := a.claims.Issue()
			assert.NilError(t, err)
			must(t, a, Key{Team: "band", Key: text}, Run)
		}
		text, err := a.claims.Issue()
		assert.NilError(t, err)
		refused(t, a, Key{Team: "band", Key: text}, Full)
	})
}

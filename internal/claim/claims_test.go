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

// mustRefuse claims a key and checks for a refusal of the given type with the
// trait NotRun.
func mustRefuse(t *testing.T, v *vm, key Key, kind *errorx.Type) {
	t.Helper()
	_, err := v.claims.Claim(context.Background(), key)
	assert.Assert(t, errorx.IsOfType(err, kind), "%v", err)
	assert.Assert(t, errorx.HasTrait(err, NotRun))
}

// TestSlowReadDoesNotMakeKeysFuture delays the responses of reads. A key's time
// is checked against the log service's clock, whose value in a read response is
// outdated by the response's time in transit. That must not make a key issued now
// appear to be in the future.
func TestSlowReadDoesNotMakeKeysFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.ClockSkew = 0
		c := newCluster(1, settings)
		c.log.readResponseDelay = 100 * time.Millisecond
		a := c.start(t, "vm-1", "a")
		for n := range 20 {
			mustClaim(t, a, newKey(n), Run)
			time.Sleep(time.Second)
		}
		c.stop()
	})
}

func TestOnlyTheFirstClaimRuns(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, d *vm) {
		for n := range 40 {
			key := newKey(n)
			ticket := mustClaim(t, a, key, Run).Ticket
			assert.Assert(t, ticket.MayExecute())
			mustClaim(t, b, key, Running)
			mustClaim(t, a, key, Running)
			ticket.Finish(Outcome{Execution: Ran, Delivered: true})
			assert.Assert(t, !ticket.MayExecute())
			flush(t, a)
			time.Sleep(2 * stateMaxAge)
			mustClaim(t, d, key, Answered)
		}
	})
}

func TestUndeliveredAnswerIsDeliveredOnce(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, d *vm) {
		key := newKey(1)
		answer := Answer{Status: 201, Body: []byte("booked"), Header: map[string][]string{"X-Slot": {"7"}}}
		mustClaim(t, a, key, Run).Ticket.Finish(Outcome{Execution: Ran, Answer: answer})
		flush(t, a)
		first := mustClaim(t, b, key, Recorded)
		assert.DeepEqual(t, first.Answer, answer)
		mustClaim(t, d, key, Withheld)
		first.Delivery.Return()
		flush(t, b)
		time.Sleep(2 * stateMaxAge)
		second := mustClaim(t, d, key, Recorded)
		mustClaim(t, a, key, Withheld)
		second.Delivery.Delivered()
		flush(t, d)
		time.Sleep(2 * stateMaxAge)
		mustClaim(t, a, key, Answered)
	})
}

func TestCrashDuringDeliveryLeavesDeliveryUnknown(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, d *vm) {
		key := newKey(1)
		mustClaim(t, a, key, Run).Ticket.Finish(Outcome{Execution: Ran, Answer: Answer{Status: 200}})
		flush(t, a)
		mustClaim(t, b, key, Recorded)
		b.kill()
		mustClaim(t, d, key, DeliveryUnknown)
	})
}

func TestLargeBodyIsDropped(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, _ *vm) {
		key := newKey(1)
		mustClaim(t, a, key, Run).Ticket.Finish(Outcome{Execution: Ran, Answer: Answer{Status: 200, Body: make([]byte, MaxBodyBytes+1)}})
		flush(t, a)
		got := mustClaim(t, b, key, Recorded)
		assert.Assert(t, got.Answer.BodyDropped)
		assert.Equal(t, len(got.Answer.Body), 0)
	})
}

func TestRepeatsReportWhetherTheCallRan(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, _ *vm) {
		for n, test := range []struct {
			execution Execution
			kind      Kind
		}{{DidNotRun, ClosedNotRun}, {MayHaveRun, Unknown}, {0, Unknown}} {
			key := newKey(n)
			mustClaim(t, a, key, Run).Ticket.Finish(Outcome{Execution: test.execution})
			flush(t, a)
			mustClaim(t, b, key, test.kind)
		}
	})
}

func TestKeyOfKilledClaimantStaysUnknown(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		key := newKey(1)
		mustClaim(t, a, key, Run)
		a.kill()
		mustClaim(t, b, key, Unknown)
		restarted := c.start(t, "vm-1", "a")
		mustClaim(t, restarted, key, Unknown)
		time.Sleep(59 * time.Minute)
		mustClaim(t, b, key, Unknown)
	})
}

func TestLogOutageRefusesNewKeysAndAnswersKnownKeys(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		known := newKey(1)
		ticket := mustClaim(t, a, known, Run).Ticket
		c.log.setUnavailable(true)
		fresh := newKey(2)
		mustRefuse(t, a, fresh, LogUnavailable)
		mustClaim(t, b, known, Running)
		ticket.Finish(Outcome{Execution: Ran, Delivered: true})
		time.Sleep(time.Minute)
		c.log.setUnavailable(false)
		flush(t, a)
		time.Sleep(2 * stateMaxAge)
		mustClaim(t, b, known, Answered)
		mustClaim(t, b, fresh, Run)
	})
}

func TestLostAppendResponseIsReadBack(t *testing.T) {
	for name, f := range map[string]faults{
		"append applied at once": {lostApplied: 1},
		"append applied later":   {lostDelayed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
				c.log.setFaults(f)
				key := newKey(1)
				mustClaim(t, a, key, Run)
				mustClaim(t, b, key, Running)
			})
		})
	}
}

func TestUnsettledClaimIsClosedAndNeverRuns(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		c.log.maxApplyDelay = 10 * time.Second
		key := newKey(1)
		mustClaim(t, a, newKey(2), Run)
		c.log.setFaults(faults{lostUnapplied: 1})
		mustRefuse(t, a, key, NotSettled)
		c.log.setFaults(faults{})
		flush(t, a)
		time.Sleep(2 * stateMaxAge)
		mustClaim(t, b, key, ClosedNotRun)
	})
}

// TestClaimIsGivenUpWhileItsAppendHangs lets the claim time out before its
// append. The claim is on the log, so the key must be closed.
func TestClaimIsGivenUpWhileItsAppendHangs(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, _, b, _ *vm) {
		c.settings.ClaimTimeout = c.settings.AppendTimeout / 2
		isolated := c.start(t, "vm-0", "a")
		c.isolate(isolated)
		c.log.setFaults(faults{slow: 1})
		key := newKey(1)
		mustRefuse(t, isolated, key, NotSettled)
		c.log.setFaults(faults{})
		flush(t, isolated)
		mustClaim(t, b, key, ClosedNotRun)
	})
}

func TestPausedClaimantDoesNotExecuteLate(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, b, _ *vm) {
		key := newKey(1)
		ticket := mustClaim(t, a, key, Run).Ticket
		time.Sleep(defaultExecuteWithin)
		assert.Assert(t, !ticket.MayExecute())
		mustClaim(t, b, key, Running)
		ticket.Finish(Outcome{Execution: DidNotRun})
		flush(t, a)
		time.Sleep(2 * stateMaxAge)
		mustClaim(t, b, key, ClosedNotRun)
	})
}

func TestUnreachableOwnerIsBypassed(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, d *vm) {
		c.mu.Lock()
		for _, from := range c.vms {
			for _, to := range c.vms {
				c.partitioned[[2]string{from.member.VM, to.member.VM}] = true
			}
		}
		c.mu.Unlock()
		for n := range 20 {
			key := newKey(n)
			mustClaim(t, a, key, Run)
			mustClaim(t, b, key, Running)
			mustClaim(t, d, key, Running)
		}
	})
}

func TestKeyTimeIsValidated(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, _, _ *vm) {
		key := newKey(1)
		time.Sleep(time.Hour + time.Second)
		mustRefuse(t, a, key, KeyExpired)
		mustRefuse(t, a, Key{Team: "band", Key: "9780000000000-x"}, KeyFuture)
		mustRefuse(t, a, Key{Team: "band", Key: "x"}, KeyMalformed)
		mustRefuse(t, a, Key{Team: "band", Key: "a.01976a3c-8a5e-7000-8000-000000000001"}, KeyMalformed)
	})
}

// TestClaimOutlivesItsKey advances time beyond the log's retention. At no time
// after a claim may a second one be granted, even by a VM that never saw the
// first.
func TestClaimOutlivesItsKey(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, _, _ *vm) {
		key := newKey(1)
		mustClaim(t, a, key, Run)
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

// TestOutcomeOfUnseenClaimIsRecorded submits an outcome through a shard whose
// index is older than the claim.
func TestOutcomeOfUnseenClaimIsRecorded(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		isolated := c.start(t, "vm-0", "a")
		c.isolate(isolated)
		time.Sleep(2 * openInterval)
		for n := range Shards {
			key := newKey(n)
			ticket := mustClaim(t, a, key, Run).Ticket
			record := outcomeRecord(key, ticket.writer, Outcome{Execution: Ran, Delivered: true}.message())
			result := isolated.claims.submitLocally(context.Background(), record, ticket.key.Issued)
			assert.Equal(t, result.status, claimv1.Settlement_SETTLEMENT_SETTLED)
			time.Sleep(2 * stateMaxAge)
			mustClaim(t, b, key, Answered)
		}
	})
}

// TestReturnedDeliveryNeverWins applies a delivery record after the record that
// returns the delivery.
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

// TestIncompleteIndexRefuses checks that even a key within its window is
// refused if the log may have removed an earlier claim.
func TestIncompleteIndexRefuses(t *testing.T) {
	x := newIndex()
	now := time.Now()
	x.markIncomplete(now)
	assert.Assert(t, !x.covers(now.Add(Margin), time.Second))
	assert.Assert(t, x.covers(now.Add(Margin+time.Second+1), time.Second))
}

func TestSettingsAreValidated(t *testing.T) {
	s := testSettings()
	assert.NilError(t, s.Validate())
	s.KeyWindow = s.LogRetention - s.ClockSkew - 2*Margin
	assert.Assert(t, errorx.IsOfType(s.Validate(), BadSettings))
}

func TestBoundKeysWorkWithoutTheLog(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, b, _ *vm) {
		c.log.setUnavailable(true)
		text, err := a.claims.Issue()
		assert.NilError(t, err)
		key := Key{Team: "band", Key: text}
		assert.Equal(t, mustClaim(t, b, key, Elsewhere).VM, "vm-1")
		ticket := mustClaim(t, a, key, Run).Ticket
		mustClaim(t, a, key, Running)
		ticket.Finish(Outcome{Execution: Ran, Answer: Answer{Status: 200}})
		delivery := mustClaim(t, a, key, Recorded).Delivery
		mustClaim(t, a, key, Withheld)
		delivery.Return()
		mustClaim(t, a, key, Recorded).Delivery.Delivered()
		mustClaim(t, a, key, Answered)
		time.Sleep(time.Hour + 2*time.Second)
		mustRefuse(t, a, Key{Team: "band", Key: text}, KeyExpired)
		a.kill()
		mustClaim(t, c.start(t, "vm-1", "a"), key, Unknown)
		mustClaim(t, b, key, Unknown)
	})
}

func TestBoundKeysAreLimited(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster, a, _, _ *vm) {
		for range c.settings.MaxBoundKeys {
			text, err := a.claims.Issue()
			assert.NilError(t, err)
			mustClaim(t, a, Key{Team: "band", Key: text}, Run)
		}
		text, err := a.claims.Issue()
		assert.NilError(t, err)
		mustRefuse(t, a, Key{Team: "band", Key: text}, Full)
	})
}

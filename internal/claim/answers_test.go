package claim

import (
	"context"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// takeoverTime is long enough for slots to be taken over and for new keys to be
// recognized as issued afterwards.
const takeoverTime = 3 * time.Second

// answerBubble runs a test with two VMs in each of the zones a and b.
func answerBubble(t *testing.T, test func(t *testing.T, c *cluster, vms []*vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, testSettings())
		c.answers = true
		c.zones = []string{"a", "b"}
		var vms []*vm
		for n, zone := range []string{"a", "a", "b", "b"} {
			vms = append(vms, c.start(t, "vm-"+strconv.Itoa(n+1), zone))
		}
		time.Sleep(takeoverTime)
		test(t, c, vms)
		c.stop()
	})
}

// homedKey returns a key that is issued now and has the given home zone.
func homedKey(t assert.TestingT, zone string) Key {
	id, err := newUUID(time.Now())
	assert.NilError(t, err)
	return Key{Team: "desk", Key: zone + "." + id.String()}
}

// mustBegin begins an attempt and checks the kind of decision.
func mustBegin(t *testing.T, v *vm, key Key, kind Kind) *AnswerTicket {
	t.Helper()
	decision, err := v.answers.Begin(context.Background(), key)
	assert.NilError(t, err)
	assert.Equal(t, decision.Kind, kind, "%s instead of %s", decision.Kind, kind)
	return decision.Ticket
}

func mustRefuseOwnerUnavailable(t *testing.T, v *vm, key Key) {
	t.Helper()
	_, err := v.answers.Begin(context.Background(), key)
	assert.Assert(t, errorx.IsOfType(err, OwnerUnavailable), "%v", err)
	assert.Assert(t, errorx.HasTrait(err, NotRun))
}

// ownerOfKey returns the VM that owns the slot of a key, and another of its zone.
func ownerOfKey(t *testing.T, vms []*vm, key Key) (owner, other *vm) {
	t.Helper()
	parsed, err := ParseKey(key)
	assert.NilError(t, err)
	ticket, err := vms[0].answers.newTicket(parsed)
	assert.NilError(t, err)
	name := slotOwner(ticket.zone, ticket.slot, vms[0].Members()).VM
	for _, v := range vms {
		switch {
		case v.member.VM == name:
			owner = v
		case v.member.Zone == ticket.zone:
			other = v
		}
	}
	return owner, other
}

func TestAnswerIsGivenOnce(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		c.log.setUnavailable(true)
		for n := range 20 {
			key := newKey(n)
			ticket := mustBegin(t, vms[n%4], key, Run)
			mustBegin(t, vms[(n+1)%4], key, Running)
			assert.NilError(t, ticket.MayAnswer(context.Background()))
			mustBegin(t, vms[(n+2)%4], key, Running)
			ticket.Delivered()
			assert.NilError(t, vms[n%4].answers.Flush(context.Background()))
			mustBegin(t, vms[(n+3)%4], key, Answered)
		}
	})
}

func TestAbandonedKeyIsFree(t *testing.T) {
	answerBubble(t, func(t *testing.T, _ *cluster, vms []*vm) {
		key := newKey(1)
		ticket := mustBegin(t, vms[0], key, Run)
		assert.NilError(t, ticket.MayAnswer(context.Background()))
		ticket.Abandon()
		assert.NilError(t, vms[0].answers.Flush(context.Background()))
		assert.Assert(t, ticket.MayAnswer(context.Background()) != nil)
		mustBegin(t, vms[1], key, Run)
	})
}

func TestStandbyKeepsStateAfterOwnerCrash(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		key := homedKey(t, "a")
		fresh := homedKey(t, "a")
		owner, other := ownerOfKey(t, vms, key)
		ticket := mustBegin(t, vms[2], key, Run)
		assert.NilError(t, ticket.MayAnswer(context.Background()))
		owner.kill()
		mustBegin(t, vms[3], key, Running)
		mustBegin(t, other, fresh, Run)
		ticket.Delivered()
		assert.NilError(t, vms[2].answers.Flush(context.Background()))
		mustBegin(t, vms[3], key, Answered)
		c.start(t, owner.member.VM, "a")
		time.Sleep(takeoverTime)
		mustBegin(t, vms[3], key, Answered)
	})
}

func TestLostZoneRefusesAndEarlierKeysStayUnknown(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		key := homedKey(t, "a")
		mustBegin(t, vms[2], key, Run)
		vms[0].kill()
		vms[1].kill()
		mustRefuseOwnerUnavailable(t, vms[2], key)
		c.start(t, "vm-1", "a")
		time.Sleep(takeoverTime)
		mustBegin(t, vms[2], key, Unknown)
		mustBegin(t, vms[2], homedKey(t, "a"), Run)
	})
}

func TestPartitionedZoneServesItsOwnKeys(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		c.mu.Lock()
		for _, one := range vms[:2] {
			for _, other := range vms[2:] {
				c.partitioned[[2]string{one.member.VM, other.member.VM}] = true
				c.partitioned[[2]string{other.member.VM, one.member.VM}] = true
				one.hidden[other.member.VM] = true
				other.hidden[one.member.VM] = true
			}
		}
		c.mu.Unlock()
		keyOfA, keyOfB := homedKey(t, "a"), homedKey(t, "b")
		mustBegin(t, vms[0], keyOfA, Run)
		mustBegin(t, vms[1], keyOfA, Running)
		mustRefuseOwnerUnavailable(t, vms[0], keyOfB)
		mustRefuseOwnerUnavailable(t, vms[2], keyOfA)
		mustBegin(t, vms[2], keyOfB, Run)
	})
}

// TestOwnerMissingFromViewsIsFenced calls an owner after the other VMs
// considered it gone. It must recover the attempts that were granted without it
// before it decides.
func TestOwnerMissingFromViewsIsFenced(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		key := homedKey(t, "a")
		owner, other := ownerOfKey(t, vms, key)
		c.mu.Lock()
		other.hidden[owner.member.VM] = true
		vms[2].hidden[owner.member.VM] = true
		c.mu.Unlock()
		ticket := mustBegin(t, vms[2], key, Run)
		assert.NilError(t, ticket.MayAnswer(context.Background()))
		mustBegin(t, owner, key, Running)
	})
}

func TestAttemptOfGoneVMIsReplaced(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		key := homedKey(t, "a")
		old := mustBegin(t, vms[2], key, Run)
		c.mu.Lock()
		vms[0].hidden["vm-3"] = true
		vms[1].hidden["vm-3"] = true
		c.mu.Unlock()
		next := mustBegin(t, vms[3], key, Run)
		assert.Assert(t, old.MayAnswer(context.Background()) != nil)
		assert.NilError(t, next.MayAnswer(context.Background()))
		vms[3].kill()
		mustBegin(t, vms[0], key, Unknown)
	})
}

func TestDrainingOwnerHandsOver(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		key, unused := homedKey(t, "a"), homedKey(t, "a")
		owner, _ := ownerOfKey(t, vms, key)
		mustBegin(t, vms[2], key, Run)
		c.mu.Lock()
		owner.member.Draining = true
		c.mu.Unlock()
		time.Sleep(takeoverTime)
		owner.kill()
		mustBegin(t, vms[3], key, Running)
		mustBegin(t, vms[3], unused, Run)
	})
}

// TestRestartedStandbyIsReplaced restarts a standby so quickly that no view
// shows it. The owner must notice that the standby lost its state, and copy it
// again.
func TestRestartedStandbyIsReplaced(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, vms []*vm) {
		key := homedKey(t, "a")
		_, standby := ownerOfKey(t, vms, key)
		mustBegin(t, vms[2], key, Run)
		standby.kill()
		c.start(t, standby.member.VM, "a")
		// Enough keys to update each slot at least once.
		for range 32 * Slots {
			_, _ = vms[3].answers.Begin(context.Background(), homedKey(t, "a"))
		}
		time.Sleep(takeoverTime)
		mustBegin(t, vms[3], key, Running)
		for range 4 * Slots {
			mustBegin(t, vms[3], homedKey(t, "a"), Run)
		}
	})
}

// TestFencedOwnerAcknowledgesNothing fences an owner without a standby between
// its change and the acknowledgement.
func TestFencedOwnerAcknowledgesNothing(t *testing.T) {
	answerBubble(t, func(t *testing.T, c *cluster, _ []*vm) {
		registry := c.start(t, "lone", "z").answers
		time.Sleep(takeoverTime)
		request := &claimv1.UpdateRequest{Zone: "z"}
		assert.Assert(t, registry.replicate(context.Background(), registry.slots[0], request, nil))
		response, err := registry.TakeOver(&claimv1.TakeOverRequest{Zone: "z", Number: 1 << 62, Owner: "other#1"})
		assert.NilError(t, err)
		assert.Assert(t, response.GetAccepted())
		assert.Assert(t, !registry.replicate(context.Background(), registry.slots[0], request, nil))
	})
}

func TestAnswerKeysAreValidated(t *testing.T) {
	answerBubble(t, func(t *testing.T, _ *cluster, vms []*vm) {
		old := Key{Key: strconv.FormatInt(time.Now().Add(-time.Hour-time.Second).UnixMilli(), 10) + "-x"}
		for text, kind := range map[string]*errorx.Type{
			old.Key:                    KeyExpired,
			"x":                        KeyMalformed,
			homedKey(t, "nowhere").Key: KeyMalformed,
			"9780000000000-x":          KeyFuture,
		} {
			_, err := vms[0].answers.Begin(context.Background(), Key{Team: "desk", Key: text})
			assert.Assert(t, errorx.IsOfType(err, kind), "%s: %v", text, err)
		}
	})
}

// TestMergeIgnoresEarlierEpochs checks that a stale state does not override the
// latest epoch by a higher version.
func TestMergeIgnoresEarlierEpochs(t *testing.T) {
	entry := func(version uint64, phase claimv1.AnswerPhase) []*claimv1.AnswerEntry {
		return []*claimv1.AnswerEntry{{Team: "desk", Key: "k", Version: version, Phase: phase}}
	}
	merged := merge([]*claimv1.TakeOverResponse{
		{State: &claimv1.SlotState{Epoch: &claimv1.Epoch{Number: 1}, Entries: entry(9, claimv1.AnswerPhase_ANSWER_PHASE_FREE), CompleteFromMs: 1}},
		{State: &claimv1.SlotState{Epoch: &claimv1.Epoch{Number: 2}, Entries: entry(3, claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED), CompleteFromMs: 2}},
		{},
	})
	assert.Equal(t, merged.GetCompleteFromMs(), int64(2))
	assert.Equal(t, merged.GetEntries()[0].GetPhase(), claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED)
}

// TestAnswersUnderFaults counts answers per key while calls between VMs are
// lost, views are stale and VMs crash.
func TestAnswersUnderFaults(t *testing.T) {
	t.Parallel()
	answered, total := 0, 0
	checkSchedules(t, "400", func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		drop := rapid.IntRange(0, 15).Draw(rt, "drop")
		counts := answerSchedule(t, seed, float64(drop)/100)
		for key, count := range counts {
			if count > 1 {
				rt.Fatalf("key %d answered %d times", key, count)
			}
			answered += count
			total++
		}
	})
	t.Logf("%d keys, %d answered", total, answered)
	assert.Assert(t, answered > total/2)
}

// answerSchedule runs a random schedule and returns the answers per key.
func answerSchedule(t *testing.T, seed int64, drop float64) map[int]int {
	t.Helper()
	counts := make(map[int]int)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(seed, testSettings())
		c.answers = true
		c.zones = []string{"a"}
		for n := range scheduleVMs {
			c.start(t, string(rune('p'+n)), "a")
		}
		r := &run{t: t, cluster: c}
		time.Sleep(takeoverTime)
		c.mu.Lock()
		c.drop = drop
		c.mu.Unlock()
		rng := rand.New(rand.NewSource(seed))
		var work sync.WaitGroup
		work.Go(func() { r.injectMembershipFaults(rand.New(rand.NewSource(seed+1)), scheduleLength) })
		var mu sync.Mutex
		for key := range 12 {
			r.addKey(key)
			for range repeatsOfKey {
				a := randomCall(rng, key)
				work.Go(func() {
					time.Sleep(a.at)
					count := r.answer(a)
					mu.Lock()
					defer mu.Unlock()
					counts[key] += count
				})
			}
			time.Sleep(scheduleLength / 12)
		}
		work.Wait()
		c.stop()
	})
	return counts
}

// answer makes one attempt and returns the number of answers given.
func (r *run) answer(a action) int {
	v := r.vm(a.vm)
	decision, err := v.answers.Begin(context.Background(), r.key(a.key))
	if err != nil || decision.Kind != Run {
		return 0
	}
	time.Sleep(a.duration)
	if v.isKilled() || a.execution == DidNotRun || decision.Ticket.MayAnswer(context.Background()) != nil {
		decision.Ticket.Abandon()
		return 0
	}
	decision.Ticket.Delivered()
	return 1
}

// injectMembershipFaults kills VMs and hides VMs from views, one fault at a
// time.
func (r *run) injectMembershipFaults(rng *rand.Rand, span time.Duration) {
	until := time.Now().Add(span)
	for time.Now().Before(until) {
		kinds := []actionKind{actKill, actHide}
		r.do(action{
			at:       time.Duration(rng.Int63n(int64(time.Second))),
			kind:     kinds[rng.Intn(len(kinds))],
			vm:       rng.Intn(scheduleVMs),
			duration: time.Duration(rng.Int63n(int64(2 * time.Second))),
		})
	}
}

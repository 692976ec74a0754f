package claim

import (
	"context"
	"flag"
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
)

// Parameters of the random schedules.
const (
	scheduleVMs    = 3
	scheduleKeys   = 3
	scheduleLength = 4 * time.Second
	recoveryTime   = 30 * time.Second
	schedules      = "2500"
	scheduleSeed   = "20261203"
)

// actionKind is the kind of an action in a schedule.
type actionKind int

const (
	actClaim actionKind = iota
	actKill
	actOutage
	actFaults
	actPartition
	actHide
	actionCount
)

// action is one event of a schedule.
type action struct {
	at   time.Duration
	kind actionKind
	vm   int
	key  int
	// duration is the length of an outage, of a partition or of a VM's absence
	// from a view, and the delay between winning a claim and executing.
	duration      time.Duration
	execution     Execution
	delivered     bool
	faults        faults
	afterRecovery bool
}

func drawAction(t *rapid.T) action {
	millis := func(label string, most time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
	}
	a := action{
		at:        millis("at", scheduleLength),
		kind:      actionKind(max(0, rapid.IntRange(-14, int(actionCount)-1).Draw(t, "kind"))),
		vm:        rapid.IntRange(0, scheduleVMs-1).Draw(t, "vm"),
		key:       rapid.IntRange(0, scheduleKeys-1).Draw(t, "key"),
		duration:  millis("duration", 2*time.Second),
		execution: Execution(rapid.IntRange(int(Ran), int(MayHaveRun)).Draw(t, "execution")),
		delivered: rapid.Bool().Draw(t, "delivered"),
	}
	if a.kind == actFaults {
		probability := func(label string) float64 { return float64(rapid.IntRange(0, 20).Draw(t, label)) / 100 }
		a.faults = faults{lostApplied: probability("lostApplied"), lostDelayed: probability("lostDelayed"), lostUnapplied: probability("lostUnapplied"), throttled: probability("throttled"), slow: 2 * probability("slow"), duplicated: probability("duplicated"), unreadable: probability("unreadable")}
	}
	return a
}

// claimFunc is the decision under test: Claims, or a broken variant of it.
type claimFunc func(v *vm, ctx context.Context, key Key) (Decision, error)

func correctClaim(v *vm, ctx context.Context, key Key) (Decision, error) {
	return v.claims.Claim(ctx, key)
}

// run is one schedule in execution.
type run struct {
	t       assert.TestingT
	cluster *cluster
	claim   claimFunc
	keys    []Key
	clock   atomic.Int64
	attempt atomic.Int64

	mu         sync.Mutex
	history    []porcupine.Operation
	executions map[int]int
	refusals   map[int]int
	attempts   map[int]int
	closed     map[int]bool
}

// key returns a key of the run by its number.
func (r *run) key(n int) Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[n]
}

// addKey adds a key that is issued now.
func (r *run) addKey(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = append(r.keys, newKey(n))
}

// addOperation adds an operation to the history and counts it.
func (r *run) addOperation(call int64, in step, out result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: in.attempt, Input: in, Output: out, Call: call, Return: r.clock.Add(1)})
	switch in.op {
	case opExecute:
		r.executions[in.key]++
	case opClaim:
		r.attempts[in.key]++
		if out.kind == 0 {
			r.refusals[in.key]++
		}
		r.closed[in.key] = r.closed[in.key] || out.kind == ClosedNotRun
	}
}

// vm returns the latest incarnation of a VM.
func (r *run) vm(n int) *vm {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	name := r.cluster.vms[n].member.VM
	var current *vm
	for _, v := range r.cluster.vms {
		if v.member.VM == name {
			current = v
		}
	}
	return current
}

func (v *vm) isKilled() bool {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return v.killed
}

// call makes one attempt and, if it wins the claim, executes after a delay.
func (r *run) call(a action) {
	v := r.vm(a.vm)
	attempt := int(r.attempt.Add(1))
	in := step{op: opClaim, key: a.key, attempt: attempt, afterRecovery: a.afterRecovery}
	began := r.clock.Add(1)
	decision, err := r.claim(v, context.Background(), r.key(a.key))
	r.addOperation(began, in, refusalResult(decision, err))
	switch {
	case err != nil:
	case decision.Kind == Run:
		time.Sleep(a.duration)
		r.execute(v, decision.Ticket, a, attempt)
	case decision.Kind == Recorded && !v.isKilled():
		r.deliver(v, decision.Delivery, a, attempt)
	}
}

func refusalResult(decision Decision, err error) result {
	switch {
	case err == nil:
		return result{kind: decision.Kind}
	case errorx.IsOfType(err, NotSettled):
		return result{uncertain: true}
	}
	return result{noEffect: true}
}

// execute sends the call if the ticket allows and records the outcome.
func (r *run) execute(v *vm, ticket *Ticket, a action, attempt int) {
	if v.isKilled() {
		return
	}
	execution := a.execution
	if execution != DidNotRun && ticket.MayExecute() {
		r.addOperation(r.clock.Add(1), step{op: opExecute, key: a.key, attempt: attempt}, result{})
	} else {
		execution = DidNotRun
	}
	in := step{op: opFinish, key: a.key, attempt: attempt, execution: execution, delivered: a.delivered}
	began := r.clock.Add(1)
	ticket.Finish(Outcome{Execution: execution, Delivered: a.delivered, Answer: Answer{Status: 200}})
	r.addOperation(began, in, r.awaitRecorded(v))
}

// deliver ends the delivery of a recorded answer.
func (r *run) deliver(v *vm, delivery *Delivery, a action, attempt int) {
	began := r.clock.Add(1)
	if a.delivered {
		delivery.Delivered()
	} else {
		delivery.Return()
	}
	in := step{op: opDeliver, key: a.key, attempt: attempt, delivered: a.delivered}
	r.addOperation(began, in, r.awaitRecorded(v))
}

// awaitRecorded waits until the VM's records are on the log; the result is
// uncertain if that fails or the VM was killed.
func (r *run) awaitRecorded(v *vm) result {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTime)
	defer cancel()
	err := v.claims.Flush(ctx)
	return result{uncertain: err != nil || v.isKilled()}
}

// do runs one action of the schedule.
func (r *run) do(a action) {
	c := r.cluster
	time.Sleep(a.at)
	switch a.kind {
	case actClaim:
		r.call(a)
	case actKill:
		v := r.vm(a.vm)
		v.kill()
		c.start(r.t, v.member.VM, v.member.Zone)
	case actOutage:
		c.log.setUnavailable(true)
		time.Sleep(a.duration)
		c.log.setUnavailable(false)
	case actFaults:
		c.log.setFaults(a.faults)
	case actPartition:
		r.toggle(a, func(one, other string, on bool) {
			c.partitioned[[2]string{one, other}] = on
			c.partitioned[[2]string{other, one}] = on
		})
	case actHide:
		r.toggle(a, func(one, other string, on bool) {
			for _, v := range c.vms {
				if v.member.VM == one {
					v.hidden[other] = on
				}
			}
		})
	}
}

// toggle sets a condition between two VMs for the duration of the action.
func (r *run) toggle(a action, set func(one, other string, on bool)) {
	one, other := r.vm(a.vm).member.VM, r.vm((a.vm+1)%scheduleVMs).member.VM
	for _, on := range []bool{true, false} {
		r.cluster.mu.Lock()
		set(one, other, on)
		r.cluster.mu.Unlock()
		if on {
			time.Sleep(a.duration)
		}
	}
}

// newRun starts the VMs of a run in a bubble.
func newRun(t *testing.T, seed int64, claim claimFunc) *run {
	t.Helper()
	c := newCluster(seed, testSettings())
	r := &run{t: t, cluster: c, claim: claim, executions: map[int]int{}, refusals: map[int]int{}, attempts: map[int]int{}, closed: map[int]bool{}}
	for n := range scheduleVMs {
		c.start(t, string(rune('p'+n)), string(rune('a'+n)))
	}
	return r
}

// runSchedule executes a schedule and returns what happened.
func runSchedule(t *testing.T, seed int64, actions []action, claim claimFunc) *run {
	t.Helper()
	var r *run
	synctest.Test(t, func(t *testing.T) {
		r = newRun(t, seed, claim)
		for n := range scheduleKeys {
			r.addKey(n)
		}
		var work sync.WaitGroup
		for _, a := range actions {
			work.Go(func() { r.do(a) })
		}
		work.Wait()
		r.repeatAfterRecovery()
		r.cluster.stop()
	})
	return r
}

// repeatAfterRecovery ends all faults and repeats each key at each VM.
func (r *run) repeatAfterRecovery() {
	r.cluster.log.setFaults(faults{})
	time.Sleep(recoveryTime)
	for key := range r.keys {
		for n := range scheduleVMs {
			r.call(action{vm: n, key: key, execution: Ran, delivered: true, afterRecovery: true})
			time.Sleep(2 * stateMaxAge)
		}
	}
}

// violation describes the first violation that it finds in a run; empty if
// there is none.
func (r *run) violation() string {
	for key, count := range r.executions {
		if count > 1 {
			return "executed twice"
		}
		if r.refusals[key] == r.attempts[key] {
			return "executed after nothing but refusals"
		}
		if r.closed[key] {
			return "executed but reported as not run"
		}
	}
	if !porcupine.CheckOperations(specification.ToModel(), r.history) {
		return "not linearizable"
	}
	return ""
}

// rapidFlags guards the flags of rapid, which parallel tests share. rapid.Check
// has read the number of checks and the seed before the first call of a property.
var rapidFlags sync.Mutex

// checkSchedules checks a property for a number of schedules from the fixed seed.
func checkSchedules(t *testing.T, checks string, property func(*rapid.T)) {
	t.Helper()
	rapidFlags.Lock()
	var read sync.Once
	defer read.Do(rapidFlags.Unlock)
	assert.NilError(t, flag.Set("rapid.checks", checks))
	assert.NilError(t, flag.Set("rapid.seed", scheduleSeed))
	rapid.Check(t, func(rt *rapid.T) {
		read.Do(rapidFlags.Unlock)
		property(rt)
	})
}

func drawSchedule(t *rapid.T) (int64, []action) {
	seed := rapid.Int64().Draw(t, "seed")
	return seed, rapid.SliceOfN(rapid.Custom(drawAction), 6, 24).Draw(t, "actions")
}

func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	checkSchedules(t, schedules, func(rt *rapid.T) {
		seed, actions := drawSchedule(rt)
		if wrong := runSchedule(t, seed, actions, correctClaim).violation(); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// reassigningClaim is broken on purpose: it takes over a key whose claimant is
// considered gone.
func reassigningClaim(v *vm, ctx context.Context, key Key) (Decision, error) {
	decision, err := v.claims.Claim(ctx, key)
	if err == nil && decision.Kind == Unknown {
		parsed, _ := ParseKey(key)
		return Decision{Kind: Run, Ticket: v.claims.ticket(parsed, v.claims.newWriter())}, nil
	}
	return decision, err
}

// lastWriterClaim is broken on purpose: the last claim of a key wins.
func lastWriterClaim(v *vm, ctx context.Context, key Key) (Decision, error) {
	parsed, _ := ParseKey(key)
	writer := v.claims.newWriter()
	entry, _ := encodeRecord(claimRecord(key, writer))
	stream := "last-" + key.Key
	if _, err := v.cluster.log.Append(ctx, stream, []logservice.Entry{entry}); err != nil {
		return Decision{}, LogUnavailable.Wrap(err, "no append")
	}
	page, err := v.cluster.log.Read(ctx, stream, 0, pageLimit, 0)
	if err != nil {
		return Decision{}, NotSettled.Wrap(err, "no read")
	}
	if last := page.Records[len(page.Records)-1]; last.ID != entry.ID {
		return Decision{Kind: Running}, nil
	}
	return Decision{Kind: Run, Ticket: v.claims.ticket(parsed, writer)}, nil
}

// TestCheckerRejectsBrokenVariants checks that the broken variants are detected
// both by porcupine alone and by counting executions.
func TestCheckerRejectsBrokenVariants(t *testing.T) {
	for name, claim := range map[string]claimFunc{
		"reassigning": reassigningClaim,
		"last writer": lastWriterClaim,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			twice, rejected := 0, 0
			checkSchedules(t, "60", func(rt *rapid.T) {
				seed, actions := drawSchedule(rt)
				r := runSchedule(t, seed, actions, claim)
				if r.violation() == "executed twice" {
					twice++
				}
				if !porcupine.CheckOperations(specification.ToModel(), r.history) {
					rejected++
				}
			})
			assert.Assert(t, twice > 0)
			assert.Assert(t, rejected > 0)
			t.Logf("of 60 schedules %d executed twice, %d rejected", twice, rejected)
		})
	}
}

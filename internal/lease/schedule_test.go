package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const leaseName = "zone-a/drafter"

// vm is an entry VM under test that tries to hold the lease.
type vm struct {
	name    string
	log     *logtest.Link
	manager *Manager
	naive   *naiveHolder
}

// startVM runs a manager until the context ends.
func startVM(ctx context.Context, t *testing.T, running *sync.WaitGroup, log logservice.Service, name string, vmTerms Terms) *vm {
	members := []membership.Member{
		{VM: "vm-a", Zone: "zone-a", Incarnation: 1, State: membership.Alive},
		{VM: "vm-b", Zone: "zone-a", Incarnation: 1, State: membership.Alive},
	}
	view := membership.Static{This: members[0], All: members}
	if name == members[1].VM {
		view.This = members[1]
	}
	v := &vm{name: name, log: logtest.NewLink(log)}
	appender, err := logservice.NewAppender(v.log, logservice.AppenderOptions{})
	assert.NilError(t, err)
	v.manager = NewManager(Dependencies{Log: v.log, Appender: appender, View: view, Events: timeline.Discard}, vmTerms)
	v.manager.Want([]string{leaseName})
	v.naive = &naiveHolder{fold: NewFold(vmTerms), holder: v.manager.holder, terms: vmTerms}
	tailer := logservice.NewTailer(v.log, logservice.TailerOptions{Stream: Stream})
	running.Go(func() { _ = tailer.Run(ctx, v.naive.apply) })
	running.Go(func() {
		_ = v.manager.Run(ctx)
		appender.Close()
	})
	return v
}

// naiveHolder is a broken variant that counts the time of a grant from when its
// record was read back. The record may be old by then.
type naiveHolder struct {
	holder Holder
	terms  Terms

	mu    sync.Mutex
	fold  *Fold
	grant Grant
}

func (j *naiveHolder) apply(batch logservice.Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, logged := range batch.Records {
		record, verdict := j.fold.Apply(logged)
		if record.Holder == j.holder && (verdict == Acquired || verdict == Renewed) {
			state, _ := j.fold.Get(record.Lease)
			j.grant = newGrant(state.Fencing, time.Now(), &j.terms)
		}
	}
}

func (j *naiveHolder) held() (Grant, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.grant, j.grant.Valid()
}

// target is an engine that ignores fencing numbers and records outdated ones.
type target struct {
	mu       sync.Mutex
	vm       string
	fencing  uint64
	received int
	// handovers counts changes of the sender.
	handovers int
	violation string
}

func (g *target) receive(vm string, fencing uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received++
	if vm != g.vm && g.received > 1 && fencing < g.fencing {
		g.violation = fmt.Sprintf("%s sent with fencing number %d after %s with %d", vm, fencing, g.vm, g.fencing)
	}
	if g.received > 1 && vm != g.vm {
		g.handovers++
	}
	if fencing >= g.fencing {
		g.vm, g.fencing = vm, fencing
	}
}

// maxMessageDelay is the longest delay of an order: 1 s less than the margin and the
// handover delay cover.
var maxMessageDelay = terms.Margin + terms.HandoverDelay - time.Second

// sender sends an order whenever it holds a grant; each order arrives either at
// once or after maxMessageDelay.
func (v *vm) sender(ctx context.Context, to *target, held func() (Grant, bool), random *rand.Rand, running *sync.WaitGroup) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		v.log.WaitWhilePaused()
		grant, ok := held()
		if !ok {
			continue
		}
		delay := time.Duration(random.IntN(2)) * maxMessageDelay
		running.Go(func() {
			time.Sleep(delay)
			to.receive(v.name, grant.Fencing)
		})
	}
}

// fault is one step of a schedule.
type fault struct {
	After  int // seconds
	Kind   int // as runSchedule applies it
	Length int // seconds
}

func drawFault(t *rapid.T) fault {
	return fault{
		After:  rapid.IntRange(0, 15).Draw(t, "after"),
		Kind:   rapid.IntRange(0, 6).Draw(t, "kind"),
		Length: rapid.IntRange(1, 40).Draw(t, "length"),
	}
}

// variant is the implementation that a schedule runs against.
type variant struct {
	terms Terms
	// naive selects naiveHolder in place of Manager.
	naive bool
}

// runSchedule applies the faults of a schedule to two VMs and returns their engine.
func runSchedule(t *testing.T, seed uint64, schedule []fault, with variant) *target {
	to := &target{}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, seed))
		var mu sync.Mutex
		lossy := false
		log := logtest.New(logtest.Options{Latency: time.Millisecond, Faults: func(string, []logservice.Entry) logtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if !lossy {
				return logtest.Fault{}
			}
			return logtest.Fault{
				LoseAnswer: random.IntN(2) == 0, LoseRequest: random.IntN(4) == 0,
				Delay: time.Duration(random.IntN(8)) * time.Second,
			}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var vms []*vm
		for i, name := range []string{"vm-a", "vm-b"} {
			v := startVM(ctx, t, &running, log, name, with.terms)
			held := func() (Grant, bool) { return v.manager.Held(leaseName) }
			if with.naive {
				held = v.naive.held
			}
			senderRandom := rand.New(rand.NewPCG(seed, uint64(i)))
			running.Go(func() { v.sender(ctx, to, held, senderRandom, &running) })
			vms = append(vms, v)
		}
		for _, d := range schedule {
			time.Sleep(time.Duration(d.After) * time.Second)
			length := time.Duration(d.Length) * time.Second
			switch d.Kind {
			case 0, 1:
				time.AfterFunc(length, vms[d.Kind].log.Pause())
			case 2, 3:
				link := vms[d.Kind-2].log
				link.SetPartitioned(true)
				time.AfterFunc(length, func() { link.SetPartitioned(false) })
			case 4:
				log.SetAway(true)
				time.AfterFunc(length, func() { log.SetAway(false) })
			default:
				mu.Lock()
				lossy = d.Kind == 5
				mu.Unlock()
			}
		}
		time.Sleep(time.Minute)
		cancel()
		running.Wait()
	})
	return to
}

func drawSchedule(t *rapid.T) (uint64, []fault) {
	return rapid.Uint64().Draw(t, "seed"), rapid.SliceOfN(rapid.Custom(drawFault), 2, 10).Draw(t, "schedule")
}

func TestNoOrderOfAPreviousHolderArrivesAfterItsSuccessors(t *testing.T) {
	setChecks(t, "30")
	handovers := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed, schedule := drawSchedule(rt)
		to := runSchedule(t, seed, schedule, variant{terms: terms})
		if to.violation != "" {
			rt.Fatal(to.violation)
		}
		handovers += to.handovers
	})
	assert.Assert(t, handovers > 0, "no schedule includes a handover")
}

func TestCheckRejectsBrokenVariants(t *testing.T) {
	setChecks(t, "200")
	noHandoverDelay := terms
	noHandoverDelay.HandoverDelay = 0
	for name, broken := range map[string]variant{
		"grant counted from the read back": {terms: terms, naive: true},
		"no handover delay":                {terms: noHandoverDelay},
	} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			seed, schedule := drawSchedule(rt)
			if found == 0 && runSchedule(t, seed, schedule, broken).violation != "" {
				found++
			}
		})
		assert.Assert(t, found > 0, "no schedule detects: %s", name)
	}
}

package roles

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1_700_000_000, 0)

// pool returns the engines of one zone.
func pool(prefill, decode int) []*configuration.Endpoint {
	var all []*configuration.Endpoint
	add := func(n int, role configuration.Role) {
		for range n {
			name := "e" + strconv.Itoa(len(all))
			all = append(all, &configuration.Endpoint{Name: name, Model: "m", Zone: "a", Role: role})
		}
	}
	add(prefill, configuration.RolePrefill)
	add(decode, configuration.RoleDecode)
	return all
}

func TestWantedPrefill(t *testing.T) {
	for engines, want := range map[int]int{0: 0, 1: 0, 2: 0, 3: 1, 4: 1, 6: 1, 9: 2, 12: 2, 19: 3, 57: 10} {
		assert.Equal(t, wantedPrefill(engines), want, "%d engines", engines)
	}
}

func TestOrderDelayDependsOnTheImbalance(t *testing.T) {
	cases := []struct {
		name            string
		prefill, decode int
		after           time.Duration
		want            int
	}{
		{"balanced", 1, 5, time.Hour, 0},
		{"far too many prefill engines", 2, 4, largeImbalanceDelay + registrationQuietPeriod, 1},
		{"no prefill engine", 0, 6, largeImbalanceDelay + registrationQuietPeriod, 1},
		{"one too many of 19, before the delay", 4, 15, largeImbalanceDelay + registrationQuietPeriod, 0},
		{"one too many of 19, after the delay", 4, 15, smallImbalanceDelay, 1},
	}
	for _, c := range cases {
		p := newPlanner()
		engines := pool(c.prefill, c.decode)
		assert.Equal(t, len(p.plan(start, engines)), 0, c.name)
		assert.Equal(t, len(p.plan(start.Add(c.after), engines)), c.want, c.name)
	}
}

func TestRegistrationsThatArriveOneByOneCauseNoOrder(t *testing.T) {
	p := newPlanner()
	for n := range 6 {
		now := start.Add(time.Duration(n) * time.Second)
		assert.Equal(t, len(p.plan(now, pool(0, n))), 0)
	}
}

func TestOrderCountsUntilReportedOrTimedOut(t *testing.T) {
	p := newPlanner()
	engines := pool(2, 4)
	p.plan(start, engines)
	now := start.Add(registrationQuietPeriod + largeImbalanceDelay)
	changes := p.plan(now, engines)
	assert.Equal(t, len(changes), 1)
	p.recordOrder(now, &Entry{Engine: changes[0].Engine.Name, Model: "m", Zone: "a", Role: changes[0].To})
	assert.Equal(t, len(p.plan(now.Add(orderTimeout/2), engines)), 0)
	p.plan(now.Add(orderTimeout), engines)
	assert.Equal(t, len(p.plan(now.Add(orderTimeout+smallImbalanceDelay), engines)), 1, "the order did not take effect")
}

// fakeJournal is a journal that several balancers share.
type fakeJournal struct {
	entries *[]Entry
	read    int
	failing bool
}

func (j *fakeJournal) Read(context.Context) (Reading, error) {
	if j.failing {
		return Reading{}, errors.New("platform unreachable")
	}
	all := *j.entries
	reading := Reading{Entries: all[j.read:], Moved: len(all) > j.read}
	j.read = len(all)
	return reading, nil
}

func (j *fakeJournal) Append(_ context.Context, entry Entry) (uint64, error) {
	if len(*j.entries) > j.read {
		return 0, nil
	}
	*j.entries = append(*j.entries, entry)
	j.read++
	return uint64(j.read), nil
}

// receivedOrder is an order as an engine received it.
type receivedOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

// fakeOrders records orders and carries them out.
type fakeOrders struct {
	holder   string
	clock    func() time.Time
	received *[]receivedOrder
}

func (o fakeOrders) SetRole(_ context.Context, e *configuration.Endpoint, role configuration.Role, fence uint64) error {
	*o.received = append(*o.received, receivedOrder{o.holder, fence, o.clock()})
	e.Role = role
	return nil
}

const handoverDelay = 3 * time.Second

// testFleet is a set of balancers that share engines and a journal.
type testFleet struct {
	now       time.Time
	engines   []*configuration.Endpoint
	entries   []Entry
	received  []receivedOrder
	journals  []*fakeJournal
	balancers []*Balancer
	// quiet holds the balancers and engines of which the latter want no calls of the former.
	quiet map[string]bool
}

func newTestFleet(t *testing.T, balancers int, engines []*configuration.Endpoint) *testFleet {
	t.Helper()
	f := &testFleet{now: start, engines: engines}
	log := decisionlog.Discard()
	t.Cleanup(log.Close)
	clock := func() time.Time { return f.now }
	for i := range balancers {
		name := "vm" + strconv.Itoa(i)
		journal := &fakeJournal{entries: &f.entries}
		f.journals = append(f.journals, journal)
		f.balancers = append(f.balancers, New(Options{
			VM: name, Journal: journal, Orders: fakeOrders{name, clock, &f.received}, HandoverDelay: handoverDelay,
			Engines: func() []*configuration.Endpoint { return f.engines },
			Quiet:   func(engine string) bool { return f.quiet[name+" "+engine] },
			Rank:    func() int { return i },
			Clock:   clock, Log: log,
		}))
	}
	return f
}

// run steps all balancers at each interval for a time.
func (f *testFleet) run(ctx context.Context, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(stepInterval) {
		for _, b := range f.balancers {
			b.step(ctx)
		}
	}
}

func TestOneProcessGivesTheOrders(t *testing.T) {
	f := newTestFleet(t, 4, pool(6, 12))
	f.run(t.Context(), 20*time.Second)
	assert.Equal(t, len(f.received), 3)
	for i, order := range f.received {
		assert.Equal(t, order.holder, "vm0")
		assert.Equal(t, order.fence, uint64(i+1))
	}
}

func TestSuccessorWaitsForTheFormerHoldersTurn(t *testing.T) {
	f := newTestFleet(t, 2, pool(2, 4))
	f.run(t.Context(), 4*time.Second)
	assert.Equal(t, len(f.received), 1)
	f.journals[0].failing = true
	f.engines = pool(0, 6)
	f.run(t.Context(), 20*time.Second)
	assert.Equal(t, len(f.received), 2)
	assert.Equal(t, f.received[1].holder, "vm1")
	assert.Assert(t, f.received[1].fence > f.received[0].fence)
	assert.Assert(t, f.received[1].at.Sub(f.received[0].at) > handoverDelay)
}

// An engine that asked one VM for quiet got orders from it. They come from another VM, which it did not ask.
func TestNoOrderToAnEngineThatAskedForQuiet(t *testing.T) {
	f := newTestFleet(t, 1, pool(2, 4))
	f.quiet = map[string]bool{"vm0 e0": true, "vm0 e1": true}
	f.run(t.Context(), 20*time.Second)
	assert.Equal(t, len(f.received), 0)
	assert.Equal(t, len(f.entries), 0, "the journal holds no order that is not given")
	f.quiet = nil
	f.run(t.Context(), 20*time.Second)
	assert.Equal(t, len(f.received), 1)

	f = newTestFleet(t, 2, pool(2, 4))
	f.quiet = map[string]bool{"vm0 e0": true, "vm0 e1": true}
	f.run(t.Context(), 20*time.Second)
	assert.Equal(t, len(f.received), 1)
	assert.Equal(t, f.received[0].holder, "vm1")
}

func TestNoOrderWhileThePlatformIsUnreachable(t *testing.T) {
	f := newTestFleet(t, 1, pool(2, 4))
	f.journals[0].failing = true
	f.run(t.Context(), 10*time.Second)
	assert.Equal(t, len(f.received), 0)
}

func TestProcessThatStoodStillGivesNoOldOrder(t *testing.T) {
	f := newTestFleet(t, 1, pool(2, 4))
	b := f.balancers[0]
	b.options.Journal = slowJournal{f.journals[0], func() { f.now = f.now.Add(orderWindow + time.Second) }}
	f.run(t.Context(), 4*time.Second)
	assert.Equal(t, len(f.received), 0)
	assert.Assert(t, len(f.entries) > 0)
}

// slowJournal advances the clock while an entry is added.
type slowJournal struct {
	*fakeJournal
	advance func()
}

func (j slowJournal) Append(ctx context.Context, entry Entry) (uint64, error) {
	fence, err := j.fakeJournal.Append(ctx, entry)
	j.advance()
	return fence, err
}

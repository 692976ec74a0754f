package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

var (
	start = time.Unix(1_800_000_000, 0)
	quota = team.Quota{Unit: team.Tokens, PerSecond: 1000, Burst: 1000}
)

// listed are the VMs that have announced themselves, by zone.
type listed map[string][]string

func (l listed) EntryVMs(zone string) []string { return l[zone] }
func (l listed) VMCount() int {
	count := 0
	for _, names := range l {
		count += len(names)
	}
	return max(1, count)
}

// fleetOf returns members and announcements of zones with a number of VMs each. VM a-0 is first
// for the team "t" as long as it is the only one available.
func fleetOf(zones map[string]int) (members []membership.Member, all listed) {
	all = listed{}
	for zone, count := range zones {
		for i := range count {
			name := fmt.Sprintf("%s-%d", zone, i)
			members = append(members, membership.Member{VM: name, Zone: zone, State: membership.Alive})
			all[zone] = append(all[zone], name)
		}
	}
	return members, all
}

func known(string) (team.Quota, bool) { return quota, true }

// owning returns a ledger of the VM that is first for team "t", at a time after its start.
func owning(after time.Duration, zones map[string]int) (*ledger, []membership.Member, listed) {
	members, all := fleetOf(zones)
	l := newLedger(firstOf("t", members), start)
	for at := time.Duration(0); at <= after; at += checkPeriod {
		l.observe(start.Add(at), members, all, known)
	}
	return l, members, all
}

// A team that sends several times its quota would lose its few urgent requests like all others if
// routine ones could use all of the credit.
func TestRoutineRequestsLeaveCreditToUrgentOnes(t *testing.T) {
	b := &bucket{quota: quota, weight: 1, settled: start}
	served := map[bool]int{}
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		now := start.Add(at)
		for range 3 {
			served[true] += int(b.take(now, claim{vm: "a", needed: 50, wanted: 50, yields: true}).units)
		}
		if at%(200*time.Millisecond) == 0 {
			served[false] += int(b.take(now, claim{vm: "b", needed: 50, wanted: 50}).units)
		}
	}
	assert.Equal(t, served[false], 100*50-50, "all but the one at the empty beginning")
	assert.Assert(t, served[true] > 20*1000-served[false]-200, "the reserve costs no rate: %v", served)
}

// A refusal of a routine request must not hold back urgent ones of its team at the same VM.
func TestRefusalOfRoutineRequestsHoldsBackNoUrgentOnes(t *testing.T) {
	a := newAccount()
	a.hold(start, charge{cost: 50, yields: true}, time.Second, longestRefusal)
	_, _, held := a.held(start, charge{cost: 60, yields: true})
	assert.Assert(t, held)
	_, _, held = a.held(start, charge{cost: 60})
	assert.Assert(t, !held)
}

// An owner that begins with a full bucket would give a burst out again after each kill of all VMs.
// Only the time since it became established counts, and before that the VMs that ask.
func TestBucketBeginsEmpty(t *testing.T) {
	l, _, all := owning(time.Second, map[string]int{"a": 10})
	now := start.Add(time.Second)
	d, established := l.take(now, "t", quota, claim{vm: "a-1", needed: 10, wanted: 10}, all)
	assert.Assert(t, !established && d.units == 0, "%v", d)
	// One asking VM of ten earns a tenth.
	d, _ = l.take(now.Add(500*time.Millisecond), "t", quota, claim{vm: "a-1", needed: 50, wanted: 50}, all)
	assert.Equal(t, d.units, int64(50))
	d, _ = l.take(now.Add(500*time.Millisecond), "t", quota, claim{vm: "a-1", needed: 1, wanted: 1}, all)
	assert.Equal(t, d.units, int64(0))

	l, _, all = owning(3500*time.Millisecond, map[string]int{"a": 10})
	now = start.Add(3500 * time.Millisecond)
	d, established = l.take(now, "t", quota, claim{vm: "a-1", needed: 500, wanted: 500}, all)
	assert.Assert(t, established && d.units == 500, "%v", d)
	d, _ = l.take(now, "t", quota, claim{vm: "a-1", needed: 1, wanted: 1}, all)
	assert.Equal(t, d.units, int64(0))
}

// A window counted from the wrong end would count VMs that ask no more, and not those that do: two
// owners would then have the parts of the same VMs.
func TestOnlyVMsThatAskedRecentlyCount(t *testing.T) {
	b := &bucket{quota: quota, asked: map[string]time.Time{"a": start, "b": start.Add(askWindow)}}
	assert.Equal(t, b.askers(start.Add(askWindow)), 2)
	assert.Equal(t, b.askers(start.Add(askWindow+1)), 1)
	assert.Equal(t, b.askers(start.Add(2*askWindow+1)), 0)
}

// Two sides of a cut must not both have the whole quota, and a process with no
// announcements must not take itself for the only VM.
func TestWeightsOfTheSidesOfACut(t *testing.T) {
	members, all := fleetOf(map[string]int{"a": 10, "b": 10, "c": 20})
	side := func(in func(m membership.Member) bool) []membership.Member {
		var seen []membership.Member
		for _, m := range members {
			if in(m) {
				seen = append(seen, m)
			}
		}
		return seen
	}
	weight := func(in func(m membership.Member) bool) float64 { return seenWeight(side(in), all) }
	assert.Equal(t, weight(func(membership.Member) bool { return true }), 1.0)
	assert.Equal(t, weight(func(m membership.Member) bool { return m.Zone == "c" }), 0.5)
	assert.Equal(t, weight(func(m membership.Member) bool { return m.Zone != "c" }), 0.5)
	assert.Equal(t, weight(func(m membership.Member) bool { return m.VM == "a-3" }), 1.0/40)
	assert.Equal(t, weight(func(m membership.Member) bool { return m.VM != "a-3" }), 1.0)

	l := newLedger("x", start)
	alone := []membership.Member{{VM: "x", Zone: "a", State: membership.Alive}}
	l.observe(start, alone, listed{}, known)
	l.take(start, "t", quota, claim{vm: "x", needed: 1, wanted: 1}, listed{})
	d, _ := l.take(start.Add(time.Second), "t", quota, claim{vm: "x", needed: 1, wanted: 1}, listed{})
	assert.Equal(t, d.units, int64(0))
}

// An owner that was held up is passed by; with its old state it would give credit out beside the
// next one.
func TestOwnerThatWasHeldUpBeginsAnew(t *testing.T) {
	l, members, all := owning(10*time.Second, map[string]int{"a": 10})
	now := start.Add(10*time.Second + 2*pauseLimit)
	l.observe(now, members, all, known)
	d, established := l.take(now, "t", quota, claim{vm: "a-1", needed: 1, wanted: 1}, all)
	assert.Assert(t, !established && d.units == 0, "%v", d)
}

// A refusal must name a time at which there is credit, also far ahead; a request that waits must
// get it then, before others; and a request larger than the burst must not wait for ever.
func TestNamedTimesAreKept(t *testing.T) {
	b := &bucket{settled: start, asked: map[string]time.Time{}}
	b.set(start, quota, 1)
	b.credit = 1000
	assert.Equal(t, b.take(start, claim{vm: "a", needed: 5000, wanted: 5000}).units, int64(5000))
	far := b.take(start, claim{vm: "b", needed: 500, wanted: 500})
	assert.Equal(t, far.wait, 4500*time.Millisecond+minWait)
	now := start.Add(4300 * time.Millisecond)
	near := b.take(now, claim{vm: "b", needed: 500, wanted: 500, patience: 250 * time.Millisecond})
	assert.Equal(t, near.wait, 200*time.Millisecond+minWait)
	now = now.Add(near.wait)
	other := b.take(now, claim{vm: "c", needed: 500, wanted: 500})
	assert.Assert(t, other.units == 0 && other.wait >= 499*time.Millisecond, "%v", other)
	assert.Equal(t, b.take(now, claim{vm: "b", needed: 500, wanted: 500}).units, int64(500))

	b.set(now, team.Quota{PerSecond: 1000}, 1)
	assert.Equal(t, b.take(now.Add(time.Second), claim{vm: "b", needed: 900, wanted: 900}).units, int64(900))
}

// Credit that a VM does not use must be back at its owner; what an earlier process leased must not
// count.
func TestUnusedCreditIsReturnedOnlyToItsProcess(t *testing.T) {
	members, all := fleetOf(map[string]int{"a": 1})
	log := decisionlog.Discard()
	defer log.Close()
	now := start
	s := New(Params{
		VM: "a-0", Incarnation: 2, View: membership.Static{All: members}, Announced: func() Announced { return all },
		Quota: func(string) (team.Quota, uint64, bool) { return quota, 1, true }, Log: log, Clock: func() time.Time { return now },
	})
	request := func(needed int64, returns ...*quotav1.Return) int64 {
		response, err := s.Answer(&quotav1.TakeRequest{Vm: "b", Claims: []*quotav1.Claim{{Team: "t", Needed: needed, Wanted: needed}}, Returns: returns})
		assert.NilError(t, err)
		return response.GetLeases()[0].GetUnits()
	}
	request(0)
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		s.check()
	}
	assert.Equal(t, request(1000), int64(1000))
	assert.Equal(t, request(400, &quotav1.Return{Team: "t", Units: 400, LeasedBy: 1}), int64(0))
	assert.Equal(t, request(400, &quotav1.Return{Team: "t", Units: 400, LeasedBy: 2}), int64(400))

	for _, c := range []struct{ path, vm, team string }{{"vm", "", "t"}, {"claims[0].team", "b", ""}} {
		_, err := s.Answer(&quotav1.TakeRequest{Vm: c.vm, Claims: []*quotav1.Claim{{Team: c.team}}})
		assert.ErrorContains(t, err, c.path+":")
	}
}

// A lease that is used after its end is credit that the next owner has given out again.
func TestAccountUsesAndReturnsLeases(t *testing.T) {
	a := newAccount()
	from := lender{"o", 1}
	a.put([]lease{{lender: from, units: 100, taken: start}})
	parts, units := a.take(start.Add(unusedTime), 30)
	assert.Equal(t, units, int64(30))
	a.refund(parts)
	a.giveBackUnused(start.Add(unusedTime - 1))
	assert.Equal(t, a.balance(start), int64(70))
	a.giveBackUnused(start.Add(unusedTime))
	assert.Equal(t, a.balance(start), int64(0))
	assert.Equal(t, len(a.returnsTo("other")), 0)
	returned := a.returnsTo("o")
	assert.Equal(t, returned[0].units+returned[1].units, int64(100))

	a.put([]lease{{lender: from, units: 100, taken: start}})
	_, units = a.take(start.Add(leaseTime), 30)
	assert.Equal(t, units, int64(0))
	assert.Equal(t, a.expire(start.Add(leaseTime)), int64(100))
}

// What a VM keeps must stay small with 1,100 teams and 400 VMs.
func TestMemoryOfAccountsAndBuckets(t *testing.T) {
	const teams, vms = 1100, 400
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	accounts := make(map[string]*account, teams)
	for i := range teams {
		a := newAccount()
		a.put([]lease{{units: 1, taken: start}})
		accounts[fmt.Sprint("team-", i)] = a
	}
	between := heap()
	b := &bucket{asked: make(map[string]time.Time)}
	for i := range vms {
		b.take(start, claim{vm: fmt.Sprint("vm-", i), needed: 1, patience: time.Hour})
		b.asked[fmt.Sprint("vm-", i)] = start
	}
	after := heap()
	t.Logf("%d accounts: %d B each; a bucket asked by %d VMs: %d B", teams, (between-before)/teams, vms, after-between)
	assert.Assert(t, (between-before)/teams < 1024 && after-between < 256<<10)
	runtime.KeepAlive(accounts)
	runtime.KeepAlive(b)
}

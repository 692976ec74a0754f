package swim

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

var startTime = time.Unix(1000, 0)

// newTestMachine returns the machine of vm-a1 in zone-a with its counters.
func newTestMachine() (*machine, *Counters) {
	counters := new(Counters)
	self := identity{VM: "vm-a1", Zone: "zone-a", Address: "10.0.0.1:7400", Incarnation: 5}
	return newMachine(startTime, self, rand.New(rand.NewPCG(1, 1)), counters), counters
}

// member returns an update that reports a VM as alive.
func member(vm, zone string, incarnation uint64) update {
	address := "10.0.1." + strings.TrimLeft(vm, "vm-abc") + ":7400"
	return update{VM: vm, Zone: zone, Address: address, Incarnation: incarnation, State: membership.Alive}
}

func (u update) withState(state membership.State, refutation uint64) update {
	u.State, u.Refutation = state, refutation
	return u
}

func TestNewerUpdatesSupersede(t *testing.T) {
	base := member("vm-a2", "zone-a", 5).withState(membership.Suspect, 3)
	for _, test := range []struct {
		name        string
		incarnation uint64
		refutation  uint64
		state       membership.State
		want        bool
	}{
		{"equal update", 5, 3, membership.Suspect, false},
		{"alive with equal refutation", 5, 3, membership.Alive, false},
		{"gone with equal refutation", 5, 3, membership.Gone, true},
		{"alive with higher refutation", 5, 4, membership.Alive, true},
		{"gone with lower refutation", 5, 2, membership.Gone, false},
		{"alive with higher incarnation", 6, 0, membership.Alive, true},
		{"gone with lower incarnation", 4, 9, membership.Gone, false},
	} {
		other := base.withState(test.state, test.refutation)
		other.Incarnation = test.incarnation
		assert.Equal(t, other.supersedes(&base), test.want, test.name)
	}
}

func TestReplayWindow(t *testing.T) {
	var w replayWindow
	for _, step := range []struct {
		sequence uint64
		want     bool
	}{{1, true}, {1, false}, {3, true}, {2, true}, {2, false}, {100, true}, {37, true}, {36, false}, {3, false}, {500, true}, {100, false}} {
		assert.Equal(t, w.accept(step.sequence), step.want, "%d", step.sequence)
	}
}

func TestRequestsThatAreDropped(t *testing.T) {
	tooMany := message{From: member("vm-a2", "zone-a", 5), Sequence: 9, Updates: make([]update, maxUpdates+1)}
	badName := member("vm-a3", strings.Repeat("z", maxNameBytes+1), 5)
	badAddress := member("vm-a3", "zone-a", 5)
	badAddress.Address = "localhost:7400"
	for _, test := range []struct {
		name    string
		request message
		want    *errorx.Type
	}{
		{"replayed", message{From: member("vm-a2", "zone-a", 5), Sequence: 1}, Replayed},
		{"stale incarnation", message{From: member("vm-a2", "zone-a", 4), Sequence: 2}, Stale},
		{"oversized", tooMany, Oversized},
		{"name of the receiver", message{From: member("vm-a1", "zone-a", 9), Sequence: 2}, Malformed},
		{"zone name too long", message{From: badName, Sequence: 2}, Malformed},
		{"host name as address", message{From: badAddress, Sequence: 2}, Malformed},
		{"no incarnation", message{From: member("vm-a3", "zone-a", 0), Sequence: 2}, Malformed},
		{"not configured", message{From: member("vm-a4", "zone-a", 5), Sequence: 2}, Unlisted},
		{"configured in another zone", message{From: member("vm-a3", "zone-b", 5), Sequence: 2}, Unlisted},
	} {
		m, counters := newTestMachine()
		m.configure(startTime, []configuredVM{{"vm-a2", "zone-a", "10.0.1.2:7400"}, {"vm-a3", "zone-a", "10.0.1.3:7400"}})
		_, err := m.receive(startTime, &message{From: member("vm-a2", "zone-a", 5), Sequence: 1})
		assert.NilError(t, err)
		_, err = m.receive(startTime, &test.request)
		assert.Assert(t, errorx.IsOfType(err, test.want), "%s: %v", test.name, err)
		dropped := counters.Replayed.Load() + counters.Stale.Load() + counters.Oversized.Load() +
			counters.Malformed.Load() + counters.Unlisted.Load()
		assert.Equal(t, dropped, int64(1), test.name)
		assert.Equal(t, len(m.members(startTime)), 2, test.name)
	}
}

func TestOnlyTheLocalZoneDowngradesItsMembers(t *testing.T) {
	for _, test := range []struct{ sender, memberZone, want string }{
		{"zone-a", "zone-a", "gone"}, {"zone-b", "zone-a", "alive"},
		{"zone-b", "zone-b", "gone"}, {"zone-a", "zone-b", "gone"}, {"zone-b", "zone-c", "gone"},
	} {
		m, _ := newTestMachine()
		target := member("vm-a2", test.memberZone, 5)
		m.apply(startTime, target, test.memberZone)
		m.apply(startTime, target.withState(membership.Gone, 0), test.sender)
		assert.Equal(t, string(m.records["vm-a2"].State), test.want, "%+v", test)
	}
}

func TestSuspicionsAreRefutedOnce(t *testing.T) {
	m, counters := newTestMachine()
	self := m.self.update
	m.apply(startTime, self.withState(membership.Gone, 4), "zone-a")
	assert.Equal(t, m.self.Refutation, uint64(5))
	assert.Equal(t, m.self.State, membership.Alive)
	m.apply(startTime, self.withState(membership.Suspect, 4), "zone-a")
	assert.Equal(t, counters.Refutations.Load(), int64(1))
	previous := self.withState(membership.Gone, 9)
	previous.Incarnation--
	m.apply(startTime, previous, "zone-a")
	assert.Equal(t, counters.Refutations.Load(), int64(1))
	m.setDraining(startTime)
	m.leave(startTime)
	m.apply(startTime, m.self.withState(membership.Gone, 7), "zone-a")
	assert.Equal(t, m.self.State, membership.Gone, "a VM that leaves does not refute")
}

// TestMessageToASuspectCarriesItsSuspicion checks that only messages to the suspect
// itself repeat the suspicion after its dissemination has ended.
func TestMessageToASuspectCarriesItsSuspicion(t *testing.T) {
	m, _ := newTestMachine()
	suspect := member("vm-a2", "zone-a", 5).withState(membership.Suspect, 0)
	m.apply(startTime, suspect, "zone-a")
	m.broadcasts = newBroadcastQueue()
	composed := m.compose("vm-a2")
	assert.DeepEqual(t, composed.Updates, []update{suspect})
	composed = m.compose("vm-a3")
	assert.Equal(t, len(composed.Updates), 0)
}

func TestUpdatesAreSentABoundedNumberOfTimes(t *testing.T) {
	m, _ := newTestMachine()
	for _, vm := range []string{"vm-a2", "vm-a3"} {
		m.apply(startTime, member(vm, "zone-a", 5), "zone-a")
	}
	sent := 0
	for range 100 {
		sent += len(m.compose("vm-a9").Updates)
	}
	assert.Equal(t, sent, 2*retransmits*doublings(3))
}

// TestPlatformListIsOnlyAHint checks that a VM added to the platform's list becomes
// a candidate, and that a member removed from it is probed next but stays alive.
func TestPlatformListIsOnlyAHint(t *testing.T) {
	m, _ := newTestMachine()
	m.configure(startTime, []configuredVM{
		{"vm-a2", "zone-a", "10.0.1.2:7400"}, {"vm-a3", "zone-a", "10.0.1.3:7400"}, {"vm-a4", "zone-a", "10.0.1.4:7400"},
	})
	for _, vm := range []string{"vm-a2", "vm-a3"} {
		m.apply(startTime, member(vm, "zone-a", 5), "zone-a")
	}
	m.applyPlatformList(startTime, map[string]string{"10.0.1.2:7400": "vm-a2", "10.0.1.3:7400": "vm-a3", "10.7.7.7:7400": "vm-a4", "10.0.9.9:1": "engine-1"})
	assert.DeepEqual(t, m.unjoinedCandidates(), map[string]string{"10.0.1.4:7400": "vm-a4", "10.7.7.7:7400": "vm-a4"})
	m.newRound()
	m.applyPlatformList(startTime, map[string]string{"10.0.1.2:7400": "vm-a2"})
	assert.Equal(t, m.probeOrder[0], "vm-a3")
	assert.Equal(t, m.records["vm-a3"].State, membership.Alive)
}

func TestAnOlderProcessDoesNotTakeOverAnAddress(t *testing.T) {
	m, _ := newTestMachine()
	newer, older := member("vm-a2", "zone-a", 9), member("vm-a3", "zone-a", 5)
	older.Address = newer.Address
	m.apply(startTime, newer, "zone-a")
	m.apply(startTime, older, "zone-a")
	assert.Equal(t, m.records["vm-a2"].State, membership.Alive)
	m, _ = newTestMachine()
	m.apply(startTime, older, "zone-a")
	m.apply(startTime, newer, "zone-a")
	assert.Equal(t, m.records["vm-a3"].State, membership.Gone)
}

func TestGoneMembersAreRemovedAfterRetention(t *testing.T) {
	m, _ := newTestMachine()
	u := member("vm-a2", "zone-a", 5)
	m.apply(startTime, u, "zone-a")
	m.apply(startTime, u.withState(membership.Gone, 0), "zone-a")
	m.takeChanges(startTime)
	m.tick(startTime.Add(goneRetention - time.Second))
	assert.Assert(t, m.records["vm-a2"] != nil)
	m.tick(startTime.Add(goneRetention))
	assert.Assert(t, m.records["vm-a2"] == nil)
	assert.Equal(t, m.digests, newDigests(m))
}

// newDigests computes a machine's digests from its records.
func newDigests(m *machine) digests {
	var d digests
	for _, r := range m.records {
		d.toggle(&r.update)
	}
	return d
}

// TestPauseExtendsDeadlines checks that a pause of this VM does not count towards the
// timeouts of a suspect and of another zone.
func TestPauseExtendsDeadlines(t *testing.T) {
	m, counters := newTestMachine()
	m.apply(startTime, member("vm-a2", "zone-a", 5).withState(membership.Suspect, 0), "zone-a")
	m.apply(startTime, member("vm-b1", "zone-b", 5), "zone-b")
	resumed := startTime.Add(time.Hour)
	m.tick(resumed)
	assert.Equal(t, counters.Pauses.Load(), int64(1))
	assert.Equal(t, m.records["vm-a2"].State, membership.Suspect)
	assert.Equal(t, m.effective(resumed, m.records["vm-b1"]), membership.Alive)
	for passed := time.Duration(0); passed <= zoneGoneAfter(2); passed += tickPeriod {
		m.tick(resumed.Add(passed))
	}
	assert.Equal(t, m.records["vm-a2"].State, membership.Gone)
	assert.Equal(t, m.effective(resumed.Add(zoneGoneAfter(2)), m.records["vm-b1"]), membership.Gone)
}

// TestOverdueCallRaisesNoSuspicion checks that a ping that fails at its timeout raises
// a suspicion, and one that fails long after, as after a pause of this VM, does not.
func TestOverdueCallRaisesNoSuspicion(t *testing.T) {
	for _, test := range []struct {
		took time.Duration
		want membership.State
	}{{pingTimeout, membership.Suspect}, {time.Minute, membership.Alive}} {
		m, _ := newTestMachine()
		m.apply(startTime, member("vm-a2", "zone-a", 5), "zone-a")
		pings := m.startProbe(startTime)
		assert.Equal(t, len(pings), 1)
		m.handleOutcome(startTime.Add(test.took), pings[0].ID, outcome{})
		assert.Equal(t, m.records["vm-a2"].State, test.want, "%s", test.took)
	}
}

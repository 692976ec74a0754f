package order

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// prefillAt returns the observation of a prefill engine whose desired version
// is 2.
func prefillAt(zone, name, version string) *observation {
	state := engine.Desired{Role: configuration.RolePrefill, Model: "drafter", Version: version}
	desired := state
	desired.Version = "2"
	return &observation{
		endpoint: &configuration.Endpoint{Name: name, Zone: zone},
		desired:  desired, state: engine.State{Desired: state}, readable: true,
	}
}

func TestLastEngineOfARoleIsTakenOutOnlyWhileOtherZonesServe(t *testing.T) {
	unreadable := &observation{endpoint: &configuration.Endpoint{Name: "p-0", Zone: "zone-a"}}
	busy := prefillAt("zone-c", "p-3", "2")
	busy.state.Busy = true
	for name, test := range map[string]struct {
		otherZones []*observation
		allowed    bool
	}{
		"no engine in other zones":                   {nil, true},
		"served in another zone":                     {[]*observation{prefillAt("zone-c", "p-3", "1")}, true},
		"not served in another zone":                 {[]*observation{busy}, false},
		"unreadable in another zone":                 {[]*observation{unreadable}, false},
		"earlier zone is changing":                   {[]*observation{prefillAt("zone-a", "p-0", "1")}, false},
		"earlier zone is done":                       {[]*observation{prefillAt("zone-a", "p-0", "2")}, true},
		"earlier zone is unreadable, another serves": {[]*observation{unreadable, prefillAt("zone-c", "p-3", "1")}, true},
		"earlier zone is changing, another serves":   {[]*observation{prefillAt("zone-a", "p-0", "1"), prefillAt("zone-c", "p-3", "1")}, false},
	} {
		only := prefillAt("zone-b", "p-1", "1")
		policy := &disruptionPolicy{
			model: "drafter", observations: []*observation{only},
			otherZones: func(configuration.Role) []*observation { return test.otherZones },
		}
		assert.Equal(t, policy.allows(only), test.allowed, name)
	}
}

func TestUnreadableEngineCountsAsOutOfService(t *testing.T) {
	unreadable := prefillAt("zone-b", "p-1", "1")
	unreadable.readable = false
	other := prefillAt("zone-b", "p-2", "1")
	policy := &disruptionPolicy{model: "drafter", observations: []*observation{unreadable, other, prefillAt("zone-b", "p-3", "1")}}
	assert.Assert(t, !policy.allows(other))
	unreadable.readable = true
	assert.Assert(t, policy.allows(other))
}

// expiringLease is held for a limited number of calls to Held.
type expiringLease struct {
	heldLease
	remaining int
}

func (l *expiringLease) Held(name string) (lease.Grant, bool) {
	l.remaining--
	grant, _ := l.heldLease.Held(name)
	return grant, l.remaining >= 0
}

func (*expiringLease) Excluded(string) bool { return true }

func TestLeaseIsCheckedImmediatelyBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bundle := testBundle()
		bundle.Fleet.Endpoints = bundle.Fleet.Endpoints[2:3]
		standIn := standin.New(standin.Options{Version: "old"})
		defer standIn.Close()
		snapshot, err := configuration.NewSnapshot(bundle)
		assert.NilError(t, err)
		s := &site{}
		r := New(Options{
			Zone: "zone-a", Leases: &expiringLease{remaining: 2}, Configuration: fixedConfiguration{snapshot}, Events: timeline.Discard,
			Engines: func(string) (Engine, bool) {
				return engineUnderTest{standIn, &(&entryVM{}).hook, nil, &s.dropResponses}, true
			},
		})
		r.reconcile(t.Context())
		time.Sleep(exclusionPropagationPeriod)
		r.reconcile(t.Context())
		assert.Equal(t, r.Counters.NoLease.Load(), int64(1))
		assert.Equal(t, r.Counters.Sent.Load(), int64(0))
		assert.Equal(t, len(standIn.Counts().OrdersAccepted), 0)
	})
}

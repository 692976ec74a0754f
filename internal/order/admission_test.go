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

// prefillAt returns the reading of a prefill engine that should be of version 2.
func prefillAt(zone, name, version string) *reading {
	state := engine.Desired{Role: configuration.RolePrefill, Model: "drafter", Version: version}
	desired := state
	desired.Version = "2"
	return &reading{
		endpoint: &configuration.Endpoint{Name: name, Zone: zone},
		desired:  desired, state: engine.State{Desired: state}, readable: true,
	}
}

func TestLastEngineOfARoleGoesOutOnlyWhileOthersServe(t *testing.T) {
	unreadable := &reading{endpoint: &configuration.Endpoint{Name: "p-0", Zone: "zone-a"}}
	busy := prefillAt("zone-c", "p-3", "2")
	busy.state.Busy = true
	for name, test := range map[string]struct {
		elsewhere []*reading
		allowed   bool
	}{
		"none elsewhere":                       {nil, true},
		"served elsewhere":                     {[]*reading{prefillAt("zone-c", "p-3", "1")}, true},
		"not served elsewhere":                 {[]*reading{busy}, false},
		"not readable elsewhere":               {[]*reading{unreadable}, false},
		"zone before has its turn":             {[]*reading{prefillAt("zone-a", "p-0", "1")}, false},
		"zone before is done":                  {[]*reading{prefillAt("zone-a", "p-0", "2")}, true},
		"zone before is away, another serves":  {[]*reading{unreadable, prefillAt("zone-c", "p-3", "1")}, true},
		"zone before has its turn, one serves": {[]*reading{prefillAt("zone-a", "p-0", "1"), prefillAt("zone-c", "p-3", "1")}, false},
	} {
		only := prefillAt("zone-b", "p-1", "1")
		a := &admission{
			model: "drafter", readings: []*reading{only},
			elsewhere: func(configuration.Role) []*reading { return test.elsewhere },
		}
		assert.Equal(t, a.allows(only), test.allowed, name)
	}
}

func TestDeadEngineCountsAsOut(t *testing.T) {
	dead := prefillAt("zone-b", "p-1", "1")
	dead.readable = false
	other := prefillAt("zone-b", "p-2", "1")
	a := &admission{model: "drafter", readings: []*reading{dead, other, prefillAt("zone-b", "p-3", "1")}}
	assert.Assert(t, !a.allows(other))
	dead.readable = true
	assert.Assert(t, a.allows(other))
}

// endingLease ends after a number of questions.
type endingLease struct {
	heldLease
	left int
}

func (l *endingLease) Held(name string) (lease.Grant, bool) {
	l.left--
	grant, _ := l.heldLease.Held(name)
	return grant, l.left >= 0
}

func (*endingLease) Excluded(string) bool { return true }

func TestLeaseIsAskedForRightBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bundle := testBundle()
		bundle.Fleet.Endpoints = bundle.Fleet.Endpoints[2:3]
		stand := standin.New(standin.Options{Version: "old"})
		defer stand.Close()
		snapshot, err := configuration.NewSnapshot(bundle)
		assert.NilError(t, err)
		s := &site{}
		r := New(Options{
			Zone: "zone-a", Leases: &endingLease{left: 2}, Configuration: fixedConfiguration{snapshot}, Events: timeline.Discard,
			Engines: func(string) (Engine, bool) {
				return engineUnderTest{stand, &(&entryVM{}).hook, nil, &s.loseAnswers}, true
			},
		})
		r.reconcile(t.Context())
		time.Sleep(settlePeriod)
		r.reconcile(t.Context())
		assert.Equal(t, r.Counters.NoLease.Load(), int64(1))
		assert.Equal(t, r.Counters.Sent.Load(), int64(0))
		assert.Equal(t, len(stand.Counts().OrdersAccepted), 0)
	})
}

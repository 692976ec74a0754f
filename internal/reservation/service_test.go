package reservation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// smallFleet has one prefill and one decode engine per zone.
type smallFleet struct{ slots int }

func (f smallFleet) Engines(_ string, role configuration.Role, zone string) []*configuration.Endpoint {
	return []*configuration.Endpoint{{Name: zone + "-" + string(role), Zone: zone, Role: role, Slots: f.slots}}
}

func (f smallFleet) Model(string) (*configuration.Model, bool) {
	return &configuration.Model{
		Name:                   "m",
		PrefillTokensPerSecond: 10_000,
		TokenInterval:          configuration.Duration(20 * time.Millisecond),
	}, true
}

func (f smallFleet) Known() bool { return true }

func (f smallFleet) Models() []string { return []string{"m"} }

func (f smallFleet) EntryVMs(zone string) []string { return []string{zone + "-1", zone + "-2"} }

func (f smallFleet) Link(string, string) (*configuration.Link, bool) { return nil, false }

func demand(vm string, n uint64) scheduling.Demand {
	return scheduling.Demand{
		ID:           engine.AttemptID{VM: vm, Incarnation: 1, Request: n, Attempt: 1},
		Team:         "t",
		Class:        "c",
		Model:        "m",
		Order:        configuration.OrderFirstCome,
		PromptTokens: 1000,
		OutputTokens: 100,
		QueueLimit:   10,
	}
}

// localService returns the only service of its zone, with one slot.
func localService() *Service {
	self := membership.Member{VM: "vm-1", Zone: "a", Incarnation: 1, State: membership.Alive}
	return New(Params{
		View:  membership.Static{This: self, All: []membership.Member{self}},
		Fleet: func() Fleet { return smallFleet{1} },
	})
}

func TestReserveWaitsForTheSlotAndKeepsItRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := localService()
		go s.Run(ctx)
		first, err := s.Reserve(ctx, demand("vm-1", 1))
		assert.NilError(t, err)
		assert.Equal(t, first.Decode, "a-decode")

		granted := make(chan error, 1)
		go func() {
			_, err := s.Reserve(ctx, demand("vm-1", 2))
			granted <- err
		}()
		time.Sleep(3 * scheduling.GrantLease)
		assert.Equal(t, len(granted), 0, "granted a slot that is held and renewed")
		s.Progress(scheduling.Progress{ID: first.ID, Kind: scheduling.Released, Tokens: 100})
		assert.NilError(t, <-granted)
		stop()
		synctest.Wait()
	})
}

func TestRouteSettlesAfterTheLastCallToAPreviousOwner(t *testing.T) {
	key := routeKey{"a", "m"}
	first, second := membership.Member{VM: "vm-1", Zone: "a"}, membership.Member{VM: "vm-2", Zone: "a", Draining: true}
	r := newRouter(membership.Static{This: first, All: []membership.Member{first, second}})
	ref, err := r.acquire(key)
	assert.NilError(t, err)
	assert.Equal(t, ref.owner.VM, "vm-1")
	first.Draining, second.Draining = true, false
	r.view = membership.Static{This: first, All: []membership.Member{first, second}}
	assert.Assert(t, !r.settled(key))
	<-ref.invalidated
	r.release(ref)
	assert.Assert(t, r.settled(key))
}

func TestCancelledCallWithdrawsItsDemandAndMayBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := localService()
		defer s.stop()
		sched, err := s.ownedScheduler("m")
		assert.NilError(t, err)
		_, err = sched.reserve(t.Context(), demand("vm-2", 1))
		assert.NilError(t, err)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = sched.reserve(short, demand("vm-2", 2))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, sched.coordinator.Waiting(), 0)
		_, err = sched.reserve(t.Context(), demand("vm-2", 2))
		assert.NilError(t, err, "not granted after the lease of the first grant expired")
	})
}

func TestReserveWithdrawsWhenTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := localService()
		go s.Run(ctx)
		_, err := s.Reserve(ctx, demand("vm-1", 1))
		assert.NilError(t, err)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = s.Reserve(short, demand("vm-1", 2))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		sched, _ := s.ownedScheduler("m")
		assert.Equal(t, sched.coordinator.Waiting(), 0)
		stop()
		synctest.Wait()
	})
}

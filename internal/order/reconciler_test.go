package order

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestVersionChangeTakesOneEngineOfARoleOutAtATime(t *testing.T) {
	runSite(t, true, func(s *site) {
		holder, _ := s.awaitHolder()
		s.publishVersion("2")
		most := map[configuration.Role]int{}
		s.await(10*time.Minute, "version 2", func() bool {
			for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
				most[role] = max(most[role], s.busy(role))
			}
			return s.converged()
		})
		assert.DeepEqual(t, most, map[configuration.Role]int{configuration.RolePrefill: 1, configuration.RoleDecode: 1})
		assert.Equal(t, s.ordersAccepted(), 6)
		s.await(time.Minute, "all confirmed", func() bool { return holder.reconciler.Counters.OutOfService.Load() == 0 })
		assert.Equal(t, holder.reconciler.Counters.Confirmed.Load(), int64(6))
		assert.Equal(t, holder.reconciler.Counters.Diverged.Load(), int64(0))
		kinds := map[timeline.Kind]int{}
		for _, event := range holder.ring.Since(timeline.Query{}).Events {
			kinds[event.Kind]++
		}
		assert.DeepEqual(t, kinds, map[timeline.Kind]int{
			timeline.LeaseAcquired: 1, timeline.OrderSent: 6, timeline.OrderConfirmed: 6,
		})
	})
}

func TestWeightLoadsAreLimitedToTheWeightStoreRate(t *testing.T) {
	runSite(t, true, func(s *site) {
		s.awaitHolder()
		s.publish(func(fleet *configuration.Fleet) {
			fleet.Models[0].WeightBytes = 6_000
			fleet.WeightStoreBytesPerSecond = 100
			for i := range fleet.Endpoints {
				fleet.Endpoints[i].Version = "2"
			}
		})
		accepted, last := 0, time.Now()
		s.await(time.Hour, "version 2", func() bool {
			if now := s.ordersAccepted(); now > accepted {
				assert.Equal(t, now, accepted+1)
				assert.Assert(t, time.Since(last) > 55*time.Second, "loads %s apart", time.Since(last))
				accepted, last = now, time.Now()
			}
			return s.converged()
		})
		assert.Equal(t, accepted, 6)
	})
}

// makeDecode4Prefill makes decode-4 a prefill engine.
func makeDecode4Prefill(fleet *configuration.Fleet) {
	fleet.Endpoints[5].Role = configuration.RolePrefill
}

func TestRoleChangeDrainsTheEngineFirst(t *testing.T) {
	runSite(t, true, func(s *site) {
		holder, other := s.awaitHolder()
		s.active["decode-4"].Store(2)
		s.publish(makeDecode4Prefill)
		s.await(10*time.Second, "exclusion on both VMs", func() bool {
			return holder.leases.Excluded("decode-4") && other.leases.Excluded("decode-4")
		})
		time.Sleep(20 * time.Second)
		assert.Equal(t, s.ordersAccepted(), 0, "ordered while requests run")
		s.active["decode-4"].Store(0)
		time.Sleep(minIdlePeriod - time.Second)
		assert.Equal(t, s.ordersAccepted(), 0)
		s.await(time.Minute, "new role", s.converged)
		s.await(time.Minute, "end of exclusion", func() bool { return !other.leases.Excluded("decode-4") })
		assert.Equal(t, holder.reconciler.Counters.DrainTimeouts.Load(), int64(0))
	})
}

func TestDrainEndsAtTheDrainLimit(t *testing.T) {
	runSite(t, true, func(s *site) {
		holder, _ := s.awaitHolder()
		s.active["decode-4"].Store(1)
		s.publish(makeDecode4Prefill)
		took := s.await(3*time.Minute, "new role", s.converged)
		limit := s.bundle.Fleet.Times.DrainLimit.D()
		assert.Assert(t, took >= limit+orderDuration, "took %s", took)
		assert.Assert(t, took < limit+orderDuration+20*time.Second, "took %s", took)
		assert.Equal(t, holder.reconciler.Counters.DrainTimeouts.Load(), int64(1))
	})
}

func TestOrderWithALostResponseIsReadBackAndRetried(t *testing.T) {
	runSite(t, false, func(s *site) {
		holder, _ := s.awaitHolder()
		s.dropResponses.Store(true)
		s.publishVersion("2")
		s.await(10*time.Minute, "version 2", s.converged)
		assert.Equal(t, s.ordersAccepted(), 6, "a retried order is idempotent")
		assert.Assert(t, holder.reconciler.Counters.Failed.Load() >= 6)
	})
}

func TestDesiredStateChangesDuringARollout(t *testing.T) {
	runSite(t, true, func(s *site) {
		s.awaitHolder()
		s.publishVersion("2")
		s.await(time.Minute, "an order", func() bool { return s.busy(configuration.RoleDecode) == 1 })
		s.publishVersion("3")
		took := s.await(10*time.Minute, "version 3", s.converged)
		assert.Assert(t, took < 4*(orderDuration+5*time.Second)+10*time.Second, "took %s", took)
		assert.Equal(t, s.ordersAccepted(), 8, "two engines were busy with version 2 and got a second order")
	})
}

func TestNoOrdersWithoutALeaseDuringALogOutage(t *testing.T) {
	runSite(t, true, func(s *site) {
		holder, _ := s.awaitHolder()
		s.log.SetAway(true)
		time.Sleep(lease.DefaultTerms().Duration)
		_, held := holder.leases.Held("zone-a/drafter")
		assert.Assert(t, !held)
		s.publishVersion("2")
		time.Sleep(5 * time.Minute)
		assert.Equal(t, s.ordersAccepted(), 0)
		s.log.SetAway(false)
		s.await(10*time.Minute, "version 2", s.converged)
	})
}

func TestLeaseIsRaisedAboveTheEnginesFencingNumber(t *testing.T) {
	runSite(t, true, func(s *site) {
		holder, _ := s.awaitHolder()
		first, _ := holder.leases.Held("zone-a/drafter")
		foreign := standin.Order{Fencing: first.Fencing + 2, OrderID: "other", Desired: s.engines["decode-1"].State().Desired}
		s.engines["decode-1"].Order(foreign)
		s.publishVersion("2")
		s.await(10*time.Minute, "version 2", s.converged)
		now, _ := holder.leases.Held("zone-a/drafter")
		assert.Assert(t, now.Fencing >= foreign.Fencing)
	})
}

// pauseAtNextOrder pauses a VM at its next order, between the check of its
// lease and the arrival of the order, until the returned resume is called. With
// keepDeadline the resumed process still checks the call's deadline. Without
// it, the pause begins after that check.
func pauseAtNextOrder(v *entryVM, keepDeadline bool) (paused func() bool, resume func()) {
	reached, resumed := make(chan struct{}), make(chan struct{})
	h := hook(func(ctx context.Context, _ engine.Order) context.Context {
		v.hook.Store(nil)
		resumeLink := v.log.Pause()
		close(reached)
		<-resumed
		resumeLink()
		if keepDeadline {
			return ctx
		}
		return context.WithoutCancel(ctx)
	})
	v.hook.Store(&h)
	paused = func() bool {
		select {
		case <-reached:
			return true
		default:
			return false
		}
	}
	return paused, func() { close(resumed) }
}

func TestPausedHolderWakesAfterItsSuccessorActed(t *testing.T) {
	for name, test := range map[string]struct {
		checks, keepDeadline bool
		stale                int64
		diverged             int64
	}{
		"engine that checks fencing":                         {checks: true, stale: 1},
		"engine that ignores fencing":                        {checks: false, diverged: 1},
		"engine that ignores fencing, paused before sending": {checks: false, keepDeadline: true},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, test.checks, func(s *site) {
				previous, successor := s.awaitHolder()
				paused, resume := pauseAtNextOrder(previous, test.keepDeadline)
				s.publishVersion("2")
				s.await(time.Minute, "a paused order", paused)
				s.await(time.Minute, "a successor", func() bool {
					_, held := successor.leases.Held("zone-a/drafter")
					return held
				})
				s.publishVersion("3")
				s.await(10*time.Minute, "version 3", s.converged)
				time.Sleep(10 * time.Second)
				resume()
				time.Sleep(lease.DefaultTerms().Duration)
				_, held := previous.leases.Held("zone-a/drafter")
				assert.Assert(t, !held)
				s.await(convergedInterval+2*orderDuration, "version 3 again", s.converged)
				assert.Equal(t, previous.reconciler.Counters.Stale.Load(), test.stale)
				assert.Equal(t, successor.reconciler.Counters.Diverged.Load(), test.diverged)
				assert.Equal(t, previous.reconciler.Counters.Sent.Load(), int64(1), "one order per pool can be late")
			})
		})
	}
}

package quota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// settled is the time after the start of a fleet at which owners are established.
const settled = 6 * time.Second

// report logs the figures of a case and checks the bound in every window.
func report(t *testing.T, label string, teams ...*simTeam) (wrong float64) {
	t.Helper()
	synctest.Wait()
	for _, x := range teams {
		bound, limit := x.over(time.Time{})
		wrong = max(wrong, x.wrong())
		t.Logf("%-34s %-9s offered %5.2f admitted %5.2f of limit; window %4.2f of bound, %4.2f of limit; wrongly refused %.4f; longest %v",
			label, x.Name, x.offered/x.Quota.PerSecond, x.cost(x.admitted)/x.Quota.PerSecond, bound, limit, x.wrong(), x.longestWait.Round(time.Millisecond))
		assert.Assert(t, bound <= 1, "%s of %s: %.3f of the bound in a window", label, x.Name, bound)
	}
	return wrong
}

// Below its limit a team must lose nothing, whatever the number of its VMs; credit that lies at
// other VMs or at requests that did not run would be missed.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for _, c := range []struct {
		vms, through, teams int
		load, unrun         float64
	}{
		{62, 62, 16, 0.8, 0}, {62, 3, 4, 0.8, 0}, {62, 1, 4, 0.8, 0}, {62, 62, 4, 1.2, 0.4}, {62, 3, 4, 1.2, 0.4}, {300, 300, 16, 0.8, 0},
	} {
		simulate(t, c.vms, func(t *testing.T, s *sim) {
			var teams []*simTeam
			time.Sleep(settled)
			for i := range c.teams {
				x := s.team(fmt.Sprintf("team-%d", i), 47_000+float64(i)*20_000)
				teams = append(teams, x)
				s.offer(x, c.load, s.vms[:c.through], c.unrun, 10*time.Second)
			}
			time.Sleep(5 * time.Second)
			calls := -s.callCount()
			time.Sleep(5 * time.Second)
			calls += s.callCount()
			time.Sleep(time.Second)
			label := fmt.Sprintf("%d VMs, through %d, %.1f, %.1f unrun", c.vms, c.through, c.load, c.unrun)
			wrong := report(t, label, teams...)
			requests := 0
			for _, x := range teams {
				requests += len(x.admitted) + len(x.refused)
			}
			t.Logf("%s: %.0f calls/s for %.0f requests/s", label, float64(calls)/5, float64(requests)/10)
			assert.Assert(t, wrong < 0.005, "%s: %.4f wrongly refused", label, wrong)
		})
	}
}

// At ten times the limit all VMs together must admit the limit, neither more nor much less.
func TestTenTimesTheLimit(t *testing.T) {
	for _, through := range []int{62, 3, 1} {
		for _, limit := range []float64{47_000, 350_000} {
			simulate(t, 62, func(t *testing.T, s *sim) {
				time.Sleep(settled)
				x := s.team("team", limit)
				s.offer(x, 10, s.vms[:through], 0, 20*time.Second)
				time.Sleep(21 * time.Second)
				report(t, fmt.Sprintf("ten times through %d", through), x)
				t.Logf("%.0f calls/s", float64(s.callCount())/20)
				admitted := x.cost(x.admitted) / (x.Quota.PerSecond*20 + x.Quota.Burst)
				assert.Assert(t, admitted > 0.95, "%.3f of the limit admitted", admitted)
			})
		}
	}
}

// Faults must not let more than the bound through, at a load below the limit and at ten times it.
func TestBoundHoldsUnderFaults(t *testing.T) {
	zone := func(vm *simVM) bool { return vm.zone == "zone-1" }
	cases := []struct {
		name string
		// worst is the highest part of the offered cost at 0.8 of the limit that may be refused
		// wrongly.
		worst float64
		fault func(s *sim, owner *simVM)
	}{
		{"owner killed", 0.05, func(s *sim, owner *simVM) { s.kill(owner); time.Sleep(8 * time.Second); s.start(owner) }},
		{"owner frozen", 0.05, func(s *sim, owner *simVM) {
			s.setFrozen(owner, true)
			time.Sleep(700 * time.Millisecond)
			s.setFrozen(owner, false)
		}},
		{"zone cut off", 0.1, func(s *sim, _ *simVM) { s.cut(zone); time.Sleep(10 * time.Second); s.heal() }},
		{"one VM cut off", 0.05, func(s *sim, owner *simVM) {
			s.cut(func(vm *simVM) bool { return vm == owner })
			time.Sleep(10 * time.Second)
			s.heal()
		}},
		{"all VMs killed", 0.08, func(s *sim, _ *simVM) {
			for _, vm := range s.vms {
				s.kill(vm)
			}
			time.Sleep(2 * time.Second)
			for _, vm := range s.vms {
				s.start(vm)
			}
		}},
	}
	for _, c := range cases {
		for _, load := range []float64{0.8, 10} {
			simulate(t, 62, func(t *testing.T, s *sim) {
				time.Sleep(settled)
				x := s.team("team", 47_000)
				s.offer(x, load, s.vms, 0, 24*time.Second)
				time.Sleep(8 * time.Second)
				c.fault(s, s.owner(x.Name))
				time.Sleep(20 * time.Second)
				label := fmt.Sprintf("%s at %.1f", c.name, load)
				wrong := report(t, label, x)
				assert.Assert(t, load > 1 || wrong < c.worst, "%s: %.3f wrongly refused", label, wrong)
			})
		}
	}
}

// A limit that is lowered far below what a team sends binds one window after all VMs have it.
func TestLoweredLimitBinds(t *testing.T) {
	simulate(t, 62, func(t *testing.T, s *sim) {
		time.Sleep(settled)
		x := s.team("team", 350_000)
		s.offer(x, 1, s.vms, 0, 30*time.Second)
		time.Sleep(8 * time.Second)
		s.mu.Lock()
		x.Quota.PerSecond, x.Quota.Burst = 35_000, 35_000
		s.mu.Unlock()
		lowered := time.Now()
		time.Sleep(23 * time.Second)
		synctest.Wait()
		bound, limit := x.over(lowered.Add(simWindow))
		t.Logf("lowered to a tenth: window %.2f of bound, %.2f of limit", bound, limit)
		assert.Assert(t, limit <= 1.01, "%.3f of the lowered limit in a window", limit)
	})
}

func (s *sim) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *sim) setFrozen(vm *simVM, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm.frozen = frozen
}

// owner returns the VM that comes first for a team.
func (s *sim) owner(name string) *simVM {
	first := firstOf(name, simView{s, s.vms[0]}.Members())
	for _, vm := range s.vms {
		if vm.name == first {
			return vm
		}
	}
	return nil
}

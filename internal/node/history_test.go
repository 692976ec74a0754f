package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// Guards against a VM that has just started, lacks the other VMs in its view or has missed changes meanwhile, and takes
// what it has observed for all that there was.
func TestHistoryIsCompleteAfterAMinuteOrIfTheDeploymentHasJustBegun(t *testing.T) {
	// monitored runs a test beside a monitor. Age is that of another VM; the registrations have the returned one.
	monitored := func(t *testing.T, firstStart bool, age time.Duration, test func(m *historyMonitor, age *time.Duration)) {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now().Add(-age)
			options := &Options{Clock: time.Now, Builds: BuildOptions{FirstStart: firstStart, Started: func(uint64) time.Time { return began }}}
			others := membership.Static{All: []membership.Member{{VM: "other", Incarnation: 1}}}
			var registrations time.Duration
			test(newHistoryMonitor(options, others, func() time.Duration { return registrations }), &registrations)
		})
	}
	// pass lets time pass beside the checks of the monitor.
	pass := func(m *historyMonitor, d time.Duration) {
		for ; d > 0; d -= historyPeriod {
			m.check()
			time.Sleep(min(d, historyPeriod))
		}
	}
	for name, c := range map[string]struct {
		firstStart bool
		age        time.Duration
		early      bool
	}{
		"first start":                 {true, 0, true},
		"first start beside an older": {true, builds.Memory, false},
		"later start":                 {false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			monitored(t, c.firstStart, c.age, func(m *historyMonitor, _ *time.Duration) {
				assert.Assert(t, !m.complete(), "other VMs are not in view yet")
				pass(m, firstViewTime)
				assert.Equal(t, m.complete(), c.early)
				pass(m, builds.Memory-firstViewTime)
				assert.Assert(t, m.complete())
			})
		})
	}
	for name, interrupt := range map[string]func(m *historyMonitor, registrations *time.Duration){
		"old registrations": func(m *historyMonitor, registrations *time.Duration) {
			*registrations = builds.MaxAge + time.Millisecond
			assert.Assert(t, !m.complete())
			*registrations = 0
		},
		"held up": func(*historyMonitor, *time.Duration) { time.Sleep(builds.MaxAge + time.Millisecond) },
	} {
		for _, ran := range []time.Duration{builds.Memory / 2, 2 * builds.Memory} {
			t.Run(name+" after "+ran.String(), func(t *testing.T) {
				monitored(t, true, 0, func(m *historyMonitor, registrations *time.Duration) {
					pass(m, ran)
					assert.Assert(t, m.complete())
					interrupt(m, registrations)
					assert.Assert(t, !m.complete(), "changes may have been missed")
					pass(m, builds.Memory)
					assert.Assert(t, m.complete())
				})
			})
		}
	}
	t.Run("no registrations at first", func(t *testing.T) {
		monitored(t, true, 0, func(m *historyMonitor, registrations *time.Duration) {
			*registrations = time.Hour
			pass(m, 2*firstViewTime)
			assert.Assert(t, !m.complete())
			*registrations = 0
			assert.Assert(t, m.complete(), "nothing was interrupted")
		})
	})
}

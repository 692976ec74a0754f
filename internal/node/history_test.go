package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// Guards against a VM that has just started, or has not seen the other VMs yet, and takes what it sees for all that there was.
func TestHistoryIsCompleteAfterAMinuteOrIfTheDeploymentHasJustBegun(t *testing.T) {
	for name, c := range map[string]struct {
		firstStart bool
		// age is that of another VM.
		age time.Duration
		// early is set if the past is known before the VM has run for builds.Memory.
		early bool
	}{
		"first start":                 {true, 0, true},
		"first start beside an older": {true, builds.Memory, false},
		"later start":                 {false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now().Add(-c.age)
				options := &Options{Builds: BuildOptions{FirstStart: c.firstStart, Started: func(uint64) time.Time { return began }}}
				others := membership.Static{All: []membership.Member{{VM: "other", Incarnation: 1}}}
				known := historyComplete(options, others)
				assert.Assert(t, !known(), "other VMs are not in view yet")
				time.Sleep(firstViewTime)
				assert.Equal(t, known(), c.early)
				time.Sleep(builds.Memory - firstViewTime)
				assert.Assert(t, known())
			})
		})
	}
}

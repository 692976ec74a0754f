package reservation

import (
	"expvar"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
)

// schedulingTotals are the counters of the models that this VM owns now, added
// up over models.
type schedulingTotals struct {
	Models, Waiting              int
	Granted, Overlapped          uint64
	RefusedTarget, RefusedFull   uint64
	RefusedEngine, RefusedLarge  uint64
	Dropped, Withdrawn           uint64
	Expired, HolderGone, Adopted uint64
	Released                     uint64
	CacheGaps, CacheMisses       uint64
	Rested                       uint64
}

// add adds the counters of one model.
func (t *schedulingTotals) add(status ModelStatus) {
	t.Models++
	t.Waiting += status.Waiting
	c := &status.Counters
	t.Granted += c.Granted
	t.Overlapped += c.Overlapped
	t.RefusedTarget += c.RefusedTarget
	t.RefusedFull += c.RefusedFull
	t.RefusedEngine += c.RefusedEngine
	t.RefusedLarge += c.RefusedLarge
	t.Dropped += c.Dropped
	t.Withdrawn += c.Withdrawn
	t.Expired += c.Expired
	t.HolderGone += c.HolderGone
	t.Adopted += c.Adopted
	t.Released += c.Released
	t.CacheGaps += c.CacheGaps
	t.CacheMisses += c.CacheMisses
	t.Rested += c.Rested
}

// SchedulingVars publishes the counters of the models that this VM owns.
func (s *Service) SchedulingVars() *expvar.Map {
	return metrics.Snapshot(func() schedulingTotals {
		var totals schedulingTotals
		for _, status := range s.Status() {
			totals.add(status)
		}
		return totals
	})
}

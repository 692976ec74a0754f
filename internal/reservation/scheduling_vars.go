package reservation

import (
	"expvar"

	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// schedulingTotals are the counters of the models that this VM owns now, summed
// over the models.
type schedulingTotals struct {
	Models, Waiting int
	scheduling.Counters
}

// add adds the counters of one model.
func (t *schedulingTotals) add(status ModelStatus) {
	t.Models++
	t.Waiting += status.Waiting
	t.Add(&status.Counters)
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

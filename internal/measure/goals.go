package measure

import (
	"fmt"
	"io"
)

// The goals of the policy. At capacityLoad it is enough to reach goalAtCapacity or
// goalOverBaseline.
const (
	goalAtCapacity   = 0.95 // minimum share of the offered requests that are good
	goalOverBaseline = 1.5  // minimum ratio to the goodput of the best baseline
	goalWaste        = 0.01 // limit of the wasted share of the prefill tokens
	goalOverload     = 0.95 // minimum ratio of goodput at overloadLoad to that at capacityLoad

	// Loads relative to the capacity.

	capacityLoad = 1.0
	overloadLoad = 2.0
)

// Goal is a goal of the policy and whether a result reaches it.
type Goal struct {
	Name    string
	Reached bool
	// Measured describes the measured values.
	Measured string
}

// Goals evaluates the points without faults of a variant and compares them with
// those of the baselines. Goals whose points are missing are omitted.
func Goals(r *Result, variant string) []Goal {
	var goals []Goal
	at := pointAt(r, variant, capacityLoad)
	if at != nil {
		goals = append(goals, goalOfCapacity(r, at))
	}
	goals = append(goals, goalOfWaste(r, variant))
	if over := pointAt(r, variant, overloadLoad); at != nil && over != nil {
		goals = append(goals, goalOfOverload(at, over))
	}
	return goals
}

func pointAt(r *Result, variant string, load float64) *Point {
	for i := range r.Points {
		if p := &r.Points[i]; p.Variant == variant && p.Load == load && p.Fault == "" {
			return p
		}
	}
	return nil
}

func goalOfCapacity(r *Result, at *Point) Goal {
	best := 0.0
	for _, other := range variantsOf(r) {
		if p := pointAt(r, other, capacityLoad); p != nil && p.Policy != RouterPolicy {
			best = max(best, p.Model.GoodPerSecond)
		}
	}
	good := &at.Model
	measured := fmt.Sprintf("%.1f %% of the offered, %.2f/s, no baseline measured", 100*good.GoodShare, good.GoodPerSecond)
	if best > 0 {
		measured = fmt.Sprintf("%.1f %% of the offered, %.2f times the best baseline", 100*good.GoodShare, good.GoodPerSecond/best)
	}
	return Goal{
		Name:     "at 1.0 at least 95 % of the offered or 1.5 times the best baseline",
		Reached:  good.GoodShare >= goalAtCapacity || best > 0 && good.GoodPerSecond >= goalOverBaseline*best,
		Measured: measured,
	}
}

func goalOfWaste(r *Result, variant string) Goal {
	worst, load := 0.0, 0.0
	for i := range r.Points {
		p := &r.Points[i]
		if p.Variant == variant && p.Fault == "" && p.Prefill.WastedShare >= worst {
			worst, load = p.Prefill.WastedShare, p.Load
		}
	}
	return Goal{
		Name:     "wasted prefill under 1 % at every load",
		Reached:  worst < goalWaste,
		Measured: fmt.Sprintf("%.2f %% at most, at %.2f", 100*worst, load),
	}
}

func goalOfOverload(at, over *Point) Goal {
	ratio := over.Model.GoodPerSecond / max(at.Model.GoodPerSecond, 1e-9)
	return Goal{
		Name:     "goodput at 2.0 at most 5 % below that at 1.0",
		Reached:  ratio >= goalOverload,
		Measured: fmt.Sprintf("%.2f/s against %.2f/s", over.Model.GoodPerSecond, at.Model.GoodPerSecond),
	}
}

// WriteGoals prints goals, one per line.
func WriteGoals(out io.Writer, goals []Goal) error {
	for _, g := range goals {
		verdict := "MISSED"
		if g.Reached {
			verdict = "reached"
		}
		if _, err := fmt.Fprintf(out, "%s: %s (%s)\n", g.Name, verdict, g.Measured); err != nil {
			return err
		}
	}
	return nil
}

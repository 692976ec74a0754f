package measure

import (
	"fmt"
	"io"
)

// Ratio holds a value of two results.
type Ratio struct {
	A, B float64
}

// String formats "A -> B (ratio)", without the ratio if A is 0.
func (r Ratio) String() string {
	if r.A == 0 {
		return fmt.Sprintf("%.2f -> %.2f", r.A, r.B)
	}
	return fmt.Sprintf("%.2f -> %.2f (x%.2f)", r.A, r.B, r.B/r.A)
}

// Comparison compares a point that two results have in common.
type Comparison struct {
	Variant string
	Load    float64
	Fault   string
	// GoodPerSecond is in requests per second, Wasted in percent of the prefill
	// tokens, the others are in milliseconds.
	GoodPerSecond, Wasted, FirstTokenP95, BetweenTokensP95 Ratio
}

// pointKey identifies a point within a result.
type pointKey struct {
	variant, fault string
	load           float64
}

func keyOfPoint(p *Point) pointKey { return pointKey{p.Variant, p.Fault, p.Load} }

// Compare compares the points that two results have in common, in the order of
// b. The error is BadResult if there are none.
func Compare(a, b *Result) ([]Comparison, error) {
	known := make(map[pointKey]*Point)
	for i := range a.Points {
		known[keyOfPoint(&a.Points[i])] = &a.Points[i]
	}
	var all []Comparison
	for i := range b.Points {
		if before, ok := known[keyOfPoint(&b.Points[i])]; ok {
			all = append(all, compare(before, &b.Points[i]))
		}
	}
	if len(all) == 0 {
		return nil, BadResult.New("the results have no point in common")
	}
	return all, nil
}

func compare(a, b *Point) Comparison {
	return Comparison{
		Variant:          b.Variant,
		Load:             b.Load,
		Fault:            b.Fault,
		GoodPerSecond:    Ratio{a.Model.GoodPerSecond, b.Model.GoodPerSecond},
		Wasted:           Ratio{100 * a.Prefill.WastedShare, 100 * b.Prefill.WastedShare},
		FirstTokenP95:    Ratio{a.Model.FirstToken.P95, b.Model.FirstToken.P95},
		BetweenTokensP95: Ratio{a.Model.BetweenTokens.P95, b.Model.BetweenTokens.P95},
	}
}

// WriteComparisons prints a table of comparisons.
func WriteComparisons(out io.Writer, all []Comparison) error {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "load\tpolicy\tgoodput/s\twasted prefill %\tfirst token p95 ms\tbetween tokens p95 ms\tfault\t")
	for _, c := range all {
		_, _ = fmt.Fprintf(w, "%.2f\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			c.Load, c.Variant, c.GoodPerSecond, c.Wasted, c.FirstTokenP95, c.BetweenTokensP95, c.Fault)
	}
	return w.Flush()
}

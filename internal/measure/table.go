package measure

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// WriteClasses prints a table of the classes of a point.
func WriteClasses(out io.Writer, p *Point) error {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "class\tsent\tanswered\trefused\tfirst token p50/p95 ms\tbetween tokens p50/p95 ms\twhole p50/p95 ms\tgoodput/s\tgood\t")
	for i := range p.Classes {
		c := &p.Classes[i]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f/%.0f\t%.1f/%.1f\t%.0f/%.0f\t%.2f\t%.1f %%\t\n",
			c.Class, c.Sent, c.Answered, c.Refused,
			c.FirstToken.P50, c.FirstToken.P95, c.BetweenTokens.P50, c.BetweenTokens.P95, c.Whole.P50, c.Whole.P95,
			c.GoodPerSecond, 100*c.GoodShare)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "prefill: %d tokens computed, %d from cache, wasted %.2f %%\n",
		p.Prefill.Computed, p.Prefill.Cached, 100*p.Prefill.WastedShare)
	return err
}

// WriteChecks prints the checks of a point, one per line.
func WriteChecks(out io.Writer, p *Point) error {
	for _, c := range p.Checks {
		verdict := "kept"
		if c.Broken > 0 {
			verdict = fmt.Sprintf("BROKEN in %d", c.Broken)
		}
		if _, err := fmt.Fprintf(out, "%s: %s (%d looked at)\n", c.Name, verdict, c.Subjects); err != nil {
			return err
		}
		for _, example := range c.Examples {
			_, _ = fmt.Fprintf(out, "  %s\n", example)
		}
	}
	return nil
}

// WritePoints prints a table of the model-backed requests of all points.
func WritePoints(out io.Writer, r *Result) error {
	_, _ = fmt.Fprintf(out, "%s: capacity %.1f requests/s (prefill %.1f, decode %.1f)\n",
		r.Title, r.Capacity.Rate(), r.Capacity.Prefill, r.Capacity.Decode)
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "load\tpolicy\toffered\tgood\tgoodput/s\twasted prefill\trefused\tcut\tfirst token p50/p95/p99 ms\tbetween tokens p50/p95/p99 ms\tchecks\tfault\t")
	for i := range r.Points {
		writePoint(w, &r.Points[i])
	}
	return w.Flush()
}

func writePoint(w io.Writer, p *Point) {
	verdict := "kept"
	if broken := len(p.Broken()); broken > 0 {
		verdict = fmt.Sprintf("%d BROKEN", broken)
	}
	m := &p.Model
	_, _ = fmt.Fprintf(w, "%.2f\t%s\t%d\t%.1f %%\t%.2f\t%.2f %%\t%d\t%d\t%.0f/%.0f/%.0f\t%.1f/%.1f/%.1f\t%s\t%s\t\n",
		p.Load, p.Variant, m.Offered, 100*m.GoodShare, m.GoodPerSecond, 100*p.Prefill.WastedShare,
		m.Refused, m.CutShort+m.Unreachable,
		m.FirstToken.P50, m.FirstToken.P95, m.FirstToken.P99,
		m.BetweenTokens.P50, m.BetweenTokens.P95, m.BetweenTokens.P99, verdict, p.Fault)
}

// WritePlain prints a table of the classes of plain services, of all points.
func WritePlain(out io.Writer, r *Result) error {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "load\tpolicy\tclass\toffered\tgood\trefused\trepeats\twhole p50/p95/p99 ms\tsent late p99 ms\tfault\t")
	for i := range r.Points {
		p := &r.Points[i]
		for j := range p.Classes {
			if c := &p.Classes[j]; c.FirstToken.P99 == 0 {
				_, _ = fmt.Fprintf(w, "%.2f\t%s\t%s\t%d\t%.1f %%\t%d\t%d\t%.1f/%.1f/%.1f\t%.1f\t%s\t\n",
					p.Load, p.Variant, c.Class, c.Offered, 100*c.GoodShare, c.Refused, c.Repeats,
					c.Whole.P50, c.Whole.P95, c.Whole.P99, c.SendDelay.P99, p.Fault)
			}
		}
	}
	return w.Flush()
}

// WriteRefusals prints the refusals of all points by type and outcome, and
// examples of answers that were cut short.
func WriteRefusals(out io.Writer, r *Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "load\tpolicy\tfault\tclass\trefusal\tcount")
	for i := range r.Points {
		p := &r.Points[i]
		for j := range p.Classes {
			c := &p.Classes[j]
			for _, kind := range slices.Sorted(maps.Keys(c.Refusals)) {
				_, _ = fmt.Fprintf(w, "%.2f\t%s\t%s\t%s\t%s\t%d\n", p.Load, p.Variant, p.Fault, c.Class, kind, c.Refusals[kind])
			}
			for _, example := range c.CutExamples {
				_, _ = fmt.Fprintf(w, "%.2f\t%s\t%s\t%s\tcut short: %s\t\n", p.Load, p.Variant, p.Fault, c.Class, example)
			}
		}
	}
	return w.Flush()
}

// WriteResult prints all tables of a result, the goals of its first variant and
// the checks that failed.
func WriteResult(out io.Writer, r *Result) error {
	var goals []Goal
	if variants := variantsOf(r); len(variants) > 0 {
		goals = Goals(r, variants[0])
	}
	return errors.Join(
		WritePoints(out, r),
		WritePlain(out, r),
		WriteRefusals(out, r),
		WriteGoals(out, goals),
		WriteBroken(out, r),
	)
}

// WriteBroken prints the failed checks of all points.
func WriteBroken(out io.Writer, r *Result) error {
	for i := range r.Points {
		p := &r.Points[i]
		for _, c := range p.Broken() {
			_, err := fmt.Fprintf(out, "BROKEN: %s, %s at %.2f %s: %d of %d, such as %q\n",
				c.Name, p.Variant, p.Load, p.Fault, c.Broken, c.Subjects, c.Examples)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

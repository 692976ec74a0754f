package measure

import (
	"fmt"
	"io"
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

// WriteChecks prints the checks of a point, one a line.
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

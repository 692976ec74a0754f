package measure

import (
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	// legendRoom is the height of the Y axis relative to the highest value. It
	// leaves space for the legend above the lines.
	legendRoom = 1.35
)

// WritePlot draws goodput and wasted prefill over load, one line per variant, as
// SVG. Points with faults are left out.
func WritePlot(out io.Writer, r *Result) error {
	goodput := newPlot(r.Title+": goodput", "requests/s within targets")
	waste := newPlot(r.Title+": wasted prefill", "% of prefill tokens")
	for i, variant := range variantsOf(r) {
		if err := addLine(goodput, i, variant, series(r, variant, func(p *Point) float64 { return p.Model.GoodPerSecond })); err != nil {
			return err
		}
		if err := addLine(waste, i, variant, series(r, variant, func(p *Point) float64 { return 100 * p.Prefill.WastedShare })); err != nil {
			return err
		}
	}
	goodput.Y.Max *= legendRoom
	waste.Y.Max *= legendRoom
	canvas := vgsvg.New(plotWidth, plotHeight)
	halves := draw.Tiles{Rows: 1, Cols: 2}
	whole := draw.New(canvas)
	goodput.Draw(halves.At(whole, 0, 0))
	waste.Draw(halves.At(whole, 1, 0))
	_, err := canvas.WriteTo(out)
	return err
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "offered load / capacity"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	marks.Color = plotutil.Color(index)
	marks.Shape = plotutil.Shape(index)
	p.Add(line, marks)
	p.Legend.Add(name, line, marks)
	return nil
}

// variantsOf returns the variants of points without faults in their order.
func variantsOf(r *Result) []string {
	var names []string
	for i := range r.Points {
		p := &r.Points[i]
		if p.Fault == "" && !slices.Contains(names, p.Variant) {
			names = append(names, p.Variant)
		}
	}
	return names
}

func series(r *Result, variant string, value func(*Point) float64) plotter.XYs {
	var points plotter.XYs
	for i := range r.Points {
		if p := &r.Points[i]; p.Fault == "" && p.Variant == variant {
			points = append(points, plotter.XY{X: p.Load, Y: value(p)})
		}
	}
	return points
}

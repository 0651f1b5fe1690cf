package report

import (
	"image/color"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 28 * vg.Centimeter
	plotRows   = 4
)

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// series is one curve of a plot, with a value for each window.
type series struct {
	name  string
	value func(Window) float64
}

// WriteSVG writes plots of the figures over time as an SVG image.
func (r *Report) WriteSVG(out io.Writer) error {
	return r.draw(vgsvg.New(plotWidth, plotHeight), out)
}

// WritePNG writes plots of the figures over time as a PNG image.
func (r *Report) WritePNG(out io.Writer) error {
	return r.draw(vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}, out)
}

func (r *Report) draw(canvas vg.CanvasWriterTo, out io.Writer) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: plotRows, Cols: 1, PadY: vg.Millimeter * 4}
	grid := make([][]*plot.Plot, plotRows)
	for i, p := range plots {
		grid[i] = []*plot.Plot{p}
	}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		plots[i].Draw(row[0])
	}
	_, err = canvas.WriteTo(out)
	return errors.Wrap(err, "write plot")
}

func (r *Report) plots() ([]*plot.Plot, error) {
	var imbalance []series
	for _, service := range r.Services {
		name := service.Name
		imbalance = append(imbalance, series{name, func(w Window) float64 { return w.Imbalance[name] }})
	}
	sections := []struct {
		title string
		unit  string
		lines []series
	}{
		{"Throughput", "per second", []series{
			{"sent", func(w Window) float64 { return float64(w.Sent) }},
			{"done", func(w Window) float64 { return float64(w.Done) }},
			{"not run", func(w Window) float64 { return float64(w.NotRun) }},
			{"unknown", func(w Window) float64 { return float64(w.Unknown) }},
		}},
		{"Latency", "ms", []series{
			{"p50", func(w Window) float64 { return w.P50 }},
			{"p99", func(w Window) float64 { return w.P99 }},
			{"max", func(w Window) float64 { return w.Max }},
		}},
		{"Imbalance", "max / mean", imbalance},
		{"Unavailable", "keys", []series{{"keys", func(w Window) float64 { return float64(w.Unavailable) }}}},
	}
	var plots []*plot.Plot
	for _, section := range sections {
		p, err := r.plot(section.title, section.unit, section.lines)
		if err != nil {
			return nil, err
		}
		plots = append(plots, p)
	}
	return plots, nil
}

func (r *Report) plot(title, unit string, lines []series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, line := range lines {
		// The last window is left out because the run ends before the window does.
		fullWindows := r.Windows[:max(0, len(r.Windows)-1)]
		points := make(plotter.XYs, len(fullWindows))
		for j, w := range fullWindows {
			points[j] = plotter.XY{X: float64(w.Second), Y: line.value(w)}
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrapf(err, "plot %s", title)
		}
		curve.Color = palette[i%len(palette)]
		p.Add(curve)
		p.Legend.Add(line.name, curve)
	}
	p.Y.Min, p.Y.Max = 0, max(p.Y.Max, 1)
	return p, nil
}

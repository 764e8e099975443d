package reporter

import (
	"fmt"
	"image/color"
	"maps"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/lagoonmill/lagoonmill/internal/replayer"
	"github.com/lagoonmill/lagoonmill/internal/scheduler"
	"github.com/lagoonmill/lagoonmill/internal/timekeeper"
)

const (
	plotWidth   = 28 * vg.Centimeter
	useHeight   = 12 * vg.Centimeter
	curveHeight = 5 * vg.Centimeter
	maxColours  = 9 // workspaces with a colour of their own; the rest share one
)

// palette is distinct in hue and in lightness, so that a plot reads in grey too.
var palette = []color.Color{
	color.RGBA{0x1b, 0x4f, 0x8a, 0xff}, color.RGBA{0xe0, 0x8a, 0x1e, 0xff}, color.RGBA{0x2f, 0x8f, 0x5b, 0xff},
	color.RGBA{0xb0, 0x3a, 0x48, 0xff}, color.RGBA{0x7f, 0xb2, 0xd9, 0xff}, color.RGBA{0x6b, 0x4c, 0x9a, 0xff},
	color.RGBA{0xc7, 0xb4, 0x3c, 0xff}, color.RGBA{0x5d, 0x5d, 0x5d, 0xff}, color.RGBA{0xd9, 0x8c, 0xb3, 0xff},
}

// WritePlot writes an SVG: accelerators by workspace over time, with the waits of gangs and the reclaims marked, and
// below it the fragmentation.
func WritePlot(r *replayer.Result, path string) error {
	canvas := vgsvg.New(plotWidth, useHeight+curveHeight)
	if err := drawPlot(r, draw.New(canvas)); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("write plot: %w", err)
	}
	return file.Close()
}

func drawPlot(r *replayer.Result, whole draw.Canvas) error {
	thinned := *r
	thinned.Samples = thin(r.Samples, lastEnd(r))
	use, err := usePlot(&thinned)
	if err != nil {
		return err
	}
	curve, err := fragmentationPlot(&thinned)
	if err != nil {
		return err
	}
	use.Draw(draw.Crop(whole, 0, 0, curveHeight, 0))
	curve.Draw(draw.Crop(whole, 0, 0, 0, -useHeight))
	return nil
}

// thin keeps one sample for each step of the time axis that can be told apart.
func thin(samples []replayer.Sample, end timekeeper.Millis) []replayer.Sample {
	const steps = 1200
	var kept []replayer.Sample
	last := timekeeper.Millis(-1)
	for _, s := range samples {
		step := s.At * steps / max(end, 1)
		if step == last {
			kept[len(kept)-1] = s
			continue
		}
		kept = append(kept, s)
		last = step
	}
	return kept
}

func hours(t timekeeper.Millis) float64 { return float64(t) / float64(timekeeper.Hour) }

// lastEnd bounds the time axis: nothing happens after the last job has ended.
func lastEnd(r *replayer.Result) timekeeper.Millis {
	var end timekeeper.Millis
	for _, j := range r.Jobs {
		end = max(end, j.Ended, j.Submitted)
	}
	return end
}

func usePlot(r *replayer.Result) (*plot.Plot, error) {
	p := plot.New()
	s := r.Trace.Settings
	p.Title.Text = fmt.Sprintf("%s, %s day, policy %s: accelerators held by workspace", s.Deployment, s.Preset, r.Variant.Name)
	p.Y.Label.Text = "accelerators"
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, hours(lastEnd(r))
	p.Legend.Top, p.Legend.Left = true, false
	names := workspaceNames(r)
	base := make([]float64, len(r.Samples))
	for i, name := range names {
		area, err := stackedArea(r, name, names, base)
		if err != nil {
			return nil, err
		}
		area.Color = palette[i%len(palette)]
		area.LineStyle.Width = 0
		p.Add(area)
		p.Legend.Add(name, area)
	}
	if err := addMarks(p, r); err != nil {
		return nil, err
	}
	for _, sample := range r.Samples {
		p.Y.Max = max(p.Y.Max, float64(sample.Usable)*1.25)
	}
	return p, nil
}

const others = "all others"

// workspaceNames lists the workspaces by what they used, most first, the least of many as one.
func workspaceNames(r *replayer.Result) []string {
	used := map[string]int{}
	for _, s := range r.Samples {
		for name, n := range s.ByWorkspace {
			used[name] += n
		}
	}
	names := slices.SortedFunc(maps.Keys(used), func(a, b string) int {
		if used[a] != used[b] {
			return used[b] - used[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	if len(names) > maxColours {
		names = append(names[:maxColours-1:maxColours-1], others)
	}
	return names
}

// stackedArea draws one workspace on top of base, and raises base by it.
func stackedArea(r *replayer.Result, name string, named []string, base []float64) (*plotter.Polygon, error) {
	var top, bottom plotter.XYs
	end := lastEnd(r)
	for i, s := range r.Samples {
		until := end
		if i+1 < len(r.Samples) {
			until = min(end, r.Samples[i+1].At)
		}
		if s.At > end {
			break
		}
		n := float64(amount(s, name, named))
		for _, at := range []timekeeper.Millis{s.At, until} {
			bottom = append(bottom, plotter.XY{X: hours(at), Y: base[i]})
			top = append(top, plotter.XY{X: hours(at), Y: base[i] + n})
		}
		base[i] += n
	}
	slices.Reverse(bottom)
	area, err := plotter.NewPolygon(append(top, bottom...))
	if err != nil {
		return nil, fmt.Errorf("draw workspace %s: %w", name, err)
	}
	return area, nil
}

func amount(s replayer.Sample, name string, named []string) int {
	if name != others {
		return s.ByWorkspace[name]
	}
	n := 0
	for other, held := range s.ByWorkspace {
		if !slices.Contains(named, other) {
			n += held
		}
	}
	return n
}

// addMarks draws, above the accelerators, the wait of each gang as a bar and each reclaim as a triangle.
func addMarks(p *plot.Plot, r *replayer.Result) error {
	const gang, rows, rowHeight = 8, 8, 2.2
	usable := 0.0
	if len(r.Samples) > 0 {
		usable = float64(r.Samples[0].Usable)
	}
	var reclaims plotter.XYs
	row := 0
	for _, j := range r.Jobs {
		if j.Reclaimed {
			reclaims = append(reclaims, plotter.XY{X: hours(j.Submitted), Y: usable * 1.02})
		}
		if j.Spec.Demand.Total() < gang || j.Started == 0 || j.Started-j.Submitted < timekeeper.Minute {
			continue
		}
		y := usable*1.05 + float64(row%rows)*rowHeight
		row++
		bar, err := plotter.NewLine(plotter.XYs{{X: hours(j.Submitted), Y: y}, {X: hours(j.Started), Y: y}})
		if err != nil {
			return fmt.Errorf("draw wait: %w", err)
		}
		bar.Width = vg.Points(2)
		if j.Spec.Class == scheduler.ClassUrgent {
			bar.Color = color.RGBA{0xd0, 0, 0, 0xff}
		}
		p.Add(bar)
		if row == 1 {
			p.Legend.Add("gang waits", bar)
		}
	}
	if len(reclaims) == 0 {
		return nil
	}
	marks, err := plotter.NewScatter(reclaims)
	if err != nil {
		return fmt.Errorf("draw reclaims: %w", err)
	}
	marks.Shape = draw.TriangleGlyph{}
	marks.Color = color.RGBA{0xd0, 0, 0, 0xff}
	p.Add(marks)
	p.Legend.Add("reclaim", marks)
	return nil
}

func fragmentationPlot(r *replayer.Result) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "hours"
	p.Y.Label.Text = "fragmentation"
	end := lastEnd(r)
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, 1, 0, hours(end)
	var points plotter.XYs
	for _, s := range r.Samples {
		if s.At <= end {
			points = append(points, plotter.XY{X: hours(s.At), Y: s.Fragmentation})
		}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, fmt.Errorf("draw fragmentation: %w", err)
	}
	line.StepStyle = plotter.PostStep
	line.Color = palette[0]
	p.Add(plotter.NewGrid(), line)
	return p, nil
}

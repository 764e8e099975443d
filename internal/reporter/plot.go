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
	plotWidth           = 28 * vg.Centimeter
	usageHeight         = 12 * vg.Centimeter
	fragmentationHeight = 5 * vg.Centimeter
	maxColours          = 9 // areas in the plot; workspaces beyond that share the last one
)

// palette has colours of different hue and lightness, so that a plot is readable in greyscale.
var palette = []color.Color{
	color.RGBA{0x1b, 0x4f, 0x8a, 0xff}, color.RGBA{0xe0, 0x8a, 0x1e, 0xff}, color.RGBA{0x2f, 0x8f, 0x5b, 0xff},
	color.RGBA{0xb0, 0x3a, 0x48, 0xff}, color.RGBA{0x7f, 0xb2, 0xd9, 0xff}, color.RGBA{0x6b, 0x4c, 0x9a, 0xff},
	color.RGBA{0xc7, 0xb4, 0x3c, 0xff}, color.RGBA{0x5d, 0x5d, 0x5d, 0xff}, color.RGBA{0xd9, 0x8c, 0xb3, 0xff},
}

// WritePlot writes an SVG file to path. It shows the accelerators in use by workspace over time, with markers for the
// waits of gangs and for reclaims, and the fragmentation below.
func WritePlot(r *replayer.Result, path string) error {
	canvas := vgsvg.New(plotWidth, usageHeight+fragmentationHeight)
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
	sampled := *r
	sampled.Samples = downsample(r.Samples, lastEventTime(r))
	usage, err := usagePlot(&sampled)
	if err != nil {
		return err
	}
	fragmentation, err := fragmentationPlot(&sampled)
	if err != nil {
		return err
	}
	usage.Draw(draw.Crop(whole, 0, 0, fragmentationHeight, 0))
	fragmentation.Draw(draw.Crop(whole, 0, 0, 0, -usageHeight))
	return nil
}

// downsample keeps the last sample of each of 1,200 steps of the time axis, about as many as the plot can resolve.
func downsample(samples []replayer.Sample, end timekeeper.Millis) []replayer.Sample {
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

// lastEventTime returns the time of the last submission or end of a job. The time axis ends there, since nothing
// happens afterwards.
func lastEventTime(r *replayer.Result) timekeeper.Millis {
	var end timekeeper.Millis
	for _, j := range r.Jobs {
		end = max(end, j.Ended, j.Submitted)
	}
	return end
}

func usagePlot(r *replayer.Result) (*plot.Plot, error) {
	p := plot.New()
	s := r.Trace.Settings
	p.Title.Text = fmt.Sprintf("%s, %s day, policy %s: accelerators held by workspace", s.Deployment, s.Preset, r.Variant.Name)
	p.Y.Label.Text = "accelerators"
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, hours(lastEventTime(r))
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
	if err := addMarkers(p, r); err != nil {
		return nil, err
	}
	for _, sample := range r.Samples {
		p.Y.Max = max(p.Y.Max, float64(sample.Usable)*1.25)
	}
	return p, nil
}

const otherWorkspaces = "all others"

// workspaceNames returns the workspaces by descending use. If there are more than maxColours, otherWorkspaces stands
// for those of the least use.
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
		names = append(names[:maxColours-1:maxColours-1], otherWorkspaces)
	}
	return names
}

// stackedArea returns the area of one workspace on top of base, and adds its accelerators to base. named lists all
// areas of the plot.
func stackedArea(r *replayer.Result, name string, named []string, base []float64) (*plotter.Polygon, error) {
	var top, bottom plotter.XYs
	end := lastEventTime(r)
	for i, s := range r.Samples {
		until := end
		if i+1 < len(r.Samples) {
			until = min(end, r.Samples[i+1].At)
		}
		if s.At > end {
			break
		}
		n := float64(heldAccelerators(s, name, named))
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

// heldAccelerators returns the accelerators of a workspace, or for otherWorkspaces those of all that are not in named.
func heldAccelerators(s replayer.Sample, name string, named []string) int {
	if name != otherWorkspaces {
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

// addMarkers draws above the areas a bar for each wait of a minute or more of a gang of eight or more accelerators, and
// a triangle for each reclaim.
func addMarkers(p *plot.Plot, r *replayer.Result) error {
	const minGang, rows, rowHeight = 8, 8, 2.2
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
		if j.Spec.Demand.Total() < minGang || j.Started == 0 || j.Started-j.Submitted < timekeeper.Minute {
			continue
		}
		y := usable*1.05 + float64(row%rows)*rowHeight
		row++
		bar, err := plotter.NewLine(plotter.XYs{{X: hours(j.Submitted), Y: y}, {X: hours(j.Started), Y: y}})
		if err != nil {
			return fmt.Errorf("draw gang wait: %w", err)
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
	markers, err := plotter.NewScatter(reclaims)
	if err != nil {
		return fmt.Errorf("draw reclaims: %w", err)
	}
	markers.Shape = draw.TriangleGlyph{}
	markers.Color = color.RGBA{0xd0, 0, 0, 0xff}
	p.Add(markers)
	p.Legend.Add("reclaim", markers)
	return nil
}

func fragmentationPlot(r *replayer.Result) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "hours"
	p.Y.Label.Text = "fragmentation"
	end := lastEventTime(r)
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

// Package report shows the results of experiments as one HTML page, and compares results of two versions.
package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"verbenagate/lab/exper"
	"verbenagate/lab/load"
)

// Figure is one plot as a PNG image. PNG keeps the fonts of the plot, so that the page needs no assets.
type Figure struct {
	name  string
	title string
	text  string
	png   []byte
}

// Name returns a name for a file.
func (f Figure) Name() string { return f.name }

// Title returns what the figure shows.
func (f Figure) Title() string { return f.title }

// Text says in words what the figure shows, for readers who do not see it.
func (f Figure) Text() string { return f.text }

// PNG returns the image.
func (f Figure) PNG() []byte { return f.png }

const (
	width, height = 17 * vg.Centimeter, 7 * vg.Centimeter
	// dpi is twice the usual resolution of screens, so that the plots stay sharp when enlarged.
	dpi = 192
)

var (
	blue   = color.RGBA{R: 0x1f, G: 0x5f, B: 0x9e, A: 0xff}
	orange = color.RGBA{R: 0xd9, G: 0x6b, B: 0x0b, A: 0xff}
	grey   = color.RGBA{R: 0x90, G: 0x90, B: 0x90, A: 0xff}
	red    = color.RGBA{R: 0xb7, G: 0x1c, B: 0x1c, A: 0xff}
)

// Figures returns the plots of a stage.
func Figures(s exper.StageResult) ([]Figure, error) {
	var list []Figure
	for _, make := range []func(exper.StageResult) (*chart, string, error){latency, peak, shares, gaps, headOfLine} {
		p, name, err := make(s)
		if err != nil {
			return nil, fmt.Errorf("plot %s of stage %s: %w", name, s.Name, err)
		}
		if p == nil {
			continue
		}
		png, err := render(p.Plot)
		if err != nil {
			return nil, fmt.Errorf("plot %s of stage %s: %w", name, s.Name, err)
		}
		list = append(list, Figure{name: strings.ReplaceAll(s.Name+"-"+name, " ", "-"), title: p.Title.Text, text: p.text(), png: png})
	}
	return list, nil
}

func render(p *plot.Plot) ([]byte, error) {
	c := vgimg.NewWith(vgimg.UseWH(width, height), vgimg.UseDPI(dpi))
	p.Draw(draw.Crop(draw.New(c), 2*vg.Millimeter, -5*vg.Millimeter, 2*vg.Millimeter, -2*vg.Millimeter))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// chart is a plot with the ranges of its series in words.
type chart struct {
	*plot.Plot
	about []string
}

// text describes the axes and the series.
func (c *chart) text() string {
	axes := "vertical axis: " + c.Y.Label.Text
	if c.X.Label.Text != "" {
		axes = "horizontal axis: " + c.X.Label.Text + "; " + axes
	}
	return c.Title.Text + ". " + axes + ". " + strings.Join(c.about, "; ") + "."
}

func newPlot(title, x, y string) *chart {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	for _, f := range []*font.Font{
		&p.Title.TextStyle.Font, &p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font, &p.X.Tick.Label.Font,
		&p.Y.Tick.Label.Font, &p.Legend.TextStyle.Font,
	} {
		f.Variant, f.Size = "Sans", 9
	}
	p.Title.TextStyle.Font.Size = 11
	p.Title.Padding = 2 * vg.Millimeter
	p.Legend.Top, p.Legend.Left, p.Legend.XOffs, p.Legend.Padding = true, true, 2*vg.Millimeter, vg.Millimeter
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.TickerFunc(ticks), plot.TickerFunc(ticks)
	return &chart{Plot: p}
}

// addGrid draws a line at each label of the vertical axis, below what is added later.
func (c *chart) addGrid() {
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	c.Add(grid)
}

// logTicks labels 1, 2 and 5 times each power of ten, since decades alone leave most latency plots with one label.
func logTicks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for unit := math.Pow(10, math.Floor(math.Log10(low))); unit <= high; unit *= 10 {
		for f := 1.0; f < 10; f++ {
			v := f * unit
			if v < low || v > high {
				continue
			}
			t := plot.Tick{Value: v}
			if f == 1 || f == 2 || f == 5 {
				t.Label = fmt.Sprintf("%.6g", v)
			}
			list = append(list, t)
		}
	}
	return list
}

// wholeTicks labels whole numbers only, as ticks does otherwise.
func wholeTicks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for _, t := range ticks(low, high) {
		if t.Value == math.Trunc(t.Value) {
			list = append(list, t)
		}
	}
	return list
}

// ticks labels about six multiples of 1, 2 or 5 times a power of ten, since the default labels too few short axes.
func ticks(low, high float64) []plot.Tick {
	const wanted = 6
	if !(high > low) {
		return nil
	}
	unit := math.Pow(10, math.Floor(math.Log10((high-low)/wanted)))
	step := 10 * unit
	for _, f := range []float64{1, 2, 5} {
		if (high-low)/(f*unit) <= wanted+1 {
			step = f * unit
			break
		}
	}
	var list []plot.Tick
	for n := math.Ceil(low / step); n*step <= high; n++ {
		list = append(list, plot.Tick{Value: n * step, Label: fmt.Sprintf("%.6g", n*step)})
	}
	return list
}

// headroom leaves space for the legend above the highest value.
const headroom = 1.35

// timeline adds up the timelines of all services of a stage.
func timeline(s exper.StageResult) []load.Bucket {
	var sum []load.Bucket
	for _, l := range s.Loads {
		for i, b := range l.Summary.Timeline {
			if i == len(sum) {
				sum = append(sum, load.Bucket{})
			}
			t := &sum[i]
			t.Done, t.NotRun, t.Failed, t.Unknown = t.Done+b.Done, t.NotRun+b.NotRun, t.Failed+b.Failed, t.Unknown+b.Unknown
			t.Completed, t.Total, t.Slowest = t.Completed+b.Completed, t.Total+b.Total, max(t.Slowest, b.Slowest)
		}
	}
	return sum
}

func seconds(bucket int) float64 { return (time.Duration(bucket) * load.BucketWidth).Seconds() }

// middle is where a bucket is drawn. At its start, what follows a fault would seem to precede it.
func middle(bucket int) float64 { return seconds(bucket) + load.BucketWidth.Seconds()/2 }

// of names the services whose loads a plot adds up.
func of(s exper.StageResult) string {
	if len(s.Loads) == 1 {
		return ", " + s.Loads[0].Service
	}
	return fmt.Sprintf(", %d services together", len(s.Loads))
}

func latency(s exper.StageResult) (*chart, string, error) {
	const name = "latency"
	var mean, slowest plotter.XYs
	low, high := math.Inf(1), 0.0
	for i, b := range timeline(s) {
		if b.Done == 0 {
			continue
		}
		m, w := float64(b.Total)/float64(b.Done)/1000, float64(b.Slowest)/1000
		mean, slowest = append(mean, plotter.XY{X: middle(i), Y: m}), append(slowest, plotter.XY{X: middle(i), Y: w})
		low, high = min(low, m), max(high, w)
	}
	if len(mean) == 0 {
		return nil, name, nil
	}
	p := newPlot("Latency of done requests by time of arrival"+of(s), "time of the load, s", "latency, ms (logarithmic)")
	p.addGrid()
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.TickerFunc(logTicks)
	// On the logarithmic axis the legend needs a multiple of the highest value.
	low = min(low, high/2)
	p.X.Min = 0
	p.Y.Min, p.Y.Max = low, high*math.Pow(high/low, headroom-1)
	if err := addMarks(p, s.Marks, mean[len(mean)-1].X, low, high); err != nil {
		return nil, name, err
	}
	return p, name, addLines(p, series{"slowest in 100 ms", slowest, orange}, series{"mean", mean, blue})
}

// series is one line of a plot.
type series struct {
	name  string
	xys   plotter.XYs
	color color.Color
}

func addLines(p *chart, list ...series) error {
	for _, s := range list {
		p.describe(s)
		l, err := plotter.NewLine(s.xys)
		if err != nil {
			return err
		}
		l.Color, l.Width = s.color, vg.Points(1)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	return nil
}

// describe adds the range of a series to the text.
func (c *chart) describe(s series) {
	if len(s.xys) == 0 {
		return
	}
	low, high, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, v := range s.xys {
		low, high, sum = min(low, v.Y), max(high, v.Y), sum+v.Y
	}
	if low == high {
		c.about = append(c.about, fmt.Sprintf("%s: %.3g", s.name, low))
		return
	}
	c.about = append(c.about, fmt.Sprintf("%s: from %.3g to %.3g, mean %.3g, %d points", s.name, low, high,
		sum/float64(len(s.xys)), len(s.xys)))
}

// markLabels is how many marks get a number; the labels of more would overlap.
const markLabels = 24

// markApart is the share of the width within which marks share a label, which would overlap.
const markApart = 0.02

// addMarks draws a line at the time of each fault and of its end, with its number in the list below the plot.
func addMarks(p *chart, marks []exper.Mark, width, low, high float64) error {
	top := high * math.Pow(high/low, 0.02)
	var numbers plotter.XYLabels
	for i, m := range marks {
		p.about = append(p.about, fmt.Sprintf("%d: %s at %.3g s", i+1, m.Text, m.At.Seconds()))
		last := len(numbers.XYs) - 1
		switch {
		case len(marks) > markLabels:
		case last >= 0 && math.Abs(m.At.Seconds()-numbers.XYs[last].X) < width*markApart:
			numbers.Labels[last] += "," + fmt.Sprint(i+1)
		default:
			numbers.XYs = append(numbers.XYs, plotter.XY{X: m.At.Seconds(), Y: top})
			numbers.Labels = append(numbers.Labels, fmt.Sprint(i+1))
		}
		x := m.At.Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: low}, {X: x, Y: high}})
		if err != nil {
			return err
		}
		l.Color, l.Width, l.Dashes = red, vg.Points(0.5), []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
		if i == 0 {
			p.Legend.Add("fault or its end, by number in the list", l)
		}
	}
	if len(numbers.XYs) == 0 {
		return nil
	}
	return p.addLabels(numbers)
}

// addLabels writes texts above points.
func (c *chart) addLabels(texts plotter.XYLabels) error {
	l, err := plotter.NewLabels(texts)
	if err != nil {
		return err
	}
	for i := range l.TextStyle {
		l.TextStyle[i].Font.Variant, l.TextStyle[i].Font.Size, l.TextStyle[i].XAlign = "Sans", 9, draw.XCenter
	}
	c.Add(l)
	return nil
}

// peak shows the rate of done and shed requests beside the capacity of the slots.
func peak(s exper.StageResult) (*chart, string, error) {
	const name = "peak"
	limit, ok := s.Measures[exper.SlotCapacity]
	if !ok {
		return nil, name, nil
	}
	var done, notRun plotter.XYs
	per := 1 / load.BucketWidth.Seconds()
	buckets := timeline(s)
	for i, b := range buckets {
		done = append(done, plotter.XY{X: middle(i), Y: float64(b.Completed) * per})
		notRun = append(notRun, plotter.XY{X: middle(i), Y: float64(b.NotRun) * per})
	}
	p := newPlot("Goodput at the step of the load"+of(s), "time of the load, s", "requests per second")
	p.addGrid()
	p.Y.Min = 0
	end := seconds(len(buckets))
	err := addLines(p, series{"capacity of the slots", plotter.XYs{{X: 0, Y: limit}, {X: end, Y: limit}}, grey},
		series{"done, by time of completion", done, blue}, series{"not run, by time of arrival", notRun, orange})
	p.Y.Max *= headroom
	return p, name, err
}

// bars draws named values.
func bars(p *chart, names []string, values plotter.Values) error {
	b, err := plotter.NewBarChart(values, 1.2*vg.Centimeter)
	if err != nil {
		return err
	}
	b.Color, b.LineStyle.Width = blue, 0
	p.Add(b)
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.6, float64(len(names))-0.4
	p.Y.Min = 0
	p.Y.Max *= 1.15
	for i, v := range values {
		p.about = append(p.about, fmt.Sprintf("%s: %.3g", names[i], v))
	}
	var xys plotter.XYs
	var labels []string
	for i, v := range values {
		xys = append(xys, plotter.XY{X: float64(i), Y: v + p.Y.Max/60})
		labels = append(labels, fmt.Sprintf("%.3g", v))
	}
	return p.addLabels(plotter.XYLabels{XYs: xys, Labels: labels})
}

func shares(s exper.StageResult) (*chart, string, error) {
	const name = "replicas"
	oracle, ok := s.Measures[exper.OracleShare]
	// A stage with a peak or with trials shows nothing about the choice of a server.
	if _, peak := s.Measures[exper.SlotCapacity]; !ok || peak || len(s.Trials) > 0 {
		return nil, name, nil
	}
	p := newPlot("Share of reads served by replicas"+of(s), "", "share of reads; ratio of shares")
	return p, name, bars(p, []string{"verbenagate", "oracle", "ratio of verbenagate to oracle"},
		plotter.Values{s.Measures[exper.ReplicaShare], oracle, s.Measures[exper.ShareOfOracle]})
}

func gaps(s exper.StageResult) (*chart, string, error) {
	const name = "failover"
	if len(s.Trials) == 0 {
		return nil, name, nil
	}
	var crash, freeze, promoted plotter.XYs
	for i, t := range s.Trials {
		xy := plotter.XY{X: float64(i + 1), Y: t.Gap.Seconds()}
		switch {
		case t.Do == exper.ActCrash:
			crash = append(crash, xy)
		case t.Promoted:
			promoted = append(promoted, xy)
		default:
			freeze = append(freeze, xy)
		}
	}
	p := newPlot("Time to the first acknowledged write after the fault"+of(s), "number of the trial", "time, s")
	p.addGrid()
	p.X.Tick.Marker = plot.TickerFunc(wholeTicks)
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, float64(len(s.Trials)+1)
	for _, v := range s.Bounds {
		if v.Measure == exper.FailoverMax && v.Max != nil {
			if err := addLines(p, series{"bound", plotter.XYs{{X: 0, Y: *v.Max}, {X: p.X.Max, Y: *v.Max}}, grey}); err != nil {
				return nil, name, err
			}
		}
	}
	for _, g := range []series{
		{"crash", crash, blue}, {"freeze without promotion", freeze, orange}, {"freeze with promotion", promoted, red},
	} {
		if len(g.xys) == 0 {
			continue
		}
		p.describe(g)
		sc, err := plotter.NewScatter(g.xys)
		if err != nil {
			return nil, name, err
		}
		sc.Color, sc.Radius, sc.Shape = g.color, vg.Points(2.5), draw.CircleGlyph{}
		p.Add(sc)
		p.Legend.Add(g.name, sc)
	}
	p.Y.Max *= headroom
	return p, name, nil
}

func headOfLine(s exper.StageResult) (*chart, string, error) {
	const name = "stragglers"
	busy, ok := s.Measures[exper.ShortStraggler]
	if !ok {
		return nil, name, nil
	}
	names := []string{"quiet", "with stragglers"}
	values := plotter.Values{s.Measures[exper.ShortQuiet], busy}
	if q, ok := s.Measures[exper.FirstComeQuiet]; ok {
		names = append(names, "first-come: quiet", "first-come: with stragglers")
		values = append(values, q, s.Measures[exper.FirstComeBusy])
	}
	title := fmt.Sprintf("p99 of short work; ratio %.2f", s.Measures[exper.HeadOfLine])
	if r, ok := s.Measures[exper.FirstComeRatio]; ok {
		title += fmt.Sprintf(", with one first-come queue %.2f", r)
	}
	p := newPlot(title, "", "p99 latency, ms")
	return p, name, bars(p, names, values)
}

// Package report shows the results of experiments on one HTML page and compares the results of two versions.
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

// Figure is one plot as a PNG image, which includes the rendered text, so that the page needs no font assets.
type Figure struct {
	name  string
	title string
	text  string
	png   []byte
}

// Name returns the stage and the plot in a form for file names, such as "STAGE-latency".
func (f Figure) Name() string { return f.name }

// Title returns the title of the plot.
func (f Figure) Title() string { return f.title }

// Text describes the plot in words, as a text alternative to the image.
func (f Figure) Text() string { return f.text }

// PNG returns the image.
func (f Figure) PNG() []byte { return f.png }

const (
	width, height = 17 * vg.Centimeter, 7 * vg.Centimeter
	// dpi is twice the usual screen resolution, so that enlarged plots stay sharp.
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
	for _, plotStage := range []func(exper.StageResult) (*chart, string, error){
		latencyPlot, goodputPlot, replicaSharePlot, failoverPlot, stragglerPlot,
	} {
		p, name, err := plotStage(s)
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

// chart is a plot with descriptions of its series and marks in words.
type chart struct {
	*plot.Plot
	descriptions []string
}

// text describes the axes, the series and the marks in words.
func (c *chart) text() string {
	axes := "vertical axis: " + c.Y.Label.Text
	if c.X.Label.Text != "" {
		axes = "horizontal axis: " + c.X.Label.Text + "; " + axes
	}
	return c.Title.Text + ". " + axes + ". " + strings.Join(c.descriptions, "; ") + "."
}

func newChart(title, x, y string) *chart {
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

// addGrid adds a horizontal line at each label of the vertical axis. What is added later is drawn over it.
func (c *chart) addGrid() {
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	c.Add(grid)
}

// logTicks labels 1, 2 and 5 times each power of ten, since with powers of ten alone most latency plots have one label.
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

// integerTicks returns those ticks that are whole numbers.
func integerTicks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for _, t := range ticks(low, high) {
		if t.Value == math.Trunc(t.Value) {
			list = append(list, t)
		}
	}
	return list
}

// ticks labels about six multiples of 1, 2 or 5 times a power of ten, since the default puts too few labels on short
// axes.
func ticks(low, high float64) []plot.Tick {
	const wantedLabels = 6
	if !(high > low) {
		return nil
	}
	unit := math.Pow(10, math.Floor(math.Log10((high-low)/wantedLabels)))
	step := 10 * unit
	for _, f := range []float64{1, 2, 5} {
		if (high-low)/(f*unit) <= wantedLabels+1 {
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

// legendHeadroom is the factor by which an axis exceeds the highest value, to leave space for the legend.
const legendHeadroom = 1.35

// sumTimelines adds up the timelines of all services of a stage.
func sumTimelines(s exper.StageResult) []load.Bucket {
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

// bucketStart is the start of a bucket in seconds.
func bucketStart(bucket int) float64 { return (time.Duration(bucket) * load.BucketWidth).Seconds() }

// bucketMiddle is the time in seconds at which a bucket is drawn. If it were drawn at its start, the effects of a fault
// would appear before the fault.
func bucketMiddle(bucket int) float64 { return bucketStart(bucket) + load.BucketWidth.Seconds()/2 }

// ofServices is the part of a title that names the service, or the number of services, whose loads a plot adds up.
func ofServices(s exper.StageResult) string {
	if len(s.Loads) == 1 {
		return ", " + s.Loads[0].Service
	}
	return fmt.Sprintf(", %d services together", len(s.Loads))
}

func latencyPlot(s exper.StageResult) (*chart, string, error) {
	const name = "latency"
	var mean, slowest plotter.XYs
	low, high := math.Inf(1), 0.0
	for i, b := range sumTimelines(s) {
		if b.Done == 0 {
			continue
		}
		m, w := float64(b.Total)/float64(b.Done)/1000, float64(b.Slowest)/1000
		mean, slowest = append(mean, plotter.XY{X: bucketMiddle(i), Y: m}), append(slowest, plotter.XY{X: bucketMiddle(i), Y: w})
		low, high = min(low, m), max(high, w)
	}
	if len(mean) == 0 {
		return nil, name, nil
	}
	p := newChart("Latency of done requests by time of arrival"+ofServices(s), "time of the load, s", "latency, ms (logarithmic)")
	p.addGrid()
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.TickerFunc(logTicks)
	// On the logarithmic axis the headroom is a share of the range, which is therefore at least a factor of 2.
	low = min(low, high/2)
	p.X.Min = 0
	p.Y.Min, p.Y.Max = low, high*math.Pow(high/low, legendHeadroom-1)
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
		p.describeSeries(s)
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

// describeSeries adds the range and the mean of a series to the descriptions.
func (c *chart) describeSeries(s series) {
	if len(s.xys) == 0 {
		return
	}
	low, high, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, v := range s.xys {
		low, high, sum = min(low, v.Y), max(high, v.Y), sum+v.Y
	}
	if low == high {
		c.descriptions = append(c.descriptions, fmt.Sprintf("%s: %.3g", s.name, low))
		return
	}
	c.descriptions = append(c.descriptions, fmt.Sprintf("%s: from %.3g to %.3g, mean %.3g, %d points", s.name, low, high,
		sum/float64(len(s.xys)), len(s.xys)))
}

// maxNumberedMarks is the number of marks above which none is labelled with its number, since the labels would overlap.
const maxNumberedMarks = 24

// minMarkDistance is the distance, as a share of the length of the axis, below which two marks share a label, since two would overlap.
const minMarkDistance = 0.02

// addMarks draws a line at the time of each fault and of its end, labelled with its number in the list below the plot.
func addMarks(p *chart, marks []exper.Mark, end, low, high float64) error {
	top := high * math.Pow(high/low, 0.02)
	var numbers plotter.XYLabels
	for i, m := range marks {
		p.descriptions = append(p.descriptions, fmt.Sprintf("%d: %s at %.3g s", i+1, m.Text, m.At.Seconds()))
		last := len(numbers.XYs) - 1
		switch {
		case len(marks) > maxNumberedMarks:
		case last >= 0 && math.Abs(m.At.Seconds()-numbers.XYs[last].X) < end*minMarkDistance:
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

// goodputPlot plots the rates of done and shed requests and the capacity of the slots.
func goodputPlot(s exper.StageResult) (*chart, string, error) {
	const name = "peak"
	limit, ok := s.Measures[exper.SlotCapacity]
	if !ok {
		return nil, name, nil
	}
	var done, notRun plotter.XYs
	per := 1 / load.BucketWidth.Seconds()
	buckets := sumTimelines(s)
	for i, b := range buckets {
		done = append(done, plotter.XY{X: bucketMiddle(i), Y: float64(b.Completed) * per})
		notRun = append(notRun, plotter.XY{X: bucketMiddle(i), Y: float64(b.NotRun) * per})
	}
	p := newChart("Goodput at the step of the load"+ofServices(s), "time of the load, s", "requests per second")
	p.addGrid()
	p.Y.Min = 0
	end := bucketStart(len(buckets))
	err := addLines(p, series{"capacity of the slots", plotter.XYs{{X: 0, Y: limit}, {X: end, Y: limit}}, grey},
		series{"done, by time of completion", done, blue}, series{"not run, by time of arrival", notRun, orange})
	p.Y.Max *= legendHeadroom
	return p, name, err
}

// addBars draws a bar with a label for each value.
func addBars(p *chart, names []string, values plotter.Values) error {
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
		p.descriptions = append(p.descriptions, fmt.Sprintf("%s: %.3g", names[i], v))
	}
	var xys plotter.XYs
	var labels []string
	for i, v := range values {
		xys = append(xys, plotter.XY{X: float64(i), Y: v + p.Y.Max/60})
		labels = append(labels, fmt.Sprintf("%.3g", v))
	}
	return p.addLabels(plotter.XYLabels{XYs: xys, Labels: labels})
}

func replicaSharePlot(s exper.StageResult) (*chart, string, error) {
	const name = "replicas"
	oracle, ok := s.Measures[exper.OracleShare]
	// A stage with a load peak or with failover trials says nothing about how servers are chosen for reads.
	if _, peak := s.Measures[exper.SlotCapacity]; !ok || peak || len(s.Trials) > 0 {
		return nil, name, nil
	}
	p := newChart("Share of reads served by replicas"+ofServices(s), "", "share of reads; ratio of shares")
	return p, name, addBars(p, []string{"verbenagate", "oracle", "ratio of verbenagate to oracle"},
		plotter.Values{s.Measures[exper.ReplicaShare], oracle, s.Measures[exper.ShareOfOracle]})
}

func failoverPlot(s exper.StageResult) (*chart, string, error) {
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
	p := newChart("Time to the first acknowledged write after the fault"+ofServices(s), "number of the trial", "time, s")
	p.addGrid()
	p.X.Tick.Marker = plot.TickerFunc(integerTicks)
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
		p.describeSeries(g)
		sc, err := plotter.NewScatter(g.xys)
		if err != nil {
			return nil, name, err
		}
		sc.Color, sc.Radius, sc.Shape = g.color, vg.Points(2.5), draw.CircleGlyph{}
		p.Add(sc)
		p.Legend.Add(g.name, sc)
	}
	p.Y.Max *= legendHeadroom
	return p, name, nil
}

func stragglerPlot(s exper.StageResult) (*chart, string, error) {
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
	p := newChart(title, "", "p99 latency, ms")
	return p, name, addBars(p, names, values)
}

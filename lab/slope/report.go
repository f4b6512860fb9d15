package slope

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Report is the result of one measurement. Its fields are exported for the JSON encoding.
type Report struct {
	Name    string `json:"name"`
	X       string `json:"x"`
	Help    string `json:"help"`
	Command string `json:"command"`
	Machine string `json:"machine"`
	Rows    []Row  `json:"rows"`
	Lines   []Line `json:"lines"`
}

// Row holds the values at one size, and the load average of the machine after they were measured.
type Row struct {
	Size   int     `json:"size"`
	Load   float64 `json:"load_average"`
	Values []Value `json:"values"`
}

// Line is the least-squares line through the values of one quantity, with the size as x.
type Line struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the differences between the values and the line. Share is Residual divided by
	// the mean of the absolute values.
	Residual float64 `json:"residual"`
	Share    float64 `json:"residual_share"`
}

// At returns the value of the line at size x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line through the points. If all xs are equal, its slope is 0.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	if n == 0 {
		return Line{}
	}
	var sx, sy, sxx, sxy, size float64
	for i, x := range xs {
		sx, sy, size = sx+x, sy+ys[i], size+math.Abs(ys[i])
	}
	for i, x := range xs {
		sxx += (x - sx/n) * (x - sx/n)
		sxy += (x - sx/n) * (ys[i] - sy/n)
	}
	var l Line
	if sxx > 0 {
		l.Slope = sxy / sxx
	}
	l.Intercept = sy/n - l.Slope*sx/n
	for i, x := range xs {
		d := ys[i] - l.At(x)
		l.Residual += d * d
	}
	l.Residual = math.Sqrt(l.Residual / n)
	if size > 0 {
		l.Share = l.Residual / (size / n)
	}
	return l
}

// fit sets Lines to one line for each quantity of the first row.
func (r *Report) fit() {
	r.Lines = nil
	if len(r.Rows) == 0 {
		return
	}
	for i, v := range r.Rows[0].Values {
		var xs, ys []float64
		for _, row := range r.Rows {
			xs, ys = append(xs, float64(row.Size)), append(ys, row.Values[i].Value)
		}
		l := Fit(xs, ys)
		l.Name, l.Unit = v.Name, v.Unit
		r.Lines = append(r.Lines, l)
	}
}

// JSON returns the report as one line of JSON.
func (r Report) JSON() ([]byte, error) { return json.Marshal(r) }

// write prints a table with one row per quantity: its value at each size and its fitted line.
func (r Report) write(out io.Writer) error {
	fmt.Fprintf(out, "%s: %s\n%s\n%s\n", r.Name, r.Help, r.Command, r.Machine)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := []string{r.X, "unit"}
	load := []string{"load average", ""}
	for _, row := range r.Rows {
		head = append(head, strconv.Itoa(row.Size))
		load = append(load, number(row.Load))
	}
	fmt.Fprintln(w, strings.Join(append(head, "slope", "at 0", "residual", ""), "\t"))
	for i, l := range r.Lines {
		cells := []string{l.Name, l.Unit}
		for _, row := range r.Rows {
			cells = append(cells, number(row.Values[i].Value))
		}
		cells = append(cells, number(l.Slope), number(l.Intercept), fmt.Sprintf("%.1f%%", 100*l.Share), "")
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	fmt.Fprintln(w, strings.Join(append(load, "", "", "", ""), "\t"))
	return w.Flush()
}

// number formats v with four significant digits.
func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

package report

import (
	_ "embed" // holds the template of the page
	"encoding/base64"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"verbenagate/lab/exper"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"image": func(f Figure) template.URL {
		return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(f.png))
	},
	"next":   func(i int) int { return i + 1 },
	"number": func(v float64) string { return fmt.Sprintf("%.4g", v) },
	"short":  func(d time.Duration) string { return d.Round(100 * time.Millisecond).String() },
	"ms":     func(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) },
}).Parse(pageText))

// view is what the template shows.
type view struct {
	Runs []runView
	// Changes is filled when there are two results, Judged when there are two sets of them.
	Changes []change
	Judged  []Judgement
	Audits  []string
	Rule    string
}

type runView struct {
	exper.Result
	// Set is before or after in a comparison; ID is the anchor of the run.
	Set, ID  string
	Settings string
	Failures []string
	Stages   []stageView
}

type stageView struct {
	exper.StageResult
	About   string
	Figures []Figure
	Rows    []measureRow
}

type measureRow struct {
	Name  string
	Value float64
}

// change is one measure of two results.
type change struct {
	Stage, Measure   string
	Before, After    float64
	Percent, Verdict string
}

// Write writes one page about results. With two results, it has a table of both.
func Write(w io.Writer, results []exper.Result) error {
	var v view
	if err := v.add(results, ""); err != nil {
		return err
	}
	if len(results) == 2 {
		v.Changes = changes(results[0], results[1])
	}
	return page.Execute(w, v)
}

// WriteComparison writes one page about two sets of results, with a table of the judgements.
func WriteComparison(w io.Writer, c Comparison, before, after []exper.Result) error {
	v := view{Judged: c.Judgements(), Audits: c.Audits(), Rule: Rule}
	if err := v.add(before, "before"); err != nil {
		return err
	}
	if err := v.add(after, "after"); err != nil {
		return err
	}
	return page.Execute(w, v)
}

func (v *view) add(results []exper.Result, set string) error {
	for _, r := range results {
		rv, err := newRunView(r)
		if err != nil {
			return err
		}
		rv.Set, rv.ID = set, fmt.Sprintf("run%d", len(v.Runs)+1)
		v.Runs = append(v.Runs, rv)
	}
	return nil
}

func newRunView(r exper.Result) (runView, error) {
	settings, err := json.MarshalIndent(r.Experiment, "", "  ")
	if err != nil {
		return runView{}, fmt.Errorf("encode the settings of %s: %w", r.Name, err)
	}
	rv := runView{Result: r, Settings: string(settings), Failures: r.Failures()}
	for i, s := range r.Stages {
		figures, err := Figures(s)
		if err != nil {
			return rv, err
		}
		sv := stageView{StageResult: s, Figures: figures, Rows: rows(s)}
		if i < len(r.Experiment.Stages) {
			sv.About = r.Experiment.Stages[i].About
		}
		rv.Stages = append(rv.Stages, sv)
	}
	return rv, nil
}

func rows(s exper.StageResult) []measureRow {
	var list []measureRow
	for _, name := range exper.MeasureNames() {
		if v, ok := s.Measures[name]; ok {
			list = append(list, measureRow{name, v})
		}
	}
	return list
}

// changes lists the measures that both results have.
func changes(before, after exper.Result) []change {
	var list []change
	for _, b := range before.Stages {
		i := slices.IndexFunc(after.Stages, func(s exper.StageResult) bool { return s.Name == b.Name })
		if i < 0 {
			continue
		}
		a := after.Stages[i]
		for _, row := range rows(b) {
			v, ok := a.Measures[row.Name]
			if !ok {
				continue
			}
			c := change{Stage: b.Name, Measure: row.Name, Before: row.Value, After: v, Percent: "–"}
			if row.Value != 0 {
				c.Percent = fmt.Sprintf("%+.1f%%", 100*(v-row.Value)/row.Value)
			}
			for _, verdict := range a.Bounds {
				if verdict.Measure == row.Name {
					c.Verdict = "met"
					if !verdict.OK {
						c.Verdict = "missed"
					}
				}
			}
			list = append(list, c)
		}
	}
	return list
}

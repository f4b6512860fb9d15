package report

import (
	_ "embed" // for the template of the page
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

// pageView is the data of the template page.html, which names its fields.
type pageView struct {
	Runs []runView
	// Changes is filled for two results; Compared, Audits and Rule are filled for a comparison of two sets of results.
	Changes  []measureChange
	Compared []MeasureComparison
	Audits   []string
	Rule     string
}

type runView struct {
	exper.Result
	// Side is "before" or "after" in a comparison and otherwise empty. ID is the HTML anchor of the run.
	Side, ID string
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

// measureChange is the change of one measure between two results.
type measureChange struct {
	Stage, Measure   string
	Before, After    float64
	Percent, Verdict string
}

// Write writes an HTML page about results. For exactly two results, the page has a table of their differences.
func Write(w io.Writer, results []exper.Result) error {
	var v pageView
	if err := v.addRuns(results, ""); err != nil {
		return err
	}
	if len(results) == 2 {
		v.Changes = measureChanges(results[0], results[1])
	}
	return page.Execute(w, v)
}

// WriteComparison writes an HTML page about two sets of results, with a table of the compared measures.
func WriteComparison(w io.Writer, c Comparison, before, after []exper.Result) error {
	v := pageView{Compared: c.Judgements(), Audits: c.Audits(), Rule: Rule}
	if err := v.addRuns(before, "before"); err != nil {
		return err
	}
	if err := v.addRuns(after, "after"); err != nil {
		return err
	}
	return page.Execute(w, v)
}

func (v *pageView) addRuns(results []exper.Result, set string) error {
	for _, r := range results {
		rv, err := newRunView(r)
		if err != nil {
			return err
		}
		rv.Side, rv.ID = set, fmt.Sprintf("run%d", len(v.Runs)+1)
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
		sv := stageView{StageResult: s, Figures: figures, Rows: measureRows(s)}
		if i < len(r.Experiment.Stages) {
			sv.About = r.Experiment.Stages[i].About
		}
		rv.Stages = append(rv.Stages, sv)
	}
	return rv, nil
}

func measureRows(s exper.StageResult) []measureRow {
	var list []measureRow
	for _, name := range exper.MeasureNames() {
		if v, ok := s.Measures[name]; ok {
			list = append(list, measureRow{name, v})
		}
	}
	return list
}

// measureChanges returns the changes of the measures that both results have.
func measureChanges(before, after exper.Result) []measureChange {
	var list []measureChange
	for _, b := range before.Stages {
		i := slices.IndexFunc(after.Stages, func(s exper.StageResult) bool { return s.Name == b.Name })
		if i < 0 {
			continue
		}
		a := after.Stages[i]
		for _, row := range measureRows(b) {
			v, ok := a.Measures[row.Name]
			if !ok {
				continue
			}
			c := measureChange{Stage: b.Name, Measure: row.Name, Before: row.Value, After: v, Percent: "–"}
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

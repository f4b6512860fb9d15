// Package pages generates the reference pages in docs from the code.
package pages

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/io/config"
	"verbenagate/io/metric"
	"verbenagate/io/opcli"
)

//go:generate go run ../../_scripts/docs.go ../../docs

// Page is one generated page.
type Page struct {
	name string
	text string
}

// Name returns the name of the file in docs.
func (p Page) Name() string { return p.name }

// Text returns the content of the file.
func (p Page) Text() string { return p.text }

// All returns the generated pages.
func All() ([]Page, error) {
	cli, err := commandsPage()
	if err != nil {
		return nil, err
	}
	return []Page{
		{"codes.md", resultCodesPage()},
		{"events.md", eventsPage()},
		{"settings.md", settingsPage()},
		{"metrics.md", metricsPage()},
		{"cli.md", cli},
		{"exit-codes.md", exitCodesPage()},
	}, nil
}

// Write generates all pages and writes them to the directory dir.
func Write(dir string) error {
	all, err := All()
	if err != nil {
		return err
	}
	for _, p := range all {
		if err := os.WriteFile(filepath.Join(dir, p.name), []byte(p.text), 0o644); err != nil {
			return fmt.Errorf("write page %s: %w", p.name, err)
		}
	}
	return nil
}

// Stale returns the names of the generated pages that are missing in dir or differ from their current text.
func Stale(dir string) ([]string, error) {
	all, err := All()
	if err != nil {
		return nil, err
	}
	var stale []string
	for _, p := range all {
		data, err := os.ReadFile(filepath.Join(dir, p.name))
		if err != nil || string(data) != p.text {
			stale = append(stale, p.name)
		}
	}
	return stale, nil
}

// newPage returns the beginning of a page, with the note that the page is generated.
func newPage(title, intro string) *strings.Builder {
	b := new(strings.Builder)
	fmt.Fprintf(b, "<!-- Generated from the code by go generate ./io/pages. Do not edit. -->\n\n# %s\n\n%s\n", title, intro)
	return b
}

// writeTable appends a Markdown table to b. header is the column titles, separated by "|". Cells may contain any text.
func writeTable(b *strings.Builder, header string, rows [][]string) {
	cols := strings.Split(header, "|")
	fmt.Fprintf(b, "\n| %s |\n|%s\n", strings.Join(cols, " | "), strings.Repeat("---|", len(cols)))
	for _, row := range rows {
		for i := range row {
			row[i] = strings.ReplaceAll(row[i], "|", `\|`)
		}
		fmt.Fprintf(b, "| %s |\n", strings.Join(row, " | "))
	}
}

func codeSpan(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}

func resultCodesPage() string {
	b := newPage("Result codes", "Each answer to a caller or operator has a numbered result code. The outcome says what is "+
		"known about the\neffect of the request: done, failed (it ran and was refused), not run (it had no effect and may be "+
		"repeated) or unknown.\nNumbers are never reused.")
	var rows [][]string
	for _, i := range result.All() {
		rows = append(rows, []string{
			strconv.Itoa(int(i.Code())), codeSpan(i.Name()), i.Outcome().String(), codeSpan(i.SQLState()), i.Meaning(),
		})
	}
	writeTable(b, "code|name|outcome|SQLSTATE|meaning", rows)
	return b.String()
}

func eventsPage() string {
	b := newPage("Log events", "Each log line has the number of its event and the layer that logged it. A line is written if "+
		"its level is at least\nthat of the layer; `log.level` and `log.layers` in the [settings](settings.md) set the "+
		"levels. Numbers are never reused.")
	var rows [][]string
	for _, i := range event.All() {
		rows = append(rows, []string{
			fmt.Sprint(i.ID()), string(i.Layer()), i.Level().String(), i.Message(), i.Advice(),
		})
	}
	writeTable(b, "event|layer|level|message|what to do", rows)
	return b.String()
}

func settingsPage() string {
	b := newPage("Settings", "`verbenagate serve --config FILE` reads these settings from a YAML file. `verbenagate config "+
		"check FILE` lists every\nproblem in a file. Durations have a unit, such as `100ms` or `5m`. A dot separates the "+
		"levels of keys.")
	var rows [][]string
	for _, s := range config.SettingDocs() {
		rows = append(rows, []string{codeSpan(s.Path()), codeSpan(s.Default()), s.Help()})
	}
	writeTable(b, "key|default|meaning", rows)
	return b.String()
}

func metricsPage() string {
	b := newPage("Metrics", "A VM serves these metrics on `listen.metrics`: `/metrics` in the text format of Prometheus and "+
		"`/metrics.json` in JSON.\nValues are at most a second old. A metric appears with its first use.")
	var rows [][]string
	for _, d := range metric.Catalog().Defs() {
		rows = append(rows, []string{
			codeSpan(metric.Prefix + d.Name()), string(d.Kind()), d.Unit(), strings.Join(d.Labels(), ", "), d.Help(),
		})
	}
	writeTable(b, "name|kind|unit|labels|meaning", rows)
	return b.String()
}

func flagRows(flags []opcli.Flag) (rows [][]string) {
	for _, f := range flags {
		var envs []string
		for _, e := range f.Envs() {
			envs = append(envs, codeSpan(e))
		}
		rows = append(rows, []string{codeSpan(f.Name()), codeSpan(f.Default()), strings.Join(envs, ", "), f.Help()})
	}
	return rows
}

func commandsPage() (string, error) {
	all, common, err := opcli.Commands()
	if err != nil {
		return "", fmt.Errorf("describe the commands: %w", err)
	}
	b := newPage("Commands", "[Exit codes](exit-codes.md) are the same for all commands. With `--output=json` results and "+
		"errors are written in JSON.")
	b.WriteString("\n## Flags of all commands\n")
	writeTable(b, "flag|default|environment|meaning", flagRows(common))
	for _, c := range all {
		fmt.Fprintf(b, "\n## `%s`\n\n%s\n", c.Usage(), c.Help())
		if len(c.Args()) > 0 {
			var rows [][]string
			for _, a := range c.Args() {
				rows = append(rows, []string{codeSpan(a.Name()), a.Help()})
			}
			writeTable(b, "argument|meaning", rows)
		}
		if len(c.Flags()) > 0 {
			writeTable(b, "flag|default|environment|meaning", flagRows(c.Flags()))
		}
	}
	return b.String(), nil
}

func exitCodesPage() string {
	b := newPage("Exit codes", "Exit codes of `verbenagate`. The message on standard error carries the exact "+
		"[result code](codes.md).")
	var rows [][]string
	for _, e := range opcli.Exits() {
		var names []string
		for _, c := range e.Results() {
			names = append(names, codeSpan(c.String()))
		}
		rows = append(rows, []string{fmt.Sprint(e.Code()), e.Meaning(), strings.Join(names, ", ")})
	}
	writeTable(b, "exit code|meaning|result codes", rows)
	return b.String()
}

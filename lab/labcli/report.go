package labcli

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"verbenagate/lab/exper"
	"verbenagate/lab/report"
)

type reportCmd struct {
	Files []string `arg:"" help:"Result files; with two, the page compares them." type:"path"`
	Out   string   `help:"File for the page." default:"report.html" type:"path"`
	Plots string   `help:"Directory to which the plots are also written as PNG files." type:"path"`
}

// Run implements the command.
func (c *reportCmd) Run(r *run) error {
	var results []exper.Result
	for _, f := range c.Files {
		res, err := exper.Read(f)
		if err != nil {
			return usageError{err}
		}
		results = append(results, res)
	}
	var b bytes.Buffer
	if err := report.Write(&b, results); err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, b.Bytes(), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(r.app.out, "report in %s\n", c.Out)
	if c.Plots == "" {
		return nil
	}
	return c.writePlots(results)
}

func (c *reportCmd) writePlots(results []exper.Result) error {
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	for i, res := range results {
		for _, s := range res.Stages {
			figures, err := report.Figures(s)
			if err != nil {
				return err
			}
			for _, f := range figures {
				name := filepath.Join(c.Plots, fmt.Sprintf("%d-%s-%s.png", i+1, res.Name, f.Name()))
				if err := os.WriteFile(name, f.PNG(), 0o644); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

type compareCmd struct {
	Old  string `arg:"" help:"Result file, or directory with result files, of the old version." type:"path"`
	New  string `arg:"" help:"Result file, or directory with result files, of the new version." type:"path"`
	HTML string `name:"html" help:"File for a page with the comparison and all runs." type:"path"`
}

// Help returns the rule by which results are compared.
func (c *compareCmd) Help() string { return report.Rule }

// errRegression is returned after the regressions have been printed.
var errRegression = errors.New("the new results are worse beyond noise")

// Run implements the command.
func (c *compareCmd) Run(r *run) error { return compareResults(r, c.Old, c.New, c.HTML) }

// compareResults compares two sets of results, prints the judgements and, unless page is empty, writes an HTML page to that file.
func compareResults(r *run, oldPath, newPath, page string) error {
	before, err := readResults(oldPath)
	if err != nil {
		return usageError{err}
	}
	after, err := readResults(newPath)
	if err != nil {
		return usageError{err}
	}
	cmp, compareErr := report.Compare(before, after)
	for _, j := range cmp.Judgements() {
		fmt.Fprintln(r.app.out, j)
	}
	for _, a := range cmp.Audits() {
		fmt.Fprintln(r.app.out, "REGRESSION:", a)
	}
	if page != "" {
		var b bytes.Buffer
		if err := report.WriteComparison(&b, cmp, before, after); err != nil {
			return err
		}
		if err := os.WriteFile(page, b.Bytes(), 0o644); err != nil {
			return err
		}
		fmt.Fprintf(r.app.out, "report in %s\n", page)
	}
	if cmp.Regression() {
		return errRegression
	}
	if compareErr != nil {
		return usageError{compareErr}
	}
	return nil
}

// readResults reads a result file, or all result files of a directory.
func readResults(path string) ([]exper.Result, error) {
	files := []string{path}
	if info, err := os.Stat(path); err != nil {
		return nil, err
	} else if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*.json")); err != nil {
			return nil, err
		}
	}
	var list []exper.Result
	for _, f := range files {
		res, err := exper.Read(f)
		if err != nil {
			return nil, err
		}
		list = append(list, res)
	}
	return list, nil
}

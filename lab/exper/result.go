package exper

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"verbenagate/lab/audit"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// Result is the content of a result file. Its fields are exported because they are encoded as JSON.
type Result struct {
	Name       string        `json:"name"`
	Begun      time.Time     `json:"begun"`
	Took       time.Duration `json:"took"`
	Commit     string        `json:"commit"`
	Seed       uint64        `json:"seed"`
	Machine    Machine       `json:"machine"`
	Experiment Experiment    `json:"experiment"`
	Stages     []StageResult `json:"stages"`
}

// Machine describes the machine on which the experiment ran.
type Machine struct {
	OS   string `json:"os"`
	Arch string `json:"arch"`
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	// Load is the load average over one minute at the start of the run. Other work on the machine affects the measures.
	Load string `json:"load_average,omitempty"`
}

// StageResult is the result of one stage.
type StageResult struct {
	Name     string              `json:"name"`
	Took     time.Duration       `json:"took"`
	Measures map[string]float64  `json:"measures"`
	Bounds   []Verdict           `json:"bounds"`
	Audits   []AuditResult       `json:"audits"`
	Marks    []Mark              `json:"marks"`
	Trials   []Trial             `json:"trials"`
	Loads    []LoadResult        `json:"loads"`
	Counts   site.Counts         `json:"counts"`
	Limits   []audit.ServerUsage `json:"limits"`
	// Errors lists faults that could not be injected and other reasons why the stage's result is unreliable.
	Errors []string `json:"errors,omitempty"`
}

// AuditResult is the audit report of one service.
type AuditResult struct {
	Service string `json:"service"`
	audit.Report
}

// LoadResult is the summary of the load on one service.
type LoadResult struct {
	Service string       `json:"service"`
	Summary load.Summary `json:"summary"`
}

// Failures returns a line for each missed bound, each audit finding and each error of a stage.
func (r Result) Failures() []string {
	var list []string
	for _, s := range r.Stages {
		list = append(list, s.AuditFailures()...)
		for _, v := range s.Bounds {
			if !v.OK {
				list = append(list, fmt.Sprintf("stage %s: bound missed: %s", s.Name, v))
			}
		}
	}
	return list
}

// AuditFailures returns a line for each audit finding and each error of the stage, such as a fault that could not be injected.
func (s StageResult) AuditFailures() []string {
	var list []string
	for _, a := range s.Audits {
		for _, f := range a.Findings {
			list = append(list, fmt.Sprintf("stage %s: audit of %s failed: %s: %s", s.Name, a.Service, f.Promise, f.Detail))
		}
	}
	for _, e := range s.Errors {
		list = append(list, fmt.Sprintf("stage %s: %s", s.Name, e))
	}
	return list
}

// Write writes the result to a file.
func (r Result) Write(path string) error {
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	return os.WriteFile(path, append(body, '\n'), 0o644)
}

// Read reads a result file.
func Read(path string) (Result, error) {
	var r Result
	body, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("%s is not a result file: %w", path, err)
	}
	return r, nil
}

func describeMachine() Machine {
	m := Machine{OS: runtime.GOOS, Arch: runtime.GOARCH, CPUs: runtime.NumCPU(), Go: runtime.Version()}
	if body, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.Load, _, _ = strings.Cut(string(body), " ")
	}
	return m
}

// buildCommit returns the revision from which the program was built. Since "go run" leaves the revision out of the build information,
// it falls back to the revision of the repository around the working directory.
func buildCommit() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		rev, dirty := "", ""
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				rev = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				dirty = " with changes"
			}
		}
		if rev != "" {
			return rev + dirty
		}
	}
	dir, err := os.Getwd()
	for err == nil && dir != filepath.Dir(dir) {
		if rev := headRevision(filepath.Join(dir, ".git")); rev != "" {
			return rev + " or with changes"
		}
		dir = filepath.Dir(dir)
	}
	return "unknown"
}

// headRevision returns the current revision of a repository or of a work tree, whose .git is a file. It returns "" on failure.
func headRevision(gitDir string) string {
	if body, err := os.ReadFile(gitDir); err == nil {
		gitDir = strings.TrimSpace(strings.TrimPrefix(string(body), "gitdir: "))
	}
	body, err := os.ReadFile(filepath.Join(gitDir, "HEAD"))
	if err != nil {
		return ""
	}
	ref, symbolic := strings.CutPrefix(strings.TrimSpace(string(body)), "ref: ")
	if !symbolic {
		return ref
	}
	common := gitDir
	if body, err := os.ReadFile(filepath.Join(gitDir, "commondir")); err == nil {
		common = filepath.Join(gitDir, strings.TrimSpace(string(body)))
	}
	body, err = os.ReadFile(filepath.Join(common, ref))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(body))
}

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

// Result is the result file of a run, so its fields are exported.
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

// Machine describes where the run took place.
type Machine struct {
	OS   string `json:"os"`
	Arch string `json:"arch"`
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	// Load is the machine's load average over a minute at the start, as other work changes the measures.
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
	// Errors are faults that could not be carried out and other reasons not to trust the stage.
	Errors []string `json:"errors,omitempty"`
}

// AuditResult is the audit of one service.
type AuditResult struct {
	Service string `json:"service"`
	audit.Report
}

// LoadResult is the load of one service.
type LoadResult struct {
	Service string       `json:"service"`
	Summary load.Summary `json:"summary"`
}

// Failures names each bound missed, each audit that failed and each fault that could not be carried out.
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

// AuditFailures names each audit that failed and each fault that could not be carried out.
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

// Write writes the result file.
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

func machine() Machine {
	m := Machine{OS: runtime.GOOS, Arch: runtime.GOARCH, CPUs: runtime.NumCPU(), Go: runtime.Version()}
	if body, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.Load, _, _ = strings.Cut(string(body), " ")
	}
	return m
}

// commit returns the revision that the program was built from: that of the build information, or that of the
// repository around the working directory, since "go run" leaves the build information out.
func commit() string {
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
		if rev := head(filepath.Join(dir, ".git")); rev != "" {
			return rev + " or with changes"
		}
		dir = filepath.Dir(dir)
	}
	return "unknown"
}

// head reads the current revision of a repository or of a work tree.
func head(git string) string {
	if body, err := os.ReadFile(git); err == nil {
		git = strings.TrimSpace(strings.TrimPrefix(string(body), "gitdir: "))
	}
	body, err := os.ReadFile(filepath.Join(git, "HEAD"))
	if err != nil {
		return ""
	}
	ref, symbolic := strings.CutPrefix(strings.TrimSpace(string(body)), "ref: ")
	if !symbolic {
		return ref
	}
	common := git
	if body, err := os.ReadFile(filepath.Join(git, "commondir")); err == nil {
		common = filepath.Join(git, strings.TrimSpace(string(body)))
	}
	body, err = os.ReadFile(filepath.Join(common, ref))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(body))
}

// Package edge assembles a VM that serves callers of the line protocol. It reads the VM's settings, serves its readiness, metrics
// and state dump, and stops it gracefully.
package edge

import (
	"fmt"
	"net"
	"os"
	"time"

	"verbenagate/core/budget"
	"verbenagate/core/result"
	"verbenagate/io/logs"
	"verbenagate/io/strict"
)

// fileSettings is the content of the settings file.
type fileSettings struct {
	VM         string  `yaml:"vm"`
	DataCentre string  `yaml:"data_centre"`
	Callers    string  `yaml:"callers"`
	Ready      string  `yaml:"ready"`
	Metrics    string  `yaml:"metrics"`
	Peers      string  `yaml:"peers"`
	Store      string  `yaml:"store"`
	Orders     string  `yaml:"orders"`
	GraceS     int     `yaml:"grace_s"`
	VMs        int     `yaml:"vms"`
	Cores      float64 `yaml:"cores"`
	MemoryMB   float64 `yaml:"memory_mb"`
	FDs        int     `yaml:"descriptors"`
	Log        struct {
		Level          string `yaml:"level"`
		LinesPerSecond int    `yaml:"lines_per_second"`
	} `yaml:"log"`
}

// Settings are the validated settings of a VM.
type Settings struct{ k fileSettings }

// Defaults of optional settings, and the smallest permitted grace_s.
const (
	defaultLogLevel          = "info"
	defaultLogLinesPerSecond = 400
	defaultVMs               = 12
	minGraceSeconds          = 2
)

// Parse reads a settings file. The error lists every problem with file, line and key.
func Parse(file string, data []byte) (Settings, error) {
	k := fileSettings{VMs: defaultVMs}
	k.Log.Level, k.Log.LinesPerSecond = defaultLogLevel, defaultLogLinesPerSecond
	doc := strict.Decode(file, data, &k)
	if doc.ParseFailed() {
		return Settings{}, result.New(result.InvalidConfig, "%s", strict.FormatProblems(doc.Problems()))
	}
	for path, value := range map[string]string{"vm": k.VM, "data_centre": k.DataCentre} {
		if value == "" && !doc.HasProblem(path) {
			doc.Add(path, "must not be empty")
		}
	}
	for path, value := range map[string]string{
		"callers": k.Callers, "ready": k.Ready, "metrics": k.Metrics, "store": k.Store, "orders": k.Orders,
	} {
		if _, _, err := net.SplitHostPort(value); err != nil && !doc.HasProblem(path) {
			doc.Add(path, fmt.Sprintf("%q is not an address of the form host:port", value))
		}
	}
	if k.Peers != "" {
		if _, _, err := net.SplitHostPort(k.Peers); err != nil && !doc.HasProblem("peers") {
			doc.Add("peers", fmt.Sprintf("%q is not an address of the form host:port", k.Peers))
		}
	}
	if k.GraceS < minGraceSeconds && !doc.HasProblem("grace_s") {
		doc.Add("grace_s", fmt.Sprintf("must be at least %d s", minGraceSeconds))
	}
	if k.VMs < 1 && !doc.HasProblem("vms") {
		doc.Add("vms", "must be at least 1")
	}
	if k.Cores < 0 && !doc.HasProblem("cores") {
		doc.Add("cores", "must not be negative")
	}
	if k.MemoryMB < 0 && !doc.HasProblem("memory_mb") {
		doc.Add("memory_mb", "must not be negative")
	}
	if k.FDs < 0 && !doc.HasProblem("descriptors") {
		doc.Add("descriptors", "must not be negative")
	}
	if k.Log.LinesPerSecond < 1 && !doc.HasProblem("log.lines_per_second") {
		doc.Add("log.lines_per_second", "must be at least 1")
	}
	if err := logs.CheckSwitch("node", logs.Switch(k.Log.Level)); err != nil && !doc.HasProblem("log.level") {
		doc.Add("log.level", err.Error())
	}
	if problems := doc.Problems(); len(problems) > 0 {
		return Settings{}, result.New(result.InvalidConfig, "%s", strict.FormatProblems(problems))
	}
	return Settings{k: k}, nil
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.Wrap(result.InvalidConfig, err, "reading the settings file")
	}
	return Parse(path, data)
}

// VM returns the name of this VM.
func (s Settings) VM() string { return s.k.VM }

// DataCentre returns the name of this VM's data centre.
func (s Settings) DataCentre() string { return s.k.DataCentre }

// Callers returns the address at which this VM accepts callers.
func (s Settings) Callers() string { return s.k.Callers }

// Ready returns the address of the load balancer's readiness check.
func (s Settings) Ready() string { return s.k.Ready }

// Metrics returns the address of the metrics and of the state dump.
func (s Settings) Metrics() string { return s.k.Metrics }

// Peers returns the address at which this VM accepts calls from other VMs; "" if it accepts none and only makes store calls of
// its own.
func (s Settings) Peers() string { return s.k.Peers }

// Store returns the address of the platform's store.
func (s Settings) Store() string { return s.k.Store }

// Orders returns the address to which promotion orders are sent.
func (s Settings) Orders() string { return s.k.Orders }

// Grace returns how long a graceful shutdown may take.
func (s Settings) Grace() time.Duration { return time.Duration(s.k.GraceS) * time.Second }

// VMs returns the number of VMs that are assumed to share the servers' connections until the list of VMs has been read.
func (s Settings) VMs() int { return s.k.VMs }

// Cores returns the processor cores of this VM, 0 if unknown. Larger VMs do more work for the others.
func (s Settings) Cores() float64 { return s.k.Cores }

// Memory returns the bytes of memory that the process may use, 0 if unknown.
func (s Settings) Memory() int64 { return int64(s.k.MemoryMB * (1 << 20)) }

// Descriptors returns the file descriptors that the process may have open, 0 if unknown.
func (s Settings) Descriptors() int { return s.k.FDs }

// Limits returns the limits that follow from the memory and the descriptors of the VM.
func (s Settings) Limits() budget.Limits { return budget.NewLimits(s.Memory(), s.Descriptors()) }

// LogLevel returns the log level.
func (s Settings) LogLevel() string { return s.k.Log.Level }

// LogLinesPerSecond returns the rate limit of log lines.
func (s Settings) LogLinesPerSecond() int { return s.k.Log.LinesPerSecond }

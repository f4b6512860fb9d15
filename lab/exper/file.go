// Package exper runs experiments. One file describes the deployment, the load, the faults and their times, the audits and the bounds.
package exper

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// Decode decodes a YAML file into out. Unknown keys are errors. A decoding error contains the file name, line and column.
func Decode(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(out); err != nil {
		return fmt.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return nil
}

// Experiment is the content of an experiment file. Its fields are exported because they are decoded from YAML.
type Experiment struct {
	Name  string    `json:"name" yaml:"name"`
	About string    `json:"about,omitempty" yaml:"about,omitempty"`
	Seed  uint64    `json:"seed" yaml:"seed"`
	Site  site.Spec `json:"site" yaml:"site"`
	// Stages run one after the other, each on a new deployment.
	Stages []Stage `json:"stages" yaml:"stages"`
}

// Stage runs one load on one deployment, with faults, audits and bounds.
type Stage struct {
	Name  string `json:"name" yaml:"name"`
	About string `json:"about,omitempty" yaml:"about,omitempty"`
	// Services are the names of the services under load; empty means all.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// ServiceTime, Lag, Timeout and MaxWait replace the values of the site and of its services unless they are 0.
	ServiceTime time.Duration `json:"service_time,omitempty" yaml:"service_time,omitempty"`
	Lag         time.Duration `json:"lag,omitempty" yaml:"lag,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	MaxWait     time.Duration `json:"max_wait,omitempty" yaml:"max_wait,omitempty"`
	Load        load.Profile  `json:"load" yaml:"load"`
	// Phases are periods with separate latency histograms. Measures exist for the phases named quiet, peak and stragglers.
	Phases []load.Phase `json:"phases,omitempty" yaml:"phases,omitempty"`
	Faults []Fault      `json:"faults,omitempty" yaml:"faults,omitempty"`
	Trials []Trials     `json:"trials,omitempty" yaml:"trials,omitempty"`
	// Capacity says whether the capacity of the slots is measured without a proxy before the load.
	Capacity bool `json:"capacity,omitempty" yaml:"capacity,omitempty"`
	// Baseline says whether the reads and stragglers of the load also run through one first-come queue for each replica, without a
	// proxy.
	Baseline bool     `json:"baseline,omitempty" yaml:"baseline,omitempty"`
	Audits   []string `json:"audits" yaml:"audits"`
	Bounds   []Bound  `json:"bounds,omitempty" yaml:"bounds,omitempty"`
}

// Actions of faults, the values of Fault.Do.
const (
	ActCrash         = "crash"
	ActRestart       = "restart"
	ActFreeze        = "freeze"
	ActLag           = "lag"
	ActLeaving       = "leaving"
	ActCut           = "cut-replication"
	ActPlatformDown  = "platform-down"
	ActPlatformDelay = "platform-delay"
	ActPlatformLoss  = "platform-loss"
	ActListLag       = "list-lag"
	ActVMCrash       = "vm-crash"
	ActVMStop        = "vm-stop"
	ActVMReplace     = "vm-replace"
	ActRolling       = "rolling-replacement"
)

// actions lists all actions.
var actions = []string{
	ActCrash, ActRestart, ActFreeze, ActLag, ActLeaving, ActCut, ActPlatformDown, ActPlatformDelay, ActPlatformLoss,
	ActListLag, ActVMCrash, ActVMStop, ActVMReplace, ActRolling,
}

// Targets of faults on servers, the values of Fault.On. ActRestart needs no target: it restarts the server that crashed last.
const (
	OnPrimary = "primary"
	OnReplica = "replica"
)

// Fault is one fault that is injected at a set time of the load.
type Fault struct {
	At time.Duration `json:"at" yaml:"at"`
	Do string        `json:"do" yaml:"do"`
	// Service and On select a server. An empty Service means the first service under load.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	On      string `json:"on,omitempty" yaml:"on,omitempty"`
	// VM is the number of the VM, counted from 1.
	VM int `json:"vm,omitempty" yaml:"vm,omitempty"`
	// For is the duration of the fault; 0 means until the end of the stage.
	For time.Duration `json:"for,omitempty" yaml:"for,omitempty"`
	// Value is the lag or the delay. Probability is the probability that a response of the platform is lost.
	Value       time.Duration `json:"value,omitempty" yaml:"value,omitempty"`
	Probability float64       `json:"probability,omitempty" yaml:"probability,omitempty"`
}

// Trials repeats a fault of the primary of the first service under load. The first trial begins at At, or when the preceding Trials of
// the stage have ended.
type Trials struct {
	At time.Duration `json:"at" yaml:"at"`
	// Do is ActCrash, after which the crashed server is restarted, or ActFreeze, which lasts for the time For.
	Do    string        `json:"do" yaml:"do"`
	Count int           `json:"count" yaml:"count"`
	For   time.Duration `json:"for,omitempty" yaml:"for,omitempty"`
	// Pause is the time between the end of one trial and the start of the next. Each trial also waits for this time after the promotion
	// or the end of the freeze before it measures the gap.
	Pause time.Duration `json:"settle" yaml:"settle"`
}

// Bound is a limit on one measure. Exactly one of Max and Min is set.
type Bound struct {
	Measure string   `json:"measure" yaml:"measure"`
	Max     *float64 `json:"max,omitempty" yaml:"max,omitempty"`
	Min     *float64 `json:"min,omitempty" yaml:"min,omitempty"`
	// From names the requirement from which the bound is derived.
	From string `json:"from,omitempty" yaml:"from,omitempty"`
}

// Load reads and validates an experiment file.
func Load(path string) (Experiment, error) {
	var e Experiment
	if err := Decode(path, &e); err != nil {
		return e, err
	}
	if err := e.check(); err != nil {
		return e, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

func (e Experiment) check() error {
	if e.Name == "" || len(e.Stages) == 0 || e.Site.VMs <= 0 || len(e.Site.DataCentres) == 0 || len(e.Site.Services) == 0 {
		return fmt.Errorf("an experiment needs a name, stages, and a site with VMs, data centres and services")
	}
	seen := map[string]bool{}
	for _, s := range e.Stages {
		if seen[s.Name] {
			return fmt.Errorf("two stages have the name %q", s.Name)
		}
		seen[s.Name] = true
		if err := s.check(e.Site); err != nil {
			return fmt.Errorf("stage %q: %w", s.Name, err)
		}
	}
	return nil
}

func (s Stage) check(spec site.Spec) error {
	if s.Load.Duration <= 0 || s.Load.Callers <= 0 || s.Load.Rate <= 0 {
		return fmt.Errorf("the load needs a duration, a rate and callers")
	}
	if len(s.Audits) == 0 {
		return fmt.Errorf("a stage needs audits")
	}
	for _, name := range s.Services {
		if !slices.ContainsFunc(spec.Services, func(v site.ServiceSpec) bool { return v.Name == name }) {
			return fmt.Errorf("service %q does not exist", name)
		}
	}
	for _, a := range s.Audits {
		if !slices.Contains(auditNames, a) {
			return fmt.Errorf("audit %q does not exist; the audits are %q", a, auditNames)
		}
	}
	for _, f := range s.Faults {
		if err := f.check(spec); err != nil {
			return err
		}
	}
	for _, t := range s.Trials {
		if t.Do != ActCrash && t.Do != ActFreeze || t.Count <= 0 || t.Do == ActFreeze && t.For <= 0 {
			return fmt.Errorf("trials need the action crash or freeze, a positive count, and for a freeze a positive duration")
		}
	}
	for _, b := range s.Bounds {
		if !slices.Contains(measureNames, b.Measure) {
			return fmt.Errorf("measure %q does not exist; the measures are %q", b.Measure, measureNames)
		}
		if (b.Max == nil) == (b.Min == nil) {
			return fmt.Errorf("the bound of %q needs either a maximum or a minimum", b.Measure)
		}
	}
	return nil
}

func (f Fault) check(spec site.Spec) error {
	if !slices.Contains(actions, f.Do) {
		return fmt.Errorf("fault %q does not exist; the faults are %q", f.Do, actions)
	}
	onServer := slices.Contains([]string{ActCrash, ActFreeze, ActLag, ActLeaving, ActCut}, f.Do)
	if onServer && f.On != OnPrimary && f.On != OnReplica {
		return fmt.Errorf("fault %q needs on: %s or on: %s", f.Do, OnPrimary, OnReplica)
	}
	onVM := slices.Contains([]string{ActVMCrash, ActVMStop, ActVMReplace}, f.Do)
	if onVM && (f.VM < 1 || f.VM > spec.VMs) {
		return fmt.Errorf("fault %q needs the number of a VM from 1 to %d", f.Do, spec.VMs)
	}
	return nil
}

// Only returns the experiment with just the named stages, in the order of names.
func (e Experiment) Only(names []string) (Experiment, error) {
	var stages []Stage
	for _, name := range names {
		i := slices.IndexFunc(e.Stages, func(s Stage) bool { return s.Name == name })
		if i < 0 {
			return e, fmt.Errorf("stage %q does not exist", name)
		}
		stages = append(stages, e.Stages[i])
	}
	e.Stages = stages
	return e, nil
}

// Package exper runs experiments: a deployment, a load, faults at set times, audits and bounds, all from one file.
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

// Decode reads a YAML file into out. Unknown keys are errors; the error names the file, and has the line and column.
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

// Experiment is the content of an experiment file, so its fields are exported.
type Experiment struct {
	Name  string    `json:"name" yaml:"name"`
	About string    `json:"about,omitempty" yaml:"about,omitempty"`
	Seed  uint64    `json:"seed" yaml:"seed"`
	Site  site.Spec `json:"site" yaml:"site"`
	// Stages run one after the other, each on a deployment of its own.
	Stages []Stage `json:"stages" yaml:"stages"`
}

// Stage is one load on one deployment.
type Stage struct {
	Name  string `json:"name" yaml:"name"`
	About string `json:"about,omitempty" yaml:"about,omitempty"`
	// Services are under load; all if empty.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// ServiceTime, Lag, Timeout and MaxWait replace those of the site and of its services.
	ServiceTime time.Duration `json:"service_time,omitempty" yaml:"service_time,omitempty"`
	Lag         time.Duration `json:"lag,omitempty" yaml:"lag,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	MaxWait     time.Duration `json:"max_wait,omitempty" yaml:"max_wait,omitempty"`
	Load        load.Profile  `json:"load" yaml:"load"`
	// Phases have histograms of their own. The names quiet, peak and stragglers have measures.
	Phases []load.Phase `json:"phases,omitempty" yaml:"phases,omitempty"`
	Faults []Fault      `json:"faults,omitempty" yaml:"faults,omitempty"`
	Trials []Trials     `json:"trials,omitempty" yaml:"trials,omitempty"`
	// Capacity measures the capacity of the slots without a proxy, before the load.
	Capacity bool `json:"capacity,omitempty" yaml:"capacity,omitempty"`
	// Baseline runs the reads and stragglers of the load against one first-come queue for each replica, without a proxy.
	Baseline bool     `json:"baseline,omitempty" yaml:"baseline,omitempty"`
	Audits   []string `json:"audits" yaml:"audits"`
	Bounds   []Bound  `json:"bounds,omitempty" yaml:"bounds,omitempty"`
}

// Actions of faults.
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

// Targets of faults on servers. Restart concerns the server that crashed last.
const (
	OnPrimary = "primary"
	OnReplica = "replica"
)

// Fault is one change of the surroundings at a time of the load.
type Fault struct {
	At time.Duration `json:"at" yaml:"at"`
	Do string        `json:"do" yaml:"do"`
	// Service and On choose a server. Service is the first one under load if empty.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	On      string `json:"on,omitempty" yaml:"on,omitempty"`
	// VM chooses a VM by its number from 1.
	VM int `json:"vm,omitempty" yaml:"vm,omitempty"`
	// For is the time after which the fault ends; it stays until the end of the stage if 0.
	For time.Duration `json:"for,omitempty" yaml:"for,omitempty"`
	// Value is the lag or the delay, Probability that of a lost answer.
	Value       time.Duration `json:"value,omitempty" yaml:"value,omitempty"`
	Probability float64       `json:"probability,omitempty" yaml:"probability,omitempty"`
}

// Trials repeats a fault of the primary of the first service under load. They begin at At, one series after the other.
type Trials struct {
	At time.Duration `json:"at" yaml:"at"`
	// Do is crash, after which the primary is restarted, or freeze.
	Do    string        `json:"do" yaml:"do"`
	Count int           `json:"count" yaml:"count"`
	For   time.Duration `json:"for,omitempty" yaml:"for,omitempty"`
	// Settle is the time between the end of one trial and the next.
	Settle time.Duration `json:"settle" yaml:"settle"`
}

// Bound is a limit of one measure.
type Bound struct {
	Measure string   `json:"measure" yaml:"measure"`
	Max     *float64 `json:"max,omitempty" yaml:"max,omitempty"`
	Min     *float64 `json:"min,omitempty" yaml:"min,omitempty"`
	// Promise names the requirement that the bound is from.
	From string `json:"from,omitempty" yaml:"from,omitempty"`
}

// Load reads and checks an experiment file.
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
			return fmt.Errorf("trials need crash or freeze, a count, and for a freeze its duration")
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

// Only returns the experiment with some of its stages.
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

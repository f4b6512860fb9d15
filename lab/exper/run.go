package exper

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"verbenagate/io/logs"
	"verbenagate/lab/audit"
	"verbenagate/lab/load"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

const (
	// drainTimeout bounds the wait for statements in flight before the audit.
	drainTimeout = 10 * time.Second
	// progressInterval is the time between two progress lines.
	progressInterval = 5 * time.Second
)

// ProgressFunc writes one progress line. Its arguments are those of fmt.Printf.
type ProgressFunc func(format string, args ...any)

// Run runs the stages of an experiment. It returns an error if a stage could not run. Missed bounds and failed audits are not errors;
// they are in the result.
func Run(ctx context.Context, e Experiment, log *logs.Log, logf ProgressFunc) (Result, error) {
	r := Result{
		Name: e.Name, Begun: time.Now(), Commit: buildCommit(), Seed: e.Seed, Machine: describeMachine(), Experiment: e,
	}
	for _, st := range e.Stages {
		logf("stage %s: %v at %g requests/s", st.Name, st.Load.Duration, st.Load.Rate)
		s, err := runStage(ctx, e, st, log, logf)
		if err != nil {
			return r, fmt.Errorf("stage %s: %w", st.Name, err)
		}
		for _, v := range s.Bounds {
			outcome := "met"
			if !v.OK {
				outcome = "MISSED"
			}
			logf("  %-6s %s", outcome, v)
		}
		for _, f := range s.AuditFailures() {
			logf("  FAILED %s", f)
		}
		r.Stages = append(r.Stages, s)
	}
	r.Took = time.Since(r.Begun)
	return r, ctx.Err()
}

// stageSite returns spec with the changes that the stage makes.
func stageSite(spec site.Spec, st Stage) site.Spec {
	spec.Services = slices.Clone(spec.Services)
	if st.ServiceTime > 0 {
		spec.ServiceTime = st.ServiceTime
	}
	if st.Lag > 0 {
		spec.Lag = st.Lag
	}
	for i := range spec.Services {
		v := &spec.Services[i]
		if st.Timeout > 0 {
			v.Timeout = st.Timeout
		}
		if st.MaxWait > 0 {
			v.MaxWait = st.MaxWait
		}
		if st.Load.MaxAge > 0 {
			v.MaxAge = st.Load.MaxAge
		}
		// Stragglers use separate callers, numbered after the others.
		extra := int(2*st.Load.Stragglers*st.Load.Duration.Seconds()) + 1
		v.Callers = max(v.Callers, st.Load.Callers+extra)
	}
	return spec
}

func runStage(ctx context.Context, e Experiment, st Stage, log *logs.Log, logf ProgressFunc) (StageResult, error) {
	begun := time.Now()
	spec := stageSite(e.Site, st)
	if st.Load.Lag == 0 {
		st.Load.Lag = spec.Lag
	}
	names := st.Services
	if len(names) == 0 {
		for _, v := range spec.Services {
			names = append(names, v.Name)
		}
	}
	m := stageData{stage: st}
	if err := m.measureDirect(ctx, e, spec, names[0], logf); err != nil {
		return StageResult{}, err
	}
	s, err := site.New(ctx, spec, log)
	if err != nil {
		return StageResult{}, err
	}
	defer s.Close()
	before := s.Counts()
	j := m.runLoads(ctx, e.Seed, s, names, logf)
	m.counts, m.serverUsage, m.trials, m.interruptedCallers = s.Counts().Less(before), s.Limits(), j.trials, j.interruptedCallers
	r := StageResult{
		Name: st.Name, Measures: m.measures(), Marks: j.marks, Trials: j.trials, Counts: m.counts, Limits: m.serverUsage,
	}
	for _, err := range j.errors {
		r.Errors = append(r.Errors, err.Error())
	}
	r.Bounds = evaluateBounds(st.Bounds, r.Measures)
	for i, name := range names {
		r.Loads = append(r.Loads, LoadResult{Service: name, Summary: m.records[i].Summary()})
		report, err := auditService(ctx, s, name, m.records[i], st.Audits)
		if err != nil {
			return r, err
		}
		r.Audits = append(r.Audits, AuditResult{Service: name, Report: *report})
	}
	r.Took = time.Since(begun)
	return r, nil
}

// measureDirect runs the measurements without a proxy that the stage asks for: the capacity and the baseline.
func (m *stageData) measureDirect(ctx context.Context, e Experiment, spec site.Spec, service string, logf ProgressFunc) error {
	i := slices.IndexFunc(spec.Services, func(v site.ServiceSpec) bool { return v.Name == service })
	var err error
	if m.stage.Capacity {
		if m.capacity, err = Capacity(ctx, spec, spec.Services[i]); err != nil {
			return err
		}
		logf("  the slots of %s execute %.0f reads/s without a proxy", service, m.capacity)
	}
	if m.stage.Baseline {
		logf("  baseline with first-come queues")
		m.firstComeP99, err = runBaseline(ctx, spec, spec.Services[i], m.stage, load.Plan(m.stage.Load, e.Seed))
	}
	return err
}

// runLoads runs the loads of all services and injects the faults of the stage, and returns the injector with its results.
func (m *stageData) runLoads(ctx context.Context, seed uint64, s *site.Site, names []string, logf ProgressFunc) *injector {
	faultCtx, endFaults := context.WithCancel(ctx)
	stop := make(chan struct{})
	begun := make(chan time.Time, len(names))
	var loads sync.WaitGroup
	for i, name := range names {
		record := load.NewRecord(m.stage.Phases)
		m.records = append(m.records, record)
		loads.Add(1)
		go func() {
			defer loads.Done()
			load.RunWith(ctx, load.Options{
				Profile: m.stage.Load, Plan: load.Plan(m.stage.Load, seed+uint64(i)), Target: s.Target(name), Record: record,
				Stop: stop, Begun: func(at time.Time) { begun <- at },
			})
		}()
	}
	j := &injector{site: s, service: names[0], record: m.records[0]}
	// The loads of the services begin at slightly different times. Fault times are relative to the load that reports its start first.
	j.begin = <-begun
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loads.Wait()
	}()
	go m.reportProgress(ended, logf)
	j.startFaults(faultCtx, m.stage.Faults)
	m.arrivalDuration = m.stage.Load.Duration
	if len(m.stage.Trials) > 0 {
		j.runTrials(faultCtx, m.stage.Trials)
		m.arrivalDuration = min(m.arrivalDuration, time.Since(j.begin))
		close(stop)
	}
	<-ended
	endFaults()
	j.wg.Wait()
	return j
}

func (m *stageData) reportProgress(ended chan struct{}, logf ProgressFunc) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	begin := time.Now()
	var lastDone int64
	for {
		select {
		case <-ended:
			return
		case <-t.C:
		}
		var p load.Progress
		for _, r := range m.records {
			q := r.Progress()
			p.Done, p.NotRun, p.Failed, p.Unknown = p.Done+q.Done, p.NotRun+q.NotRun, p.Failed+q.Failed, p.Unknown+q.Unknown
		}
		logf("  %3.0f s  %5.0f done/s  %d not run  %d failed  %d unknown", time.Since(begin).Seconds(),
			float64(p.Done-lastDone)/progressInterval.Seconds(), p.NotRun, p.Failed, p.Unknown)
		lastDone = p.Done
	}
}

// auditService waits until the service's primary has no statement in flight, and then audits the service.
func auditService(ctx context.Context, s *site.Site, name string, record *load.Record, required []string) (*audit.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var primary *server.Server
	for {
		if primary = s.Primary(name); primary != nil && primary.Running() == 0 {
			break
		}
		if !load.Pause(ctx, pollInterval) {
			return nil, fmt.Errorf("service %s has no idle primary %v after the load", name, drainTimeout)
		}
	}
	return audit.Run(ctx, record, primary, s.Limits(), required)
}

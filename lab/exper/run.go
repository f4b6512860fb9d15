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
	// settleTime bounds the wait for the servers to finish before the audit.
	settleTime = 10 * time.Second
	// progressInterval is the time between two lines of progress.
	progressInterval = 5 * time.Second
)

// Say takes lines of progress.
type Say func(format string, args ...any)

// Run runs the stages of an experiment. The error says why a stage could not run; missed bounds and failed audits are in
// the result.
func Run(ctx context.Context, e Experiment, log *logs.Log, say Say) (Result, error) {
	r := Result{
		Name: e.Name, Begun: time.Now(), Commit: commit(), Seed: e.Seed, Machine: machine(), Experiment: e,
	}
	for _, st := range e.Stages {
		say("stage %s: %v at %g requests/s", st.Name, st.Load.Duration, st.Load.Rate)
		s, err := runStage(ctx, e, st, log, say)
		if err != nil {
			return r, fmt.Errorf("stage %s: %w", st.Name, err)
		}
		for _, v := range s.Bounds {
			mark := "met"
			if !v.OK {
				mark = "MISSED"
			}
			say("  %-6s %s", mark, v)
		}
		for _, f := range s.AuditFailures() {
			say("  FAILED %s", f)
		}
		r.Stages = append(r.Stages, s)
	}
	r.Took = time.Since(r.Begun)
	return r, ctx.Err()
}

// override returns the site of a stage.
func override(spec site.Spec, st Stage) site.Spec {
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
		// Stragglers have callers of their own, numbered after the others.
		extra := int(2*st.Load.Stragglers*st.Load.Duration.Seconds()) + 1
		v.Callers = max(v.Callers, st.Load.Callers+extra)
	}
	return spec
}

func runStage(ctx context.Context, e Experiment, st Stage, log *logs.Log, say Say) (StageResult, error) {
	begun := time.Now()
	spec := override(e.Site, st)
	if st.Load.Lag == 0 {
		st.Load.Lag = spec.Lag
	}
	names := st.Services
	if len(names) == 0 {
		for _, v := range spec.Services {
			names = append(names, v.Name)
		}
	}
	m := measured{stage: st}
	if err := m.direct(ctx, e, spec, names[0], say); err != nil {
		return StageResult{}, err
	}
	s, err := site.New(ctx, spec, log)
	if err != nil {
		return StageResult{}, err
	}
	defer s.Close()
	before := s.Counts()
	j := m.load(ctx, e.Seed, s, names, say)
	m.counts, m.limits, m.trials, m.left = s.Counts().Less(before), s.Limits(), j.trials, j.left
	r := StageResult{
		Name: st.Name, Measures: m.measures(), Marks: j.marks, Trials: j.trials, Counts: m.counts, Limits: m.limits,
	}
	for _, err := range j.errors {
		r.Errors = append(r.Errors, err.Error())
	}
	r.Bounds = verdicts(st.Bounds, r.Measures)
	for i, name := range names {
		r.Loads = append(r.Loads, LoadResult{Service: name, Summary: m.records[i].Summary()})
		report, err := check(ctx, s, name, m.records[i], st.Audits)
		if err != nil {
			return r, err
		}
		r.Audits = append(r.Audits, AuditResult{Service: name, Report: *report})
	}
	r.Took = time.Since(begun)
	return r, nil
}

// direct measures what needs no proxy.
func (m *measured) direct(ctx context.Context, e Experiment, spec site.Spec, service string, say Say) error {
	i := slices.IndexFunc(spec.Services, func(v site.ServiceSpec) bool { return v.Name == service })
	var err error
	if m.stage.Capacity {
		if m.capacity, err = Capacity(ctx, spec, spec.Services[i]); err != nil {
			return err
		}
		say("  the slots of %s execute %.0f reads/s without a proxy", service, m.capacity)
	}
	if m.stage.Baseline {
		say("  baseline with first-come queues")
		m.firstCome, err = baseline(ctx, spec, spec.Services[i], m.stage, load.Plan(m.stage.Load, e.Seed))
	}
	return err
}

// load runs the load of all services and the faults.
func (m *measured) load(ctx context.Context, seed uint64, s *site.Site, names []string, say Say) *injector {
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
	// The records of the services begin at slightly different times; faults count from the first service's load.
	j.begin = <-begun
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loads.Wait()
	}()
	go m.progress(ended, say)
	j.run(faultCtx, m.stage.Faults)
	m.arrivals = m.stage.Load.Duration
	if len(m.stage.Trials) > 0 {
		j.series(faultCtx, m.stage.Trials)
		m.arrivals = min(m.arrivals, time.Since(j.begin))
		close(stop)
	}
	<-ended
	endFaults()
	j.wg.Wait()
	return j
}

func (m *measured) progress(ended chan struct{}, say Say) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	begin := time.Now()
	var last int64
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
		say("  %3.0f s  %5.0f done/s  %d not run  %d failed  %d unknown", time.Since(begin).Seconds(),
			float64(p.Done-last)/progressInterval.Seconds(), p.NotRun, p.Failed, p.Unknown)
		last = p.Done
	}
}

// check audits a service after its servers have finished all statements.
func check(ctx context.Context, s *site.Site, name string, record *load.Record, required []string) (*audit.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	var primary *server.Server
	for {
		if primary = s.Primary(name); primary != nil && primary.Running() == 0 {
			break
		}
		if !load.Pause(ctx, pollInterval) {
			return nil, fmt.Errorf("service %s has no idle primary %v after the load", name, settleTime)
		}
	}
	return audit.Run(ctx, record, primary, s.Limits(), required)
}

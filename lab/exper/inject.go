package exper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"verbenagate/lab/load"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

const (
	// vmStopTimeout bounds the graceful shutdown of a VM.
	vmStopTimeout = 10 * time.Second
	// recoveryTimeout bounds the wait for the first write after a crash. It is longer than the hard bound on a failover.
	recoveryTimeout = 15 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// Mark records in the result when a fault began or ended.
type Mark struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Trial is the result of one crash or freeze.
type Trial struct {
	Do string        `json:"do"`
	At time.Duration `json:"at"`
	// Gap is the time from the fault to the first acknowledged write after it.
	Gap       time.Duration `json:"gap"`
	Recovered bool          `json:"recovered"`
	// Promoted reports whether the term changed during the trial.
	Promoted bool `json:"promoted"`
}

// injector carries out the faults and trials of a stage.
type injector struct {
	site    *site.Site
	service string
	record  *load.Record
	begin   time.Time

	mu                 sync.Mutex
	marks              []Mark
	trials             []Trial
	crashedServer      *server.Server
	interruptedCallers int // callers with work in flight when a graceful shutdown timed out
	errors             []error
	wg                 sync.WaitGroup
}

func (j *injector) addMark(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.marks = append(j.marks, Mark{At: time.Since(j.begin), Text: fmt.Sprintf(format, args...)})
}

func (j *injector) addError(err error) {
	if err == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.errors = append(j.errors, err)
}

// waitUntil waits until the time at since the start of the load. It returns false if ctx is done first.
func (j *injector) waitUntil(ctx context.Context, at time.Duration) bool {
	return load.Pause(ctx, time.Until(j.begin.Add(at)))
}

// startFaults injects each fault at its time in a separate goroutine, so that a long fault does not delay the others.
func (j *injector) startFaults(ctx context.Context, faults []Fault) {
	for _, f := range faults {
		j.wg.Add(1)
		go func() {
			defer j.wg.Done()
			if j.waitUntil(ctx, f.At) {
				j.addError(j.inject(ctx, f))
			}
		}()
	}
}

func (j *injector) inject(ctx context.Context, f Fault) error {
	switch f.Do {
	case ActVMCrash, ActVMStop, ActVMReplace:
		return j.injectVMFault(ctx, f)
	case ActRolling:
		return j.replaceAllVMs(ctx)
	case ActPlatformDown, ActPlatformDelay, ActPlatformLoss, ActListLag:
		undo := j.injectPlatformFault(f)
		return j.undoAtEnd(ctx, f, undo)
	case ActRestart:
		return j.restart()
	}
	srv := j.chooseServer(f)
	if srv == nil {
		return fmt.Errorf("fault %s: no %s to inject it on", f.Do, f.On)
	}
	undo := j.injectServerFault(f, srv)
	return j.undoAtEnd(ctx, f, undo)
}

// undoAtEnd waits for the end of a fault and undoes it. A fault without a duration is undone at the end of the stage. A crash without
// a duration is not undone here; ActRestart does it.
func (j *injector) undoAtEnd(ctx context.Context, f Fault, undo func() error) error {
	if f.For > 0 {
		load.Pause(ctx, f.For)
	} else {
		if f.Do == ActCrash {
			return nil
		}
		<-ctx.Done()
	}
	j.addMark("end of %s", f.Do)
	return undo()
}

func (j *injector) chooseServer(f Fault) *server.Server {
	service := f.Service
	if service == "" {
		service = j.service
	}
	primary := j.site.Primary(service)
	if f.On == OnPrimary {
		return primary
	}
	for _, srv := range j.site.Group(service) {
		if srv != primary {
			return srv
		}
	}
	return nil
}

func (j *injector) injectServerFault(f Fault, srv *server.Server) (undo func() error) {
	j.addMark("%s of %s %s", f.Do, f.On, srv.Addr())
	switch f.Do {
	case ActCrash:
		j.crash(srv)
		return j.restart
	case ActFreeze:
		srv.Freeze()
		return func() error { srv.Unfreeze(); return nil }
	case ActLag:
		srv.SetLag(f.Value)
		return func() error { srv.SetLag(j.site.Spec().Lag); return nil }
	case ActLeaving:
		srv.SetLeaving(true)
		return func() error { srv.SetLeaving(false); return nil }
	case ActCut:
		srv.CutReplication(true)
		return func() error { srv.CutReplication(false); return nil }
	}
	return func() error { return nil }
}

func (j *injector) crash(srv *server.Server) {
	j.mu.Lock()
	j.crashedServer = srv
	j.mu.Unlock()
	srv.Crash()
}

func (j *injector) restart() error {
	j.mu.Lock()
	srv := j.crashedServer
	j.crashedServer = nil
	j.mu.Unlock()
	if srv == nil {
		return nil
	}
	if err := srv.Restart(); err != nil {
		return fmt.Errorf("restart server %s: %w", srv.Addr(), err)
	}
	j.addMark("restart of %s", srv.Addr())
	return nil
}

func (j *injector) injectPlatformFault(f Fault) (undo func() error) {
	j.addMark("%s", f.Do)
	p := j.site.Platform()
	switch f.Do {
	case ActPlatformDown:
		p.SetDown(true)
		return func() error { p.SetDown(false); return nil }
	case ActPlatformDelay:
		p.SetDelay(f.Value)
		return func() error { p.SetDelay(0); return nil }
	case ActPlatformLoss:
		p.SetLoss(f.Probability, 1)
		return func() error { p.SetLoss(0, 1); return nil }
	case ActListLag:
		p.SetListLag(f.Value)
		return func() error { p.SetListLag(0); return nil }
	}
	return func() error { return nil }
}

func (j *injector) injectVMFault(ctx context.Context, f Fault) error {
	j.addMark("%s of VM %d", f.Do, f.VM)
	switch f.Do {
	case ActVMCrash:
		j.site.CrashVM(f.VM - 1)
	case ActVMStop:
		j.stopVM(f.VM - 1)
	case ActVMReplace:
		return j.site.ReplaceVM(ctx, f.VM-1)
	}
	if f.For == 0 {
		return nil
	}
	load.Pause(ctx, f.For)
	j.addMark("replacement of VM %d", f.VM)
	return j.site.ReplaceVM(context.WithoutCancel(ctx), f.VM-1)
}

func (j *injector) stopVM(i int) {
	n := j.site.StopVM(i, vmStopTimeout)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.interruptedCallers += n
}

// replaceAllVMs replaces all VMs, one after the other.
func (j *injector) replaceAllVMs(ctx context.Context) error {
	for i := range j.site.Spec().VMs {
		if ctx.Err() != nil {
			return fmt.Errorf("the load ended before VM %d was replaced", i+1)
		}
		j.addMark("stop of VM %d", i+1)
		j.stopVM(i)
		if err := j.site.ReplaceVM(context.WithoutCancel(ctx), i); err != nil {
			return err
		}
	}
	j.addMark("all VMs replaced")
	return nil
}

// runTrials runs all trials one after the other. It stops at the first error.
func (j *injector) runTrials(ctx context.Context, series []Trials) {
	for _, t := range series {
		if !j.waitUntil(ctx, t.At) {
			return
		}
		for range t.Count {
			if err := j.runTrial(ctx, t); err != nil {
				j.addError(err)
				return
			}
			if !load.Pause(ctx, t.Pause) {
				return
			}
		}
	}
}

func (j *injector) runTrial(ctx context.Context, t Trials) error {
	srv := j.site.Primary(j.service)
	if srv == nil {
		return fmt.Errorf("service %s has no primary", j.service)
	}
	term := srv.Status().Term
	r := Trial{Do: t.Do, At: time.Since(j.begin)}
	j.addMark("%s of primary", t.Do)
	if t.Do == ActFreeze {
		srv.Freeze()
		load.Pause(ctx, t.For)
		srv.Unfreeze()
		if !load.Pause(ctx, t.Pause) {
			return nil
		}
		r.Gap, r.Recovered = j.record.Recovery(r.At, time.Since(j.begin))
		r.Promoted = j.primaryTerm() != term
		j.addTrial(r)
		return nil
	}
	j.crash(srv)
	deadline := time.Now().Add(recoveryTimeout)
	for time.Now().Before(deadline) && j.primaryTerm() == term && load.Pause(ctx, pollInterval) {
		continue
	}
	// The gap ends with the first write after the promotion, so wait until the record contains one.
	for load.Pause(ctx, t.Pause) {
		r.Gap, r.Recovered = j.record.Recovery(r.At, time.Since(j.begin))
		if r.Recovered || time.Now().After(deadline) {
			break
		}
	}
	r.Promoted = j.primaryTerm() != term
	if ctx.Err() == nil {
		j.addTrial(r)
	}
	if err := j.restart(); err != nil {
		return err
	}
	return j.awaitCaughtUp(ctx, srv)
}

func (j *injector) addTrial(r Trial) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.trials = append(j.trials, r)
}

func (j *injector) primaryTerm() uint64 { return j.site.Primary(j.service).Status().Term }

// awaitCaughtUp waits until a restarted server follows the new primary, so that the next trial starts with a complete group.
func (j *injector) awaitCaughtUp(ctx context.Context, srv *server.Server) error {
	deadline := time.Now().Add(recoveryTimeout)
	for ctx.Err() == nil {
		st, primary := srv.Status(), j.site.Primary(j.service).Status()
		if st.Term == primary.Term && st.Received > 0 && !st.IsServingPrimary() {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("server %s did not follow the new primary within %v after its restart: term %d, promised %d, primary's term %d",
				srv.Addr(), recoveryTimeout, st.Term, st.Promised, primary.Term)
		}
		load.Pause(ctx, pollInterval)
	}
	return nil
}

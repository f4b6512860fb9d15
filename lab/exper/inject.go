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
	// stopLimit bounds the graceful stop of a VM.
	stopLimit = 10 * time.Second
	// recoveryLimit bounds the wait for the first write after a crash; it is above the hard bound of a failover.
	recoveryLimit = 15 * time.Second
	// pollInterval is the time between two looks at a condition.
	pollInterval = 10 * time.Millisecond
)

// Mark is one change of the surroundings in the result.
type Mark struct {
	At   time.Duration `json:"at"`
	Text string        `json:"text"`
}

// Trial is the result of one trial.
type Trial struct {
	Do string        `json:"do"`
	At time.Duration `json:"at"`
	// Gap is the time from the fault to the first write that was acknowledged after it.
	Gap       time.Duration `json:"gap"`
	Recovered bool          `json:"recovered"`
	// Promoted says that another term began.
	Promoted bool `json:"promoted"`
}

// injector carries out the faults and trials of a stage.
type injector struct {
	site    *site.Site
	service string
	record  *load.Record
	begin   time.Time

	mu      sync.Mutex
	marks   []Mark
	trials  []Trial
	crashed *server.Server
	left    int // callers that a graceful stop interrupted
	errors  []error
	wg      sync.WaitGroup
}

func (j *injector) mark(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.marks = append(j.marks, Mark{At: time.Since(j.begin), Text: fmt.Sprintf(format, args...)})
}

func (j *injector) fail(err error) {
	if err == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.errors = append(j.errors, err)
}

// wait waits until a time of the load and reports whether the stage goes on.
func (j *injector) wait(ctx context.Context, at time.Duration) bool {
	return load.Pause(ctx, time.Until(j.begin.Add(at)))
}

// run carries out faults, each in a goroutine of its own, so that one that lasts does not delay others.
func (j *injector) run(ctx context.Context, faults []Fault) {
	for _, f := range faults {
		j.wg.Add(1)
		go func() {
			defer j.wg.Done()
			if j.wait(ctx, f.At) {
				j.fail(j.inject(ctx, f))
			}
		}()
	}
}

func (j *injector) inject(ctx context.Context, f Fault) error {
	switch f.Do {
	case ActVMCrash, ActVMStop, ActVMReplace:
		return j.vm(ctx, f)
	case ActRolling:
		return j.rolling(ctx)
	case ActPlatformDown, ActPlatformDelay, ActPlatformLoss, ActListLag:
		undo := j.platform(f)
		return j.until(ctx, f, undo)
	case ActRestart:
		return j.restart()
	}
	srv := j.choose(f)
	if srv == nil {
		return fmt.Errorf("%s: there is no %s", f.Do, f.On)
	}
	undo := j.server(f, srv)
	return j.until(ctx, f, undo)
}

// until waits for the end of a fault and undoes it. A fault that lasts is undone when the stage ends, except for a
// crash, which a restart ends.
func (j *injector) until(ctx context.Context, f Fault, undo func() error) error {
	if f.For > 0 {
		load.Pause(ctx, f.For)
	} else {
		if f.Do == ActCrash {
			return nil
		}
		<-ctx.Done()
	}
	j.mark("end of %s", f.Do)
	return undo()
}

func (j *injector) choose(f Fault) *server.Server {
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

func (j *injector) server(f Fault, srv *server.Server) (undo func() error) {
	j.mark("%s of %s %s", f.Do, f.On, srv.Addr())
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
	j.crashed = srv
	j.mu.Unlock()
	srv.Crash()
}

func (j *injector) restart() error {
	j.mu.Lock()
	srv := j.crashed
	j.crashed = nil
	j.mu.Unlock()
	if srv == nil {
		return nil
	}
	if err := srv.Restart(); err != nil {
		return fmt.Errorf("restart server %s: %w", srv.Addr(), err)
	}
	j.mark("restart of %s", srv.Addr())
	return nil
}

func (j *injector) platform(f Fault) (undo func() error) {
	j.mark("%s", f.Do)
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

func (j *injector) vm(ctx context.Context, f Fault) error {
	j.mark("%s of VM %d", f.Do, f.VM)
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
	j.mark("replacement of VM %d", f.VM)
	return j.site.ReplaceVM(context.WithoutCancel(ctx), f.VM-1)
}

func (j *injector) stopVM(i int) {
	n := j.site.StopVM(i, stopLimit)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.left += n
}

// rolling replaces all VMs, one after the other.
func (j *injector) rolling(ctx context.Context) error {
	for i := range j.site.Spec().VMs {
		if ctx.Err() != nil {
			return fmt.Errorf("the load ended before VM %d was replaced", i+1)
		}
		j.mark("stop of VM %d", i+1)
		j.stopVM(i)
		if err := j.site.ReplaceVM(context.WithoutCancel(ctx), i); err != nil {
			return err
		}
	}
	j.mark("all VMs replaced")
	return nil
}

// series carries out trials one after the other.
func (j *injector) series(ctx context.Context, series []Trials) {
	for _, t := range series {
		if !j.wait(ctx, t.At) {
			return
		}
		for range t.Count {
			if err := j.trial(ctx, t); err != nil {
				j.fail(err)
				return
			}
			if !load.Pause(ctx, t.Settle) {
				return
			}
		}
	}
}

func (j *injector) trial(ctx context.Context, t Trials) error {
	srv := j.site.Primary(j.service)
	if srv == nil {
		return fmt.Errorf("service %s has no primary", j.service)
	}
	term := srv.Status().Term
	r := Trial{Do: t.Do, At: time.Since(j.begin)}
	j.mark("%s of primary", t.Do)
	if t.Do == ActFreeze {
		srv.Freeze()
		load.Pause(ctx, t.For)
		srv.Unfreeze()
		if !load.Pause(ctx, t.Settle) {
			return nil
		}
		r.Gap, r.Recovered = j.record.Recovery(r.At, time.Since(j.begin))
		r.Promoted = j.term() != term
		j.add(r)
		return nil
	}
	j.crash(srv)
	deadline := time.Now().Add(recoveryLimit)
	for time.Now().Before(deadline) && j.term() == term && load.Pause(ctx, pollInterval) {
		continue
	}
	// Writes after the promotion show where the gap ended.
	for load.Pause(ctx, t.Settle) {
		r.Gap, r.Recovered = j.record.Recovery(r.At, time.Since(j.begin))
		if r.Recovered || time.Now().After(deadline) {
			break
		}
	}
	r.Promoted = j.term() != term
	if ctx.Err() == nil {
		j.add(r)
	}
	if err := j.restart(); err != nil {
		return err
	}
	return j.caughtUp(ctx, srv)
}

func (j *injector) add(r Trial) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.trials = append(j.trials, r)
}

func (j *injector) term() uint64 { return j.site.Primary(j.service).Status().Term }

// caughtUp waits until a restarted server follows the new primary, so that the next trial has a full group.
func (j *injector) caughtUp(ctx context.Context, srv *server.Server) error {
	deadline := time.Now().Add(recoveryLimit)
	for ctx.Err() == nil {
		st, now := srv.Status(), j.site.Primary(j.service).Status()
		if st.Term == now.Term && st.Received > 0 && !st.IsServingPrimary() {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("server %s did not follow the new primary within %v after its restart: term %d, promised %d, primary's term %d",
				srv.Addr(), recoveryLimit, st.Term, st.Promised, now.Term)
		}
		load.Pause(ctx, pollInterval)
	}
	return nil
}

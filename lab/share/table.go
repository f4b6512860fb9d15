package share

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"verbenagate/core/result"
	"verbenagate/io/logs"
	"verbenagate/lab/load"
)

// Options configure Write.
type Options struct {
	// Deployment is the name of a deployment.
	Deployment string
	VMs        int
	// Seeds is the number of plans, numbered from 1. The table shows the median of each figure.
	Seeds int
	// Near places all VMs in the server's data centre.
	Near bool
	// Intervals are the times between two demand reports for which Moved is modelled.
	Intervals []time.Duration
	// Real runs Measure in addition to Model. Moved is then left out and the delay between data centres is 0.
	Real bool
	// Cases are the names of the cases to run. If empty, all cases are run.
	Cases []string
}

// Write compares the strategies for a deployment and writes a table to out.
func Write(ctx context.Context, o Options, log *logs.Log, out io.Writer) error {
	i := slices.IndexFunc(Deployments(), func(u Deployment) bool { return u.name == o.Deployment })
	if i < 0 {
		return result.New(result.NotFound, "deployment %q does not exist", o.Deployment)
	}
	if o.VMs < 2 || o.VMs < Deployments()[i].slots || o.Seeds < 1 {
		return result.New(result.InvalidConfig, "a comparison needs at least one seed, two VMs and as many VMs as slots")
	}
	centreDelay := Deployments()[i].centreDelay
	if o.Near || o.Real {
		centreDelay = 0
	}
	fmt.Fprintf(out, "%s: %d slots, %d VMs, %v between data centres, %d seeds\n", o.Deployment, Deployments()[i].slots, o.VMs, centreDelay, o.Seeds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tstrategy\tgoodput\tquiet p99\tp50\tp99\tnot in time\tidle, short queued\tidle, any queued\tslots in use\t")
	for _, c := range Deployments()[i].Cases(o.VMs, centreDelay) {
		if len(o.Cases) > 0 && !slices.Contains(o.Cases, c.name) {
			continue
		}
		if err := o.compare(ctx, c, log, w); err != nil {
			return fmt.Errorf("case %s: %w", c.name, err)
		}
	}
	return w.Flush()
}

func (o Options) compare(ctx context.Context, c Case, log *logs.Log, w io.Writer) error {
	var plans [][]load.Request
	for seed := range o.Seeds {
		plans = append(plans, load.Plan(c.profile, uint64(seed+1)))
	}
	for _, strategy := range []Strategy{Owner, Fixed} {
		if strategy == Fixed && c.ownerOnly {
			return nil
		}
		o.writeRow(w, c, string(strategy), plans, func(plan []load.Request) Result { return Model(c, strategy, 0, plan) })
		if !o.Real {
			continue
		}
		var measureErr error
		o.writeRow(w, c, string(strategy)+", real", plans, func(plan []load.Request) Result {
			r, err := Measure(ctx, c, strategy, plan, log)
			if err != nil {
				measureErr = err
			}
			return r
		})
		if measureErr != nil {
			return measureErr
		}
	}
	if o.Real {
		return nil
	}
	for _, d := range o.Intervals {
		o.writeRow(w, c, fmt.Sprintf("%s, %v", Moved, d), plans, func(plan []load.Request) Result { return Model(c, Moved, d, plan) })
	}
	return nil
}

// writeRow runs all plans and writes the medians of their results. The slots in use are the maximum over all plans.
func (o Options) writeRow(w io.Writer, c Case, strategy string, plans [][]load.Request, run func([]load.Request) Result) {
	var results []Result
	for _, p := range plans {
		results = append(results, run(p))
	}
	medianOf := func(f func(Result) float64) float64 { return median(results, f) }
	medianMillis := func(f func(Result) time.Duration) float64 {
		return median(results, func(r Result) float64 { return f(r).Seconds() * 1e3 })
	}
	maxInUse := slices.MaxFunc(results, func(a, b Result) int { return a.MaxSlotsInUse - b.MaxSlotsInUse }).MaxSlotsInUse
	idle := "\t\t"
	if !o.Real {
		idle = fmt.Sprintf("%.3f\t%.3f\t", medianOf(func(r Result) float64 { return r.ShortIdle }),
			medianOf(func(r Result) float64 { return r.AnyIdle }))
	}
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.1f ms\t%.1f ms\t%.1f ms\t%.3f\t%s%d\t\n", c.name, strategy,
		medianOf(func(r Result) float64 { return r.Goodput }), medianMillis(func(r Result) time.Duration { return r.QuietP99 }),
		medianMillis(func(r Result) time.Duration { return r.P50 }), medianMillis(func(r Result) time.Duration { return r.P99 }),
		medianOf(func(r Result) float64 { return r.NotInTime }), idle, maxInUse)
}

func median(all []Result, f func(Result) float64) float64 {
	var v []float64
	for _, r := range all {
		v = append(v, f(r))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

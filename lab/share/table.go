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

// Options say what Write compares.
type Options struct {
	// User is the name of a deployment.
	User string
	VMs  int
	// Seeds is the number of plans, numbered from 1. The table shows the median of each figure.
	Seeds int
	// Near puts all VMs into the server's data centre.
	Near bool
	// Intervals are the times between two reports of demand of moved shares.
	Intervals []time.Duration
	// Real measures with real VMs beside the model, without delay between data centres and without moved shares.
	Real bool
	// Cases are the names of the cases; all if empty.
	Cases []string
}

// Write compares the ways and writes a table to out.
func Write(ctx context.Context, o Options, log *logs.Log, out io.Writer) error {
	i := slices.IndexFunc(Users(), func(u User) bool { return u.name == o.User })
	if i < 0 {
		return result.New(result.NotFound, "deployment %q does not exist", o.User)
	}
	if o.VMs < 2 || o.VMs < Users()[i].slots || o.Seeds < 1 {
		return result.New(result.InvalidConfig, "a comparison needs a seed and at least as many VMs as slots")
	}
	hop := Users()[i].hop
	if o.Near || o.Real {
		hop = 0
	}
	fmt.Fprintf(out, "%s: %d slots, %d VMs, %v between data centres, %d seeds\n", o.User, Users()[i].slots, o.VMs, hop, o.Seeds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tway\tgoodput\tquiet p99\tp50\tp99\trefused\tidle, short waits\tidle, any waits\tin use\t")
	for _, c := range Users()[i].Cases(o.VMs, hop) {
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
	for _, way := range []Way{Owner, Fixed} {
		if way == Fixed && c.ownerOnly {
			return nil
		}
		o.row(w, c, string(way), plans, func(plan []load.Request) Result { return Model(c, way, 0, plan) })
		if !o.Real {
			continue
		}
		var failure error
		o.row(w, c, string(way)+", real", plans, func(plan []load.Request) Result {
			r, err := Measure(ctx, c, way, plan, log)
			if err != nil {
				failure = err
			}
			return r
		})
		if failure != nil {
			return failure
		}
	}
	if o.Real {
		return nil
	}
	for _, d := range o.Intervals {
		o.row(w, c, fmt.Sprintf("%s, %v", Moved, d), plans, func(plan []load.Request) Result { return Model(c, Moved, d, plan) })
	}
	return nil
}

// row writes the medians over the plans. The most slots in use are the most of all plans.
func (o Options) row(w io.Writer, c Case, way string, plans [][]load.Request, run func([]load.Request) Result) {
	var all []Result
	for _, p := range plans {
		all = append(all, run(p))
	}
	share := func(f func(Result) float64) float64 { return median(all, f) }
	ms := func(f func(Result) time.Duration) float64 {
		return median(all, func(r Result) float64 { return f(r).Seconds() * 1e3 })
	}
	most := slices.MaxFunc(all, func(a, b Result) int { return a.MostInUse - b.MostInUse }).MostInUse
	idle := "\t\t"
	if !o.Real {
		idle = fmt.Sprintf("%.3f\t%.3f\t", share(func(r Result) float64 { return r.ShortIdle }),
			share(func(r Result) float64 { return r.AnyIdle }))
	}
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.1f ms\t%.1f ms\t%.1f ms\t%.3f\t%s%d\t\n", c.name, way,
		share(func(r Result) float64 { return r.Goodput }), ms(func(r Result) time.Duration { return r.QuietP99 }),
		ms(func(r Result) time.Duration { return r.P50 }), ms(func(r Result) time.Duration { return r.P99 }),
		share(func(r Result) float64 { return r.Refused }), idle, most)
}

func median(all []Result, f func(Result) float64) float64 {
	var v []float64
	for _, r := range all {
		v = append(v, f(r))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

package roam

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"verbenagate/core/result"
	"verbenagate/io/logs"
)

// Options configure Write.
type Options struct {
	Lag, HintDelay time.Duration
	Terminals      int
	RoamShares     []float64
	Seeds          int
	// FailureDurations are the durations of the home VM's failures.
	FailureDurations []time.Duration
}

// Write runs the model for all strategies and, if FailureDurations has elements, for all failures, and writes tables to out.
func Write(o Options, out io.Writer) error {
	if o.Seeds < 1 || o.Terminals < 1 || len(o.RoamShares) == 0 {
		return result.New(result.InvalidConfig, "the model needs at least one seed, one terminal for each caller and one share of roaming")
	}
	fmt.Fprintf(out, "200 requests/s, 40 connections, %d for each caller, 10 reads for each write, lag %v, hints after %v, %d seeds\n",
		o.Terminals, o.Lag, o.HintDelay, o.Seeds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "roam\tstrategy\treplica reads / oracle's\tafter a roam\toracle's\tbarriers per reconnect\tstale per million\t")
	for _, r := range o.RoamShares {
		for _, strategy := range []Strategy{Barrier, Home, Hints} {
			var s ReadCounts
			for seed := range o.Seeds {
				s.add(Model(NewLoad(r, o.Lag, o.Terminals, o.HintDelay), strategy, uint64(seed+1)))
			}
			fmt.Fprintf(w, "%g\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t\n", r, strategy, ratio(s.Replica, s.Oracle),
				ratio(s.RoamedReplica, s.Roamed), ratio(s.RoamedOracle, s.Roamed), ratio(s.Barriers, s.Opened),
				1e6*ratio(s.Stale, s.Reads))
		}
	}
	if err := w.Flush(); err != nil || len(o.FailureDurations) == 0 {
		return err
	}
	return o.writeFailures(out)
}

func (o Options) writeFailures(out io.Writer) error {
	fmt.Fprintln(out, "failure of the home VM, sums over the seeds")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "roam\tfailure\tduration\tstale reads\tper million\twrites held\tlongest hold\t")
	for _, r := range o.RoamShares {
		for _, f := range Failures() {
			for _, d := range o.FailureDurations {
				var sum Impact
				for seed := range o.Seeds {
					sum.add(ModelFailure(NewLoad(r, o.Lag, o.Terminals, o.HintDelay), f, d, uint64(seed+1)))
				}
				fmt.Fprintf(w, "%g\t%s\t%v\t%d\t%.0f\t%d\t%.1f s\t\n", r, f, d, sum.Stale, 1e6*ratio(sum.Stale, sum.Reads), sum.Held,
					sum.LongestHold.Seconds())
			}
		}
	}
	return w.Flush()
}

func (s *ReadCounts) add(t ReadCounts) {
	s.Reads, s.Roamed, s.Oracle, s.Replica = s.Reads+t.Reads, s.Roamed+t.Roamed, s.Oracle+t.Oracle, s.Replica+t.Replica
	s.RoamedOracle, s.RoamedReplica = s.RoamedOracle+t.RoamedOracle, s.RoamedReplica+t.RoamedReplica
	s.Stale, s.Barriers, s.Opened = s.Stale+t.Stale, s.Barriers+t.Barriers, s.Opened+t.Opened
}

func (h *Impact) add(t Impact) {
	h.Reads, h.Stale, h.Held, h.Barriers = h.Reads+t.Reads, h.Stale+t.Stale, h.Held+t.Held, h.Barriers+t.Barriers
	h.LongestHold = max(h.LongestHold, t.LongestHold)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteConnects runs MeasureConnects and writes its results as a table to out.
func WriteConnects(ctx context.Context, serverDelay time.Duration, n int, rates []int, timePerRate time.Duration, log *logs.Log, out io.Writer) error {
	c, err := MeasureConnects(ctx, serverDelay, n, rates, timePerRate, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%v between VMs and servers\n", serverDelay)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tcount\tp50\tp99\t")
	for _, row := range []struct {
		name string
		took []time.Duration
	}{
		{"barrier on a VM that watches", c.BarrierOnWatcher},
		{"barrier on another VM", c.BarrierElsewhere},
		{"first read of a connection", c.FirstRead},
		{"second read", c.SecondRead},
	} {
		fmt.Fprintf(w, "%s\t%d\t%.2f ms\t%.2f ms\t\n", row.name, len(row.took), Quantile(row.took, 0.5).Seconds()*1e3,
			Quantile(row.took, 0.99).Seconds()*1e3)
	}
	for _, s := range c.Sharing {
		fmt.Fprintf(w, "reconnects per barrier request at %d/s\t%.0f\t%.2f\t%.0f/s reached\t\n", s.Rate, s.Reconnects,
			s.Reconnects/max(1, s.Requests), s.Reconnects/s.Elapsed.Seconds())
	}
	return w.Flush()
}

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

// Options say what Write compares.
type Options struct {
	Lag, Hint time.Duration
	Terminals int
	Roams     []float64
	Seeds     int
	// Lasts are the durations of the failures of a home VM.
	Lasts []time.Duration
}

// Write runs the model and writes its tables to out.
func Write(o Options, out io.Writer) error {
	if o.Seeds < 1 || o.Terminals < 1 || len(o.Roams) == 0 {
		return result.New(result.InvalidConfig, "the model needs a seed, a terminal for each caller and a share of roaming")
	}
	fmt.Fprintf(out, "200 requests/s, 40 connections, %d for each caller, 10 reads for each write, lag %v, hints after %v, %d seeds\n",
		o.Terminals, o.Lag, o.Hint, o.Seeds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "roam\tway\treplicas, of oracle\tafter a roam\tof oracle's\tbarriers a reconnect\tstale in a million\t")
	for _, r := range o.Roams {
		for _, way := range []Way{Barrier, Home, Hints} {
			var s Shares
			for seed := range o.Seeds {
				s.add(Model(NewLoad(r, o.Lag, o.Terminals, o.Hint), way, uint64(seed+1)))
			}
			fmt.Fprintf(w, "%g\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t\n", r, way, ratio(s.Replica, s.Oracle),
				ratio(s.RoamedReplica, s.Roamed), ratio(s.RoamedOracle, s.Roamed), ratio(s.Barriers, s.Opened),
				1e6*ratio(s.Stale, s.Reads))
		}
	}
	if err := w.Flush(); err != nil || len(o.Lasts) == 0 {
		return err
	}
	return o.failures(out)
}

func (o Options) failures(out io.Writer) error {
	fmt.Fprintln(out, "home VM that fails, sums over the seeds")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "roam\tfailure\tlasts\tstale reads\tin a million\twrites held\tlongest hold\t")
	for _, r := range o.Roams {
		for _, f := range Failures() {
			for _, d := range o.Lasts {
				var sum Harm
				for seed := range o.Seeds {
					sum.add(Fail(NewLoad(r, o.Lag, o.Terminals, o.Hint), f, d, uint64(seed+1)))
				}
				fmt.Fprintf(w, "%g\t%s\t%v\t%d\t%.0f\t%d\t%.1f s\t\n", r, f, d, sum.Stale, 1e6*ratio(sum.Stale, sum.Reads), sum.Held,
					sum.LongestHold.Seconds())
			}
		}
	}
	return w.Flush()
}

func (s *Shares) add(t Shares) {
	s.Reads, s.Roamed, s.Oracle, s.Replica = s.Reads+t.Reads, s.Roamed+t.Roamed, s.Oracle+t.Oracle, s.Replica+t.Replica
	s.RoamedOracle, s.RoamedReplica = s.RoamedOracle+t.RoamedOracle, s.RoamedReplica+t.RoamedReplica
	s.Stale, s.Barriers, s.Opened = s.Stale+t.Stale, s.Barriers+t.Barriers, s.Opened+t.Opened
}

func (h *Harm) add(t Harm) {
	h.Reads, h.Stale, h.Held, h.Barriers = h.Reads+t.Reads, h.Stale+t.Stale, h.Held+t.Held, h.Barriers+t.Barriers
	h.LongestHold = max(h.LongestHold, t.LongestHold)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteConnects measures real VMs with a delay to the servers and writes a table to out.
func WriteConnects(ctx context.Context, hop time.Duration, n int, rates []int, lasts time.Duration, log *logs.Log, out io.Writer) error {
	c, err := MeasureConnects(ctx, hop, n, rates, lasts, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%v between VMs and servers\n", hop)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tcount\tp50\tp99\t")
	for _, row := range []struct {
		name string
		took []time.Duration
	}{
		{"barrier on a VM that watches", c.Watcher},
		{"barrier on another VM", c.Other},
		{"first read of a connection", c.First},
		{"second read", c.Second},
	} {
		fmt.Fprintf(w, "%s\t%d\t%.2f ms\t%.2f ms\t\n", row.name, len(row.took), Quantile(row.took, 0.5).Seconds()*1e3,
			Quantile(row.took, 0.99).Seconds()*1e3)
	}
	for _, s := range c.Shared {
		fmt.Fprintf(w, "reconnects for each request at %d/s\t%.0f\t%.2f\t%.0f/s reached\t\n", s.Rate, s.Reconnects,
			s.Reconnects/max(1, s.Rounds), s.Reconnects/s.Took.Seconds())
	}
	return w.Flush()
}

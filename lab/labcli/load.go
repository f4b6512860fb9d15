package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"verbenagate/lab/load"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

type loadCmd struct {
	Profile  string   `arg:"" help:"YAML file with the profile of the load." type:"path"`
	VM       []string `name:"vm" help:"Addresses of the VMs' caller listeners." required:"" placeholder:"ADDR"`
	Database string   `help:"Service to connect to." required:""`
	User     string   `help:"User name; %d stands for the number of the caller." default:"caller%d"`
	Password string   `help:"Password of every caller." env:"VERBENALAB_PASSWORD"`
	Seed     uint64   `help:"Seed of the plan." default:"1"`
	Out      string   `help:"File for the result as JSON; standard output if empty." type:"path"`
}

// Run implements the command.
func (c *loadCmd) Run(r *run) error {
	var p load.Profile
	if err := decode(c.Profile, &p); err != nil {
		return err
	}
	if p.Duration <= 0 || p.Callers <= 0 {
		return usageError{fmt.Errorf("%s: duration and callers must be positive", c.Profile)}
	}
	user := func(n int) string {
		if !hasNumberVerb(c.User) {
			return c.User
		}
		return fmt.Sprintf(c.User, n)
	}
	record := load.NewRecord(nil)
	stopProgress := startProgress(r.app.err, record)
	load.RunWith(r.ctx, load.Options{
		Profile: p, Plan: load.Plan(p, c.Seed), Record: record, Stop: r.ctx.Done(),
		Target: load.Target{VMs: c.VM, Database: c.Database, User: user, Password: c.Password},
	})
	stopProgress()
	sum := record.Summary()
	writeLatencies(r.app.err, sum)
	return writeJSON(r.app.out, c.Out, struct {
		Seed    uint64       `json:"seed"`
		Profile load.Profile `json:"profile"`
		Result  load.Summary `json:"result"`
	}{c.Seed, p, sum})
}

func hasNumberVerb(s string) bool {
	for i := 0; i+1 < len(s); i++ {
		if s[i] == '%' && s[i+1] == 'd' {
			return true
		}
	}
	return false
}

// startProgress writes a progress line every progressInterval until the returned function is called.
func startProgress(w io.Writer, record *load.Record) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	startTime := time.Now()
	go func() {
		defer close(ended)
		t := time.NewTicker(progressInterval)
		defer t.Stop()
		var last load.Progress
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			p := record.Progress()
			fmt.Fprintf(w, "%5.0f s  %6d done/s  %5d not run  %5d failed  %5d unknown\n", time.Since(startTime).Seconds(),
				p.Done-last.Done, p.NotRun, p.Failed, p.Unknown)
			last = p
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// writeLatencies writes a table with the latencies of each kind of request over the whole load.
func writeLatencies(w io.Writer, s load.Summary) {
	fmt.Fprintf(w, "%-10s %8s %9s %9s %9s %9s\n", "kind", "done", "p50 ms", "p99 ms", "p99.9 ms", "max ms")
	for _, k := range load.Kinds() {
		if q := s.Latency[load.All][k.String()]; q.Count > 0 {
			fmt.Fprintf(w, "%-10s %8d %9.2f %9.2f %9.2f %9.2f\n", k, q.Count, millis(q.P50), millis(q.P99), millis(q.P999), millis(q.Max))
		}
	}
}

func millis(us int64) float64 { return float64(us) / 1000 }

// writeJSON writes v to the file at path, or to w if path is empty.
func writeJSON(w io.Writer, path string, v any) error {
	body, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("encode the result as JSON: %w", err)
	}
	body = append(body, '\n')
	if path == "" {
		_, err = w.Write(body)
		return err
	}
	return os.WriteFile(path, body, 0o644)
}

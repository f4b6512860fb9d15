package slope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"verbenagate/io/admin"
	"verbenagate/lab/child"
)

const (
	// procTime is how long the CPU time of processes is counted; the kernel counts in steps of 10 ms.
	procTime = 20 * time.Second
	// procSettle passes before that, so that the exchange of the start is not counted.
	procSettle = 10 * time.Second
	// maxProcs bounds the processes of one measurement.
	maxProcs = 100
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

var processes = Measurement{
	name: "processes", x: "VMs", help: "VMs at rest in processes of their own in nine data centres, with one service",
	sizes: []int{9, 30, 60, 90}, tiny: 3, run: restInProcesses,
}

// procs are VMs in processes of their own.
type procs struct {
	dir       string
	program   string // path of verbenagate
	operators string // address for operators of the first VM
	list      []*child.Process
}

func restInProcesses(ctx context.Context, n int) ([]Value, error) {
	if n > maxProcs {
		return nil, fmt.Errorf("%d processes are more than %d", n, maxProcs)
	}
	b := &bench{}
	defer b.close()
	if err := b.startLab(plan{servers: spread(3, 9), slots: 5}); err != nil {
		return nil, err
	}
	p, err := b.startProcesses(ctx, n)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	if err := p.apply(ctx, b, n); err != nil {
		return nil, err
	}
	if err := wait(ctx, span(ctx, procSettle)); err != nil {
		return nil, err
	}
	before, err := p.cpu()
	if err != nil {
		return nil, err
	}
	from := time.Now()
	if err := wait(ctx, span(ctx, procTime)); err != nil {
		return nil, err
	}
	after, err := p.cpu()
	if err != nil {
		return nil, err
	}
	secs := time.Since(from).Seconds()
	var cpu, most, anon, rss float64
	for i := range after {
		used := 100 * (after[i] - before[i]).Seconds() / secs
		cpu, most = cpu+used/float64(n), max(most, used)
		anon += p.status(i, "RssAnon") / float64(n)
		rss += p.status(i, "VmRSS") / float64(n)
	}
	return []Value{
		{"CPU of a VM", "% of a core", cpu},
		{"CPU, most of all VMs", "% of a core", most},
		{"resident without files of a VM", "KB", anon},
		{"resident of a VM", "KB", rss},
	}, nil
}

// startProcesses builds the program and starts n VMs. It returns what runs also with an error.
func (b *bench) startProcesses(ctx context.Context, n int) (*procs, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, err
	}
	p := &procs{dir: dir, program: filepath.Join(dir, "verbenagate")}
	build := exec.CommandContext(ctx, "go", "build", "-o", p.program, "verbenagate/cmd/verbenagate")
	if out, err := build.CombinedOutput(); err != nil {
		return p, fmt.Errorf("build: %w: %s", err, out)
	}
	if p.operators, err = freeAddress(); err != nil {
		return p, err
	}
	for i, dc := range spread(n, 9) {
		operators := "127.0.0.1:0"
		if i == 0 {
			operators = p.operators
		}
		if err := p.startVM(b, fmt.Sprintf("vm%03d", i), dc, operators, defaultGC); err != nil {
			return p, err
		}
	}
	return p, nil
}

// defaultGC is the default of the setting limits.gc_percent.
const defaultGC = 100

// startVM starts a VM in a process of its own. But for gcPercent, it has the default settings.
func (p *procs) startVM(b *bench, id, dataCentre, operators string, gcPercent int) error {
	settings := filepath.Join(p.dir, id+".yaml")
	text := fmt.Sprintf("vm: {id: %s, data_centre: %s}\nlisten: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\", "+
		"operators: \"%s\"}\nplatform: {url: \"http://%s\"}\nlog: {level: error}\nlimits: {gc_percent: %d}\n",
		id, dataCentre, operators, b.toStore.addr(), gcPercent)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	return p.start(exec.Command(p.program, "serve", "--config", settings))
}

// freeAddress returns an address of 127.0.0.1 that nothing listens on.
func freeAddress() (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// start runs a process that ends with this one.
func (p *procs) start(cmd *exec.Cmd) error {
	c, err := child.Start(cmd)
	if err == nil {
		p.list = append(p.list, c)
	}
	return err
}

// apply waits until the first VM knows all others, and puts the service in force.
func (p *procs) apply(ctx context.Context, b *bench, n int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c, err := admin.Dial(p.operators)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for {
		vms, err := c.VMs(ctx)
		if err == nil && len(vms) == n {
			_, _, err := c.Apply(ctx, b.spec, 0, "lab")
			return err
		}
		if waitErr := wait(ctx, 50*time.Millisecond); waitErr != nil {
			return errors.Join(err, fmt.Errorf("%d of %d VMs are known: %w", len(vms), n, waitErr))
		}
	}
}

// cpu returns the CPU time that each process has used.
func (p *procs) cpu() ([]time.Duration, error) {
	var all []time.Duration
	for _, c := range p.list {
		body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Cmd().Process.Pid))
		if err != nil {
			return nil, err
		}
		// The fields follow the name of the program, which stands in brackets; user and system time are 14 and 15.
		f := strings.Fields(string(body[strings.LastIndexByte(string(body), ')')+1:]))
		if len(f) < 13 || f[0] == "Z" {
			return nil, fmt.Errorf("process %d has ended", c.Cmd().Process.Pid)
		}
		user, _ := strconv.ParseInt(f[11], 10, 64)
		system, _ := strconv.ParseInt(f[12], 10, 64)
		all = append(all, time.Duration(user+system)*clockTick)
	}
	return all, nil
}

// status returns a field of /proc/PID/status in KB, 0 if it does not exist.
func (p *procs) status(i int, field string) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.list[i].Cmd().Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		if k, v, ok := strings.Cut(line, ":"); ok && k == field {
			n, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return n
		}
	}
	return 0
}

// close ends the processes.
func (p *procs) close() {
	for _, c := range p.list {
		_ = c.Cmd().Process.Kill() // fails if it has ended
		<-c.Ended()
	}
	_ = os.RemoveAll(p.dir)
}

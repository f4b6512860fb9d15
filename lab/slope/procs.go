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
	// processCountDuration is the period over which the CPU time of processes is measured; the kernel counts it in steps of
	// 10 ms.
	processCountDuration = 20 * time.Second
	// processSettleDuration is the wait before that, so that the work of the startup is not counted.
	processSettleDuration = 10 * time.Second
	// maxProcesses is the most VM processes in one measurement.
	maxProcesses = 100
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

var processes = Measurement{
	name: "processes", x: "VMs", help: "idle VMs in nine data centres, each in its own process, with one service",
	sizes: []int{9, 30, 60, 90}, tiny: 3, run: measureProcesses,
}

// vmProcesses are VMs that each run in their own process.
type vmProcesses struct {
	dir       string
	program   string // path of the verbenagate binary
	operators string // operators' address of the first VM
	list      []*child.Process
}

func measureProcesses(ctx context.Context, n int) ([]Value, error) {
	if n > maxProcesses {
		return nil, fmt.Errorf("%d VM processes exceed the limit of %d", n, maxProcesses)
	}
	d := &deployment{}
	defer d.close()
	if err := d.startLab(plan{servers: spread(3, 9), slots: 5}); err != nil {
		return nil, err
	}
	p, err := d.startProcesses(ctx, n)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	if err := p.applyService(ctx, d, n); err != nil {
		return nil, err
	}
	if err := sleep(ctx, scaledDuration(ctx, processSettleDuration)); err != nil {
		return nil, err
	}
	before, err := p.cpuTimes()
	if err != nil {
		return nil, err
	}
	from := time.Now()
	if err := sleep(ctx, scaledDuration(ctx, processCountDuration)); err != nil {
		return nil, err
	}
	after, err := p.cpuTimes()
	if err != nil {
		return nil, err
	}
	secs := time.Since(from).Seconds()
	var cpu, most, anon, rss float64
	for i := range after {
		used := 100 * (after[i] - before[i]).Seconds() / secs
		cpu, most = cpu+used/float64(n), max(most, used)
		anon += p.statusField(i, "RssAnon") / float64(n)
		rss += p.statusField(i, "VmRSS") / float64(n)
	}
	return []Value{
		{"CPU of a VM", "% of a core", cpu},
		{"CPU, most of all VMs", "% of a core", most},
		{"resident without files of a VM", "KB", anon},
		{"resident of a VM", "KB", rss},
	}, nil
}

// startProcesses builds verbenagate and starts n VMs. It returns the VMs that run even with an error.
func (d *deployment) startProcesses(ctx context.Context, n int) (*vmProcesses, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, err
	}
	p := &vmProcesses{dir: dir, program: filepath.Join(dir, "verbenagate")}
	build := exec.CommandContext(ctx, "go", "build", "-o", p.program, "verbenagate/cmd/verbenagate")
	if out, err := build.CombinedOutput(); err != nil {
		return p, fmt.Errorf("build verbenagate: %w: %s", err, out)
	}
	if p.operators, err = freeAddress(); err != nil {
		return p, err
	}
	for i, dc := range spread(n, 9) {
		operators := "127.0.0.1:0"
		if i == 0 {
			operators = p.operators
		}
		if err := p.startVM(d, fmt.Sprintf("vm%03d", i), dc, operators, defaultGCPercent); err != nil {
			return p, err
		}
	}
	return p, nil
}

// defaultGCPercent is the default of the setting limits.gc_percent.
const defaultGCPercent = 100

// startVM starts a VM in its own process, with the given addresses and gcPercent and otherwise default settings.
func (p *vmProcesses) startVM(d *deployment, id, dataCentre, operators string, gcPercent int) error {
	settings := filepath.Join(p.dir, id+".yaml")
	text := fmt.Sprintf("vm: {id: %s, data_centre: %s}\nlisten: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\", "+
		"operators: \"%s\"}\nplatform: {url: \"http://%s\"}\nlog: {level: error}\nlimits: {gc_percent: %d}\n",
		id, dataCentre, operators, d.platformRelay.addr(), gcPercent)
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

// start starts a process that is killed when this one ends.
func (p *vmProcesses) start(cmd *exec.Cmd) error {
	c, err := child.Start(cmd)
	if err == nil {
		p.list = append(p.list, c)
	}
	return err
}

// applyService waits until the first VM lists all n VMs, and then applies the service definition through it.
func (p *vmProcesses) applyService(ctx context.Context, d *deployment, n int) error {
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
			_, _, err := c.Apply(ctx, d.spec, 0, "lab")
			return err
		}
		if waitErr := sleep(ctx, 50*time.Millisecond); waitErr != nil {
			return errors.Join(err, fmt.Errorf("the first VM lists %d of %d VMs: %w", len(vms), n, waitErr))
		}
	}
}

// cpuTimes returns the CPU time that each process has used since its start.
func (p *vmProcesses) cpuTimes() ([]time.Duration, error) {
	var all []time.Duration
	for _, c := range p.list {
		body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Cmd().Process.Pid))
		if err != nil {
			return nil, err
		}
		// The third and later fields follow the program name, which is in parentheses; fields 14 and 15 are the user and the
		// system time.
		f := strings.Fields(string(body[strings.LastIndexByte(string(body), ')')+1:]))
		if len(f) < 13 || f[0] == "Z" {
			return nil, fmt.Errorf("VM process %d has ended", c.Cmd().Process.Pid)
		}
		user, _ := strconv.ParseInt(f[11], 10, 64)
		system, _ := strconv.ParseInt(f[12], 10, 64)
		all = append(all, time.Duration(user+system)*clockTick)
	}
	return all, nil
}

// statusField returns a field of /proc/PID/status of process i in KB, or 0 if it cannot be read.
func (p *vmProcesses) statusField(i int, field string) float64 {
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

// close kills the processes and removes their directory.
func (p *vmProcesses) close() {
	for _, c := range p.list {
		_ = c.Cmd().Process.Kill() // fails if it has ended
		<-c.Ended()
	}
	_ = os.RemoveAll(p.dir)
}

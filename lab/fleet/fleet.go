// Package fleet runs the program of the users' platform as separate processes on one machine, with stand-ins for the store, the
// servers and the operator. Each VM reaches the store through a link of its own, which can fail.
package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenagate/lab/child"
	"verbenagate/lab/fault"
	"verbenagate/lab/lines"
	"verbenagate/lab/ports"
	"verbenagate/lab/rows"
)

const (
	group        = "ledger"
	slots        = 20
	readyTimeout = 20 * time.Second
	probeTimeout = 2 * time.Second
)

// Fleet is a deployment of VMs. It is safe for concurrent use.
type Fleet struct {
	dir, program string
	settings     string // lines that each VM's settings have besides those of every fleet
	store        *rows.Store
	servers      *lines.Group
	vms          []*VM
	ports        []*ports.Reservation

	mu      sync.Mutex
	version int
}

// Build builds the program into dir and returns its path.
func Build(dir string) (string, error) {
	path := filepath.Join(dir, "verbenaentry")
	out, err := exec.Command("go", "build", "-o", path, "verbenagate/cmd/verbenaentry").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return path, nil
}

// Start starts the stand-ins and vmsEach VMs in each data centre. Dir receives settings and logs.
func Start(dir, program string, dataCentres, vmsEach int) (*Fleet, error) {
	return StartWith(dir, program, dataCentres, vmsEach, "")
}

// StartWith is like Start, and adds the given lines to the settings of each VM.
func StartWith(dir, program string, dataCentres, vmsEach int, settings string) (*Fleet, error) {
	f := &Fleet{dir: dir, program: program, settings: settings}
	var err error
	if f.servers, err = lines.NewGroup(group, 3); err != nil {
		return nil, err
	}
	f.store, err = rows.Start(func(p rows.PromoteRequest) error { return f.servers.Promote(p.ID) })
	if err != nil {
		return nil, err
	}
	for i, s := range f.servers.Servers() {
		role := "replica"
		if s.IsLeader() {
			role = "primary"
		}
		f.store.Put("servers", s.ID(), fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"dc%d","slots":%d,"state":"ready","dbRole":%q,"born":1}`,
			group, s.Addr(), i%dataCentres, slots, role))
	}
	for i := range dataCentres * vmsEach {
		v, err := f.addVM(fmt.Sprintf("vm%02d", i), fmt.Sprintf("dc%d", i%dataCentres))
		if err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// VMs returns the VMs.
func (f *Fleet) VMs() []*VM { return f.vms }

// Servers returns the group of database servers.
func (f *Fleet) Servers() *lines.Group { return f.servers }

// Store returns the store.
func (f *Fleet) Store() *rows.Store { return f.store }

// Configure writes a new version of the configuration with routes for these databases, and returns it when it is acknowledged.
func (f *Fleet) Configure(databases []string) (version int, acknowledged time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	var routes []string
	for _, name := range databases {
		routes = append(routes, fmt.Sprintf(`{"database":%q,"routeKind":"read_your_writes","maxStalenessMs":2500,"timeoutMs":1500,"service":%q}`,
			name, group))
	}
	f.store.Put("op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":%q,"maxConns":400}],"limits":{"txIdleMs":2000}}`,
		f.version, strings.Join(routes, ","), group))
	return f.version, time.Now()
}

// AwaitReady waits until all VMs are ready.
func (f *Fleet) AwaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("VM %s did not become ready within %s; see %s", v.name, readyTimeout, v.logPath)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all that Start started.
func (f *Fleet) Close() {
	for _, v := range f.vms {
		v.Kill()
		v.link.Close()
	}
	f.servers.Close()
	_ = f.store.Close()
	for _, r := range f.ports {
		_ = r.Close()
	}
}

// VM is a process of the program and its link to the store.
type VM struct {
	name, dataCentre string
	program          string
	settings         string
	logPath          string
	callers, ready   string
	link             *fault.Link

	mu      sync.Mutex
	process *child.Process
}

// addVM starts a VM.
func (f *Fleet) addVM(name, dataCentre string) (*VM, error) {
	link, err := fault.New(f.store.Addr())
	if err != nil {
		return nil, err
	}
	var addresses [4]string
	for i := range addresses {
		r, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		f.ports = append(f.ports, r)
		addresses[i] = r.Addr()
	}
	v := &VM{
		name: name, dataCentre: dataCentre, program: f.program, settings: filepath.Join(f.dir, name+".yaml"),
		logPath: filepath.Join(f.dir, name+".log"), callers: addresses[0], ready: addresses[1], link: link,
	}
	text := fmt.Sprintf("vm: %s\ndata_centre: %s\ncallers: %s\nready: %s\nmetrics: %s\npeers: %s\nstore: %s\norders: %s\ngrace_s: 6\ncores: 0.4\n",
		name, dataCentre, v.callers, v.ready, addresses[2], addresses[3], link.Addr(), f.store.Addr()) + f.settings
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return v, v.Start()
}

// Name returns the VM's name.
func (v *VM) Name() string { return v.name }

// DataCentre returns the VM's data centre.
func (v *VM) DataCentre() string { return v.dataCentre }

// Callers returns the address at which the VM accepts callers.
func (v *VM) Callers() string { return v.callers }

// LogPath returns the file that receives the VM's log.
func (v *VM) LogPath() string { return v.logPath }

// PID returns the id of the process that was started last, 0 if there is none.
func (v *VM) PID() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	return v.process.Cmd().Process.Pid
}

// Link returns the VM's path to the store.
func (v *VM) Link() *fault.Link { return v.link }

// Start starts the process.
func (v *VM) Start() error {
	log, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(v.program, "serve")
	cmd.Env = []string{"VERBENAGATE_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(v.settings)}
	cmd.Stdout, cmd.Stderr = log, log
	p, err := child.Start(cmd)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = p
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return os.ErrProcessDone
	}
	return v.process.Cmd().Process.Signal(s)
}

// Running reports whether the process has not ended.
func (v *VM) Running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return false
	}
	select {
	case <-v.process.Ended():
		return false
	default:
		return true
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (v *VM) Kill() {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Cmd().Process.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// isReady asks the VM what the load balancer asks.
func (v *VM) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// errNoAnswer means that a VM ended a connection without an answer.
var errNoAnswer = errors.New("no answer")

// OpenSession opens a session of a database at the VM and closes it. It reports whether the VM knows the database.
func (v *VM) OpenSession(database string) (known bool, err error) {
	conn, err := net.DialTimeout("tcp4", v.callers, probeTimeout)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := fmt.Fprintf(conn, "START %s probe\r\n", database); err != nil {
		return false, err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	switch {
	case strings.HasPrefix(line, "READY "):
		_, _ = fmt.Fprint(conn, "BYE\r\n")
		return true, nil
	case strings.HasPrefix(line, "ERR NODB"):
		return false, nil
	case err != nil:
		return false, err
	}
	return false, fmt.Errorf("%w: %q", errNoAnswer, line)
}

package proof

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/lab/child"
	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

// buildProgram builds verbenagate once per test run and returns the path of the binary.
var buildProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(binaryDir, "verbenagate")
	out, err := exec.Command("go", "build", "-o", path, "verbenagate/cmd/verbenagate").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if binaryDir, err = os.MkdirTemp("", "proof"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer func() { _ = os.RemoveAll(binaryDir) }()
		return m.Run()
	}())
}

// vm is a VM that runs in a process of its own.
type vm struct {
	id           string
	dataCentre   string
	listen       [4]string // callers, peers, operators, metrics
	platform     *fault.Link
	peers        *proxy      // between the other VMs and this VM
	callers      *fault.Link // between callers and this VM
	settings     string
	maxOpenFiles int // limit of open files; 0 means the limit of the test process

	log     *bytes.Buffer
	process *child.Process // nil while the VM is not running
}

// deployment is a deployment whose platform and servers run in the test process and whose VMs run in processes of their own.
type deployment struct {
	t           *testing.T
	ctx         context.Context
	site        *site.Site
	proxies     []*proxy
	net         *network
	maxAge      time.Duration
	dataCentres []string
	vmIDs       []string

	mu  sync.Mutex
	vms map[string]*vm
}

// deploymentSize holds the numbers of VMs and servers and the settings of a deployment.
type deploymentSize struct {
	vms, servers         int
	lag, maxAge, timeout time.Duration
	ack                  svcdef.Ack
}

func newDeployment(t *testing.T, o deploymentSize) *deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	w := &deployment{
		t: t, ctx: ctx, dataCentres: []string{"east", "west", "north"}, vms: map[string]*vm{}, net: newNetwork(), maxAge: o.maxAge,
	}
	t.Cleanup(w.close) // ends the VM processes even if newDeployment fails below
	var err error
	w.site, err = site.New(ctx, site.Spec{
		DataCentres: w.dataCentres, OpenDelay: 2 * time.Millisecond, ServiceTime: time.Millisecond, Lag: o.lag,
		NetDelay: time.Millisecond, NewLink: w.newServerProxy, NewAddress: freePort,
		Services: []site.ServiceSpec{{
			Name: service, Servers: o.servers, Slots: 5, Connections: 35, Ack: o.ack, Callers: callers, MaxAge: o.maxAge,
			Timeout: o.timeout,
		}},
	}, nil)
	w.check(err)
	w.check(w.net.addServers(w.servers(), w.proxies, w.dataCentres))
	for i := range o.vms {
		w.addVM(fmt.Sprintf("vm%d", i+1), w.dataCentres[i%len(w.dataCentres)])
	}
	for _, id := range w.vmIDs {
		w.startVM(id)
	}
	w.await("a VM accepts the definition", 20*time.Second, func() error { return w.apply("vm1", "0", w.definition()) })
	for _, id := range w.vmIDs {
		w.awaitServing(id)
	}
	return w
}

func (w *deployment) newServerProxy() (site.Link, error) {
	g, err := newServerProxy()
	if err != nil {
		return nil, err
	}
	w.proxies = append(w.proxies, g)
	return g, nil
}

func (w *deployment) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// await calls f until it succeeds, and fails the test if it does not within limit.
func (w *deployment) await(what string, limit time.Duration, f func() error) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) || w.ctx.Err() != nil {
			w.t.Fatalf("%s: not achieved within %v: %v", what, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// addVM writes the settings of a VM and adds it to the network without starting it. Seeds are the ids of the VMs that its
// settings list in peers.seeds.
func (w *deployment) addVM(id, dataCentre string, seeds ...string) {
	v := &vm{id: id, dataCentre: dataCentre, log: &bytes.Buffer{}}
	var err error
	for i := range v.listen {
		v.listen[i], err = freePort()
		w.check(err)
	}
	v.platform, v.peers, err = w.net.addVM(id, dataCentre, v.listen[1], w.site.Platform().Addr())
	w.check(err)
	w.check(v.peers.Refuse(true)) // until the process is started
	v.callers, err = fault.New(v.listen[0])
	w.check(err)
	w.t.Cleanup(v.callers.Close)
	v.settings = filepath.Join(w.t.TempDir(), id+".yaml")
	text := fmt.Sprintf("vm: {id: %s, data_centre: %s}\nlisten: {callers: \"%s\", peers: \"%s\", peers_announce: \"%s\", "+
		"operators: \"%s\", metrics: \"%s\"}\n"+
		"platform: {url: \"http://%s\"}\ntiming: {drain_limit: 25s}\n",
		id, dataCentre, v.listen[0], v.listen[1], v.peers.Addr(), v.listen[2], v.listen[3], v.platform.Addr())
	if len(seeds) > 0 {
		var at []string
		for _, s := range seeds {
			at = append(at, strconv.Quote(w.vm(s).peers.Addr()))
		}
		text += fmt.Sprintf("peers: {seeds: [%s]}\n", strings.Join(at, ", "))
	}
	w.check(os.WriteFile(v.settings, []byte(text), 0o600))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms[id] = v
	w.vmIDs = append(w.vmIDs, id)
}

// startVM starts the process of a VM.
func (w *deployment) startVM(id string) {
	w.t.Helper()
	path, err := buildProgram()
	w.check(err)
	v := w.vm(id)
	w.check(v.peers.Refuse(false))
	cmd := exec.Command(path, "serve", "--config", v.settings)
	if v.maxOpenFiles > 0 {
		// The shell sets the limit for itself and then replaces itself with the program by exec.
		cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(v.maxOpenFiles), path, "serve", "--config", v.settings)
	}
	cmd.Stderr = v.log
	p, err := child.Start(cmd)
	w.check(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	v.process = p
}

func (w *deployment) vm(id string) *vm {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vms[id] == nil {
		w.t.Fatalf("there is no VM %q", id)
	}
	return w.vms[id]
}

// signal sends a signal to the process of a VM.
func (w *deployment) signal(id string, s syscall.Signal) {
	w.t.Helper()
	v := w.vm(id)
	if v.process == nil {
		w.t.Fatalf("%s is not running", id)
	}
	w.check(v.process.Cmd().Process.Signal(s))
}

// awaitExit waits until the process of a VM has ended and returns its exit error, or nil for exit code 0.
func (w *deployment) awaitExit(id string, limit time.Duration) error {
	w.t.Helper()
	v := w.vm(id)
	select {
	case <-v.process.Ended():
	case <-time.After(limit):
		w.t.Fatalf("%s has not ended within %v", id, limit)
	}
	// Refuse connections from other VMs, as the kernel does for a process that has ended.
	w.check(v.peers.Refuse(true))
	w.mu.Lock()
	defer w.mu.Unlock()
	err := v.process.Err()
	v.process = nil
	return err
}

// close kills all VM processes and closes the site and the network.
func (w *deployment) close() {
	w.mu.Lock()
	for id, v := range w.vms {
		if v.process != nil {
			_ = v.process.Cmd().Process.Kill() // fails only if the process has ended already
			<-v.process.Ended()
		}
		if w.t.Failed() {
			w.t.Logf("last lines of %s:\n%s", id, lastLines(v.log.Bytes()))
		}
	}
	w.mu.Unlock()
	if w.site != nil {
		w.site.Close()
	}
	w.net.close()
}

func lastLines(b []byte) []byte {
	const limit = 3000
	return b[max(0, len(b)-limit):]
}

// cli runs a command of verbenagate against the operators' port of a VM.
func (w *deployment) cli(id string, args ...string) error {
	path, err := buildProgram()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, 15*time.Second)
	defer cancel()
	args = append([]string{"--server", w.vm(id).listen[2], "--timeout", "10s", "--author", "proof"}, args...)
	if out, err := exec.CommandContext(ctx, path, args...).CombinedOutput(); err != nil {
		return fmt.Errorf("%v: %w: %s", args, err, out)
	}
	return nil
}

// definition returns the definition of the service with its current callers.
func (w *deployment) definition() svcdef.Spec { return w.site.Definition(service) }

// apply changes the service with the command `service apply` through a VM, based on a revision, or on the current one if based
// is empty.
func (w *deployment) apply(id, based string, spec svcdef.Spec) error {
	text, err := yaml.Marshal(map[string]any{"services": []svcdef.Spec{spec}})
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(w.t.TempDir(), "service*.yaml")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	args := []string{"service", "apply", "-f", f.Name()}
	if based != "" {
		args = append(args, "--based-on", based)
	}
	return w.cli(id, args...)
}

// operator connects to the operators' service of a VM and calls f with the client.
func (w *deployment) operator(id string, f func(ctx context.Context, c *admin.Client) error) error {
	c, err := admin.Dial(w.vm(id).listen[2])
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	return f(ctx, c)
}

// revision returns the revision in force on a VM.
func (w *deployment) revision(id string) (n uint64, err error) {
	err = w.operator(id, func(ctx context.Context, c *admin.Client) error {
		_, n, err = c.List(ctx)
		return err
	})
	return n, err
}

// connect opens a caller's connection to the database through a VM.
func (w *deployment) connect(ctx context.Context, address, user, password, database string) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=5", user, password,
		address, database))
}

// awaitServing waits until a VM answers a read of a new session, which needs a barrier.
func (w *deployment) awaitServing(id string) {
	w.t.Helper()
	w.await(id+" serves", 20*time.Second, func() error {
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		c, err := w.connect(ctx, w.vm(id).listen[0], site.User(0), site.Password, service)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(ctx) }()
		return c.ExecParams(ctx, load.ReadSQL, [][]byte{[]byte("0")}, nil, nil, nil).Read().Err
	})
}

func (w *deployment) target() load.Target {
	t := load.Target{Database: service, User: site.User, Password: site.Password}
	for _, id := range w.vmIDs {
		t.VMs = append(t.VMs, w.vm(id).callers.Addr())
	}
	return t
}

func (w *deployment) servers() []*server.Server { return w.site.Group(service) }

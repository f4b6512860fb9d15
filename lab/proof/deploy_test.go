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

// program builds the program once per test run.
var program = sync.OnceValues(func() (string, error) {
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

// vm is one VM in a process of its own.
type vm struct {
	id         string
	dataCentre string
	listen     [4]string // callers, peers, operators, metrics
	platform   *fault.Link
	peers      *proxy      // between other VMs and the VM
	callers    *fault.Link // between callers and the VM
	settings   string
	files      int // limit of open files; that of the test process if 0

	log     *bytes.Buffer
	process *child.Process // nil while it does not run
}

// deployment has a platform and servers in the test process and VMs in processes of their own.
type deployment struct {
	t       *testing.T
	ctx     context.Context
	site    *site.Site
	proxies []*proxy
	net     *network
	maxAge  time.Duration
	dcs     []string
	order   []string

	mu  sync.Mutex
	vms map[string]*vm
}

// size describes a deployment.
type size struct {
	vms, servers         int
	lag, maxAge, timeout time.Duration
	ack                  svcdef.Ack
}

func newDeployment(t *testing.T, o size) *deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	w := &deployment{
		t: t, ctx: ctx, dcs: []string{"east", "west", "north"}, vms: map[string]*vm{}, net: newNetwork(), maxAge: o.maxAge,
	}
	t.Cleanup(w.close) // ends the processes, also when the rest fails
	var err error
	w.site, err = site.New(ctx, site.Spec{
		DataCentres: w.dcs, OpenDelay: 2 * time.Millisecond, ServiceTime: time.Millisecond, Lag: o.lag,
		NetDelay: time.Millisecond, NewLink: w.newServerProxy, NewAddress: freePort,
		Services: []site.ServiceSpec{{
			Name: service, Servers: o.servers, Slots: 5, Connections: 35, Ack: o.ack, Callers: callers, MaxAge: o.maxAge,
			Timeout: o.timeout,
		}},
	}, nil)
	w.check(err)
	w.check(w.net.addServers(w.servers(), w.proxies, w.dcs))
	for i := range o.vms {
		w.add(fmt.Sprintf("vm%d", i+1), w.dcs[i%len(w.dcs)])
	}
	for _, id := range w.order {
		w.run(id)
	}
	w.await("a VM accepts the definition", 20*time.Second, func() error { return w.apply("vm1", "0", w.definition()) })
	for _, id := range w.order {
		w.serves(id)
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

// await repeats f until it succeeds.
func (w *deployment) await(what string, limit time.Duration, f func() error) {
	w.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) || w.ctx.Err() != nil {
			w.t.Fatalf("%s: not within %v: %v", what, limit, err)
		}
		time.Sleep(step)
	}
}

// add prepares a VM. Seeds are VMs whose addresses its settings name.
func (w *deployment) add(id, dataCentre string, seeds ...string) {
	v := &vm{id: id, dataCentre: dataCentre, log: &bytes.Buffer{}}
	var err error
	for i := range v.listen {
		v.listen[i], err = freePort()
		w.check(err)
	}
	v.platform, v.peers, err = w.net.addVM(id, dataCentre, v.listen[1], w.site.Platform().Addr())
	w.check(err)
	w.check(v.peers.Refuse(true)) // until the process runs
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
	w.order = append(w.order, id)
}

// run starts the process of a VM.
func (w *deployment) run(id string) {
	w.t.Helper()
	path, err := program()
	w.check(err)
	v := w.vm(id)
	w.check(v.peers.Refuse(false))
	cmd := exec.Command(path, "serve", "--config", v.settings)
	if v.files > 0 {
		// The limit applies to the shell, which then becomes the program.
		cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(v.files), path, "serve", "--config", v.settings)
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
		w.t.Fatalf("%s does not run", id)
	}
	w.check(v.process.Cmd().Process.Signal(s))
}

// gone waits until the process of a VM has ended and returns how it ended.
func (w *deployment) gone(id string, limit time.Duration) error {
	w.t.Helper()
	v := w.vm(id)
	select {
	case <-v.process.Ended():
	case <-time.After(limit):
		w.t.Fatalf("%s has not ended within %v", id, limit)
	}
	// The kernel refuses connections to the address of a process that has ended.
	w.check(v.peers.Refuse(true))
	w.mu.Lock()
	defer w.mu.Unlock()
	err := v.process.Err()
	v.process = nil
	return err
}

// close ends all processes by their ids.
func (w *deployment) close() {
	w.mu.Lock()
	for id, v := range w.vms {
		if v.process != nil {
			_ = v.process.Cmd().Process.Kill() // fails if it has ended
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

// cli runs a command of the program against a VM.
func (w *deployment) cli(id string, args ...string) error {
	path, err := program()
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

// definition returns the service with the present callers.
func (w *deployment) definition() svcdef.Spec { return w.site.Definition(service) }

// apply changes the service with the command line. An empty revision means the current one.
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

// operator calls the operators' service of a VM.
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

// connect opens a connection of a caller through a VM.
func (w *deployment) connect(ctx context.Context, address, user, password, database string) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=5", user, password,
		address, database))
}

// serves waits until a VM answers a read that needs a barrier.
func (w *deployment) serves(id string) {
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
	for _, id := range w.order {
		t.VMs = append(t.VMs, w.vm(id).callers.Addr())
	}
	return t
}

func (w *deployment) servers() []*server.Server { return w.site.Group(service) }

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"verbenagate/lab/ports"
	"verbenagate/lab/rows"
)

// Figures of a small deployment of the users.
const (
	graceTime       = 6 * time.Second
	heartbeat       = 1200 * time.Millisecond
	readyTimeout    = 15 * time.Second
	silentCallLimit = time.Minute
	program         = "target/verbenaentry"
)

// recorder writes what was sent, answered and run to record.txt. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	out   io.WriteCloser
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: f, start: time.Now()}, nil
}

// printf writes one line with the time since the start.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// world is a small deployment: the platform's store, one service of database servers, and the VMs.
type world struct {
	rec   *recorder
	dir   string
	store *rows.Store
	group *group
	vms   []*vm
	ports []*ports.Reservation
	stop  context.CancelFunc

	mu        sync.Mutex
	version   int
	databases []route
}

// route is a route of the configuration.
type route struct {
	database, kind string
	timeout        time.Duration
}

// newWorld starts the store and a service, and writes the first configuration.
func newWorld(rec *recorder, zones []string, syncReplicas int, routes []route) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &world{rec: rec, dir: dir, stop: stop}
	if w.group, err = newGroup("ledger", zones, syncReplicas); err != nil {
		return nil, err
	}
	w.store, err = rows.Start(func(p rows.PromoteRequest) error {
		err := w.group.promote(p.ID)
		rec.printf("platform: promote %s holder=%s token=%d err=%v", p.ID, p.Holder, p.Token, err)
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, s := range w.group.servers {
		go w.beat(ctx, s)
	}
	w.configure(routes)
	return w, nil
}

// beat registers a server, and renews its entry until ctx ends or the server is down. A server that is down leaves the table after
// three intervals of silence.
func (w *world) beat(ctx context.Context, s *server) {
	missed := 0
	for sequence := 1; ctx.Err() == nil; sequence++ {
		down := false
		w.group.set(func() { down = s.down })
		if down {
			missed++
		} else {
			w.store.Put("servers", s.id, s.beat(sequence))
		}
		if missed == 4 {
			w.store.Remove("servers", s.id)
			return
		}
		time.Sleep(heartbeat)
	}
}

// configure writes the next version of the configuration, and returns when it was acknowledged.
func (w *world) configure(routes []route) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.databases = routes
	var texts []string
	for _, r := range routes {
		texts = append(texts, fmt.Sprintf(`{"name":"r-%s","database":%q,"prefix":"/","routeKind":%q,"timeoutMs":%d,"targetLatencyMs":400,`+
			`"priority":1,"service":%q,"maxAttempts":2,"maxStalenessMs":2500}`, r.database, r.database, r.kind, r.timeout.Milliseconds(),
			w.group.name))
	}
	w.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConns":%d,`+
		`"protocol":"h1","tls":false,"syncReplicas":%d}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,`+
		`"idleTimeoutMs":15000,"txIdleMs":3000}}`, w.version, strings.Join(texts, ","), w.group.name, serverMaxConns, w.group.syncReplicas))
	w.rec.printf("operator: configuration %d acknowledged, routes %v", w.version, routes)
	return time.Now()
}

// close ends all that the world started.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
		v.gate.close()
	}
	w.stop()
	w.group.close()
	_ = w.store.Close()
	for _, r := range w.ports {
		_ = r.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// vm is a VM of the deployment. Its process is started with the command of the deploy file.
type vm struct {
	w              *world
	name, zone     string
	callers, ready string
	metrics        string
	settings       string
	gate           *storeGate
	process        *child.Process
}

// addVM starts a VM in a zone.
func (w *world) addVM(name, zone string) (*vm, error) {
	gate, err := newStoreGate(w.store.Addr())
	if err != nil {
		return nil, err
	}
	v := &vm{w: w, name: name, zone: zone, gate: gate, settings: filepath.Join(w.dir, name+".yaml")}
	var addresses [4]string
	for i := range addresses {
		r, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		w.ports = append(w.ports, r)
		addresses[i] = r.Addr()
	}
	v.callers, v.ready, v.metrics = addresses[0], addresses[1], addresses[2]
	text := fmt.Sprintf("vm: %s\ndata_centre: %s\ncallers: %s\nready: %s\nmetrics: %s\npeers: %s\nstore: %s\norders: %s\ngrace_s: %d\ncores: 0.4\n",
		name, zone, v.callers, v.ready, addresses[2], addresses[3], gate.address(), w.store.Addr(), int(graceTime.Seconds()))
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.vms = append(w.vms, v)
	return v, v.start()
}

// start starts the process of the VM.
func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"VERBENAGATE_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + v.w.dir}
	cmd.Stdout, cmd.Stderr = log, log
	v.process, err = child.Start(cmd)
	v.w.rec.printf("platform: %s started, err=%v", v.name, err)
	return err
}

// signal sends a signal to the process of the VM.
func (v *vm) signal(s syscall.Signal) {
	v.w.rec.printf("platform: %s to %s", s, v.name)
	_ = v.process.Cmd().Process.Signal(s)
}

// ended reports whether the process has ended.
func (v *vm) ended() bool {
	select {
	case <-v.process.Ended():
		return true
	default:
		return false
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (v *vm) kill() {
	if v.process == nil || v.ended() {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.process.Ended()
}

// isReady asks the VM what the load balancer asks.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a VM did not become ready")

// awaitReady waits until all VMs are ready.
func (w *world) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, v := range w.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.printf("platform: all VMs are ready")
	return nil
}

// storeGate is the path of one VM to the store. While it is silent, the VM gets no answer: its calls are not carried out, and the
// answers to earlier calls are lost. A connection on which an answer was lost delivers nothing more.
type storeGate struct {
	listener net.Listener
	server   *http.Server
	target   string

	mu     sync.Mutex
	silent bool
}

func newStoreGate(target string) (*storeGate, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &storeGate{listener: l, target: target}
	g.server = &http.Server{Handler: http.HandlerFunc(g.pass), ReadHeaderTimeout: time.Second}
	go func() { _ = g.server.Serve(l) }()
	return g, nil
}

func (g *storeGate) address() string { return g.listener.Addr().String() }

func (g *storeGate) close() { _ = g.server.Close() }

func (g *storeGate) setSilent(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = on
}

func (g *storeGate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

// pass carries out a call of the VM at the store.
func (g *storeGate) pass(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var answer []byte
	status := 0
	if !g.isSilent() {
		if status, answer, err = g.call(r, body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if g.isSilent() || status == 0 {
		t := time.NewTimer(silentCallLimit)
		defer t.Stop()
		select {
		case <-r.Context().Done():
		case <-t.C:
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (g *storeGate) call(r *http.Request, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+g.target+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// state returns the state dump of the VM.
func (v *vm) state() string {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.metrics + "/state")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

package main

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
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenagate/lab/child"
	"verbenagate/lab/fault"
	"verbenagate/lab/ports"
	"verbenagate/lab/rows"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	lines []string
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}

// saw reports whether a line contains text.
func (r *recorder) saw(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.lines, func(line string) bool { return strings.Contains(line, text+" ") })
}

// fleet is a small deployment: VMs of the program under test, a store and a database.
type fleet struct {
	dir      string
	program  string
	record   *recorder
	store    *rows.Store
	db       *database
	vms      []*vm
	stopBeat context.CancelFunc
}

// vm is a process of the program under test.
type vm struct {
	name, zone           string
	settings             string
	callers, ready, meta string
	link                 *fault.Link // its path to the store
	tap                  *tap        // on the same path
	process              *child.Process
}

const readyTimeout = 25 * time.Second

// startFleet starts the stand-ins and one VM for each element of zones. Work says how long the servers take for a statement.
func startFleet(dir, program string, record *recorder, zones []string, work func(verb string) time.Duration) (*fleet, error) {
	f := &fleet{dir: dir, program: program, record: record}
	var err error
	if f.db, err = newDatabase("ledger", 3, zones, record, work); err != nil {
		return nil, err
	}
	f.store, err = rows.Start(func(p rows.PromoteRequest) error {
		record.add("platform: %s promotes %s with token %d", p.Holder, p.ID, p.Token)
		return f.db.promote(p.ID)
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stopBeat = cancel
	f.beat(1)
	go func() {
		for sequence := 2; ctx.Err() == nil; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			f.beat(sequence)
		}
	}()
	for i, zone := range zones {
		if err := f.addVM(fmt.Sprintf("front-%d", i), zone); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// beat writes the entries of all servers.
func (f *fleet) beat(sequence int) {
	for _, s := range f.db.servers {
		f.store.Put("servers", s.id, s.row(sequence))
	}
}

func (f *fleet) addVM(name, zone string) error {
	link, err := fault.New(f.store.Addr())
	if err != nil {
		return err
	}
	t, err := newTap(link.Addr())
	if err != nil {
		return err
	}
	var addresses [4]string
	for i := range addresses {
		r, err := ports.Reserve()
		if err != nil {
			return err
		}
		addresses[i] = r.Addr()
	}
	v := &vm{
		name: name, zone: zone, settings: filepath.Join(f.dir, name+".yaml"), callers: addresses[0], ready: addresses[1], meta: addresses[2],
		link: link, tap: t,
	}
	text := fmt.Sprintf("vm: %s\ndata_centre: %s\ncallers: %s\nready: %s\nmetrics: %s\npeers: %s\nstore: %s\norders: %s\n"+
		"grace_s: 6\ncores: 0.4\nmemory_mb: 284\ndescriptors: 4200\n",
		name, zone, v.callers, v.ready, v.meta, addresses[3], t.listener.Addr(), f.store.Addr())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	return f.startVM(v)
}

// startVM starts the process of a VM with the command of the deploy file.
func (f *fleet) startVM(v *vm) error {
	log, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.program, "serve")
	cmd.Env = []string{"VERBENAGATE_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = log, log
	v.process, err = child.Start(cmd)
	return err
}

func (f *fleet) configure(version int, routes string) time.Time {
	f.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"maxConns":%d,"syncReplicas":0}],`+
		`"limits":{"txIdleMs":3000}}`, version, routes, f.db.name, serverConns))
	f.record.add("platform: configuration %d acknowledged: %s", version, routes)
	return time.Now()
}

func route(database, kind string, stalenessMS, timeoutMS, targetMS int) string {
	return fmt.Sprintf(`{"database":%q,"routeKind":%q,"maxStalenessMs":%d,"timeoutMs":%d,"targetLatencyMs":%d,"priority":1,"service":"ledger"}`,
		database, kind, stalenessMS, timeoutMS, targetMS)
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) signal(f *fleet, s syscall.Signal) {
	f.record.add("platform: %s to %s", s, v.name)
	_ = v.process.Cmd().Process.Signal(s)
}

// close ends all processes.
func (f *fleet) close() {
	for _, v := range f.vms {
		_ = v.process.Cmd().Process.Signal(syscall.SIGKILL)
		<-v.process.Ended()
	}
	f.stopBeat()
	_ = f.store.Close()
}

// client is a session of a client.
type client struct {
	name   string
	record *recorder
	conn   net.Conn
	r      *bufio.Reader
	n      int
}

var errRefused = errors.New("the session was refused")

func dialClient(record *recorder, name string, v *vm, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", v.callers, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: record, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	record.add("client %s to %s: START %s", name, v.name, database)
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := c.r.ReadString('\n')
	record.add("client %s gets %q", name, strings.TrimSpace(line))
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: %q %w", errRefused, line, err)
	}
	return c, nil
}

// answer is what a client received for a request.
type answer struct {
	id, code, state string // code is "" after success
	signed          bool
	err             error // the connection ended before the whole answer
	took            time.Duration
}

// do sends a request and waits for the whole answer.
func (c *client) do(text string, limit time.Duration) answer {
	c.n++
	a := answer{id: fmt.Sprintf("%s-%04d", c.name, c.n)}
	c.record.add("client %s sends %s %s", c.name, a.id, text)
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(limit))
	if _, a.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); a.err != nil {
		c.record.add("client %s cannot send %s: %v", c.name, a.id, a.err)
		return a
	}
	for a.state == "" {
		line, err := c.r.ReadString('\n')
		if err != nil {
			a.err = err
			break
		}
		f := strings.Fields(line)
		switch f[0] {
		case "DONE":
			a.signed = f[1] != "-"
		case "ERR":
			a.code = f[1]
		case "READY":
			a.state = f[1]
		}
	}
	a.took = time.Since(began)
	if a.err != nil {
		c.record.add("client %s gets no whole answer to %s after %s: %v", c.name, a.id, a.took.Round(time.Millisecond), a.err)
	} else {
		c.record.add("client %s gets for %s: code %q, signed %t, state %s, after %s", c.name, a.id, a.code, a.signed, a.state,
			a.took.Round(time.Millisecond))
	}
	return a
}

func (c *client) close() { _ = c.conn.Close() }

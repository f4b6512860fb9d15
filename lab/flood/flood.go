// Package flood plays callers that do not stay inside the limits against one process of the program, and observes the memory and the
// descriptors of the process.
package flood

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenagate/lab/fleet"
)

// database is the one database of the deployment.
const database = "plots"

// Site is a deployment with one VM.
type Site struct {
	fleet *fleet.Fleet
	vm    *fleet.VM
	usage *usage
}

// Start starts a deployment whose VM has the given memory in MB and descriptors, and waits until the VM is ready.
func Start(dir, program string, memoryMB, descriptors int) (*Site, error) {
	f, err := fleet.StartWith(dir, program, 1, 1, fmt.Sprintf("memory_mb: %d\ndescriptors: %d\n", memoryMB, descriptors))
	if err != nil {
		return nil, err
	}
	f.Store().Put("op", "config", fmt.Appendf(nil,
		`{"version":1,"routes":[{"database":%q,"routeKind":"read_your_writes","maxStalenessMs":2500,"timeoutMs":1500,"service":"ledger"}],`+
			`"services":[{"name":"ledger","maxConns":20}],"limits":{"txIdleMs":2000}}`, database))
	if err := f.AwaitReady(); err != nil {
		f.Close()
		return nil, err
	}
	s := &Site{fleet: f, vm: f.VMs()[0]}
	s.usage = observe(s.vm)
	return s, nil
}

// Close ends the deployment.
func (s *Site) Close() {
	s.usage.stop()
	s.fleet.Close()
}

// Alive reports whether the process that Start started still runs.
func (s *Site) Alive() bool { return s.vm.Running() }

// Peak returns the greatest use that was observed: bytes of memory, received bytes that the process had not read included, and open
// sockets and pipes.
func (s *Site) Peak() (memory int64, sockets int) { return s.usage.peak() }

// usage observes a process.
type usage struct {
	pid  int
	port string // of the callers, as /proc/net/tcp writes it
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	memory  int64
	sockets int
}

const sampleInterval = 25 * time.Millisecond

func observe(v *fleet.VM) *usage {
	_, port, _ := net.SplitHostPort(v.Callers())
	n, _ := strconv.Atoi(port)
	u := &usage{pid: v.PID(), port: fmt.Sprintf("%04X", n), done: make(chan struct{})}
	u.wg.Go(func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			select {
			case <-u.done:
				return
			case <-t.C:
				u.sample()
			}
		}
	})
	return u
}

func (u *usage) stop() {
	close(u.done)
	u.wg.Wait()
}

func (u *usage) sample() {
	resident, highest := residentBytes(u.pid)
	unread, sockets := unreadBytes(u.port), openSockets(u.pid)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.memory = max(u.memory, highest, resident+unread)
	u.sockets = max(u.sockets, sockets)
}

func (u *usage) peak() (memory int64, sockets int) {
	u.sample()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.memory, u.sockets
}

// residentBytes returns the resident memory of a process, now and at its peak.
func residentBytes(pid int) (resident, highest int64) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			resident = n << 10
		case "VmHWM:":
			highest = n << 10
		}
	}
	return resident, highest
}

// unreadBytes returns the bytes that have arrived at a local port and were not read by the process.
func unreadBytes(port string) int64 {
	data, _ := os.ReadFile("/proc/net/tcp")
	total := int64(0)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasSuffix(f[1], ":"+port) || f[3] == "0A" {
			continue // 0A is a listening socket, whose queue counts connections.
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += n
	}
	return total
}

// openSockets returns the number of sockets and pipes that a process has open.
func openSockets(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	n := 0
	for _, e := range entries {
		to, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && (strings.HasPrefix(to, "socket:") || strings.HasPrefix(to, "pipe:")) {
			n++
		}
	}
	return n
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

var errRefused = errors.New("refused")

// connect opens a connection without a session.
func (s *Site) connect() (*caller, error) {
	conn, err := net.DialTimeout("tcp4", s.vm.Callers(), 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// open opens a session.
func (s *Site) open() (*caller, error) {
	c, err := s.connect()
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "START "+database+" u1\r\n"); err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY ") {
			err = fmt.Errorf("%w: %q", errRefused, line)
		}
		if err == nil {
			return c, c.SetDeadline(time.Time{})
		}
		_ = c.Close()
		return nil, err
	}
	_ = c.Close()
	return nil, err
}

// ask sends a statement and reads its answer. The error is errRefused if the answer is an error.
func (c *caller) ask(text string) error {
	if _, err := io.WriteString(c, "QUERY 1 "+text+"\r\n"); err != nil {
		return err
	}
	return c.answer()
}

// answer reads one answer.
func (c *caller) answer() error {
	refusal := error(nil)
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return err
		}
		switch {
		case strings.HasPrefix(line, "ERR "):
			refusal = fmt.Errorf("%w: %.60q", errRefused, line)
		case strings.HasPrefix(line, "READY "):
			return refusal
		}
	}
}

// resident returns the resident memory of the process, now and at its peak.
func (s *Site) resident() (resident, highest int64) { return residentBytes(s.vm.PID()) }

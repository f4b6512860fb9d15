package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"

	"verbenagate/io/config"
	"verbenagate/io/logs"
	"verbenagate/io/node"
)

// childEnv is the environment variable that passes a childTask, as JSON, to a child process.
const childEnv = "VERBENAGATE_SLOPE_CHILD"

// childTask tells a child process what to do: run a VM if VM is set, otherwise open and hold caller connections.
type childTask struct {
	VM      *config.Settings
	Callers int
	Address string
	From    string
	TLS     bool
	SQL     string
}

// childUsage is the resource usage that a child process reports. The memory fields are 0 in the answer to readCPU.
type childUsage struct {
	Heap, Stacks, Resident float64 // bytes
	CPU                    float64 // seconds
}

// readyMessage is the first line that a child process prints: the addresses of its VM, if it runs one, or an error.
type readyMessage struct{ Callers, Operators, Error string }

// Commands to a child process, which answers each with a childUsage.
const (
	readCPU    = "cpu"
	readMemory = "memory" // after a garbage collection
)

// Child reports whether this process was started by a measurement, and if so, runs its task to the end first. Programs that
// run measurements must call it before anything else.
func Child() bool {
	text := os.Getenv(childEnv)
	if text == "" {
		return false
	}
	var t childTask
	err := json.Unmarshal([]byte(text), &t)
	if err == nil {
		err = t.run(context.Background(), os.Stdin, os.Stdout)
	}
	if err != nil {
		_ = json.NewEncoder(os.Stdout).Encode(readyMessage{Error: err.Error()})
		os.Exit(1)
	}
	return true
}

func (t childTask) run(ctx context.Context, in io.Reader, out io.Writer) error {
	var r readyMessage
	if t.VM != nil {
		log, err := logs.New(io.Discard, "json", "error")
		if err != nil {
			return err
		}
		n, err := node.New(*t.VM, log)
		if err != nil {
			return err
		}
		defer n.Close()
		r = readyMessage{Callers: n.CallerAddr(), Operators: n.OperatorAddr()}
	} else {
		l, err := newLogin()
		if err != nil {
			return err
		}
		l.from = &net.TCPAddr{IP: net.ParseIP(t.From)}
		open := make([]*client, t.Callers)
		if err := connectAll(ctx, l, t.Address, t.TLS, t.SQL, open); err != nil {
			return err
		}
		defer runtime.KeepAlive(open) // garbage collection would close the connections
	}
	enc := json.NewEncoder(out)
	if err := enc.Encode(r); err != nil {
		return err
	}
	// The process ends when its input is closed, which also happens when the parent dies.
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if err := enc.Encode(readChildUsage(lines.Text() == readMemory)); err != nil {
			return err
		}
	}
	return nil
}

func readChildUsage(collect bool) childUsage {
	u := currentUsage()
	r := childUsage{CPU: u.cpu.Seconds()}
	if collect {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		r.Heap, r.Stacks, r.Resident = float64(m.HeapInuse), float64(m.StackInuse), residentBytes()
	}
	return r
}

// process is a child process that a measurement started.
type process struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
	readyMessage
}

// launch starts a child process for a task. The caller must call awaitReady next.
func launch(t childTask) (*process, error) {
	if os.Getenv(childEnv) != "" {
		return nil, fmt.Errorf("a program that runs measurements must call slope.Child first")
	}
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(path)}
	p.cmd.Env = append(os.Environ(), childEnv+"="+string(text))
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = json.NewDecoder(out)
	return p, p.cmd.Start()
}

// awaitReady waits until the VM of the task listens, or all its connections are open.
func (p *process) awaitReady() error {
	if err := p.out.Decode(&p.readyMessage); err != nil {
		return fmt.Errorf("child process ended before it was ready: %w", err)
	}
	if p.Error != "" {
		return fmt.Errorf("child process failed: %s", p.Error)
	}
	return nil
}

func (p *process) request(command string) (r childUsage, err error) {
	if _, err = fmt.Fprintln(p.in, command); err == nil {
		err = p.out.Decode(&r)
	}
	return r, err
}

func (p *process) close() {
	_ = p.in.Close()
	_ = p.cmd.Wait() // the exit status does not matter, only that the process has ended
}

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

// childEnv has the task of a process that a measurement started, as JSON.
const childEnv = "VERBENAGATE_SLOPE_CHILD"

// task is what a process of a measurement does: run a VM, or open and hold connections of callers.
type task struct {
	VM      *config.Settings
	Callers int
	Address string
	From    string
	TLS     bool
	SQL     string
}

// reading is what a process reports about itself.
type reading struct {
	Heap, Stacks, Resident float64 // bytes
	CPU                    float64 // seconds
}

// ready is the first line of a process.
type ready struct{ Callers, Operators, Error string }

// Commands to a process, each answered by a reading.
const (
	readCPU    = "cpu"
	readMemory = "memory" // after a garbage collection
)

// Child carries out the task of a process that a measurement started, and reports whether this is one. Programs that run
// measurements call it first.
func Child() bool {
	text := os.Getenv(childEnv)
	if text == "" {
		return false
	}
	var t task
	err := json.Unmarshal([]byte(text), &t)
	if err == nil {
		err = t.run(context.Background(), os.Stdin, os.Stdout)
	}
	if err != nil {
		_ = json.NewEncoder(os.Stdout).Encode(ready{Error: err.Error()})
		os.Exit(1)
	}
	return true
}

func (t task) run(ctx context.Context, in io.Reader, out io.Writer) error {
	var r ready
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
		r = ready{Callers: n.CallerAddr(), Operators: n.OperatorAddr()}
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
		defer runtime.KeepAlive(open) // a connection that is collected is closed
	}
	enc := json.NewEncoder(out)
	if err := enc.Encode(r); err != nil {
		return err
	}
	// The end of the input, also by the death of the other process, ends this one.
	for lines := bufio.NewScanner(in); lines.Scan(); {
		if err := enc.Encode(read(lines.Text() == readMemory)); err != nil {
			return err
		}
	}
	return nil
}

func read(collect bool) reading {
	u := used()
	r := reading{CPU: u.cpu.Seconds()}
	if collect {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		r.Heap, r.Stacks, r.Resident = float64(m.HeapInuse), float64(m.StackInuse), resident()
	}
	return r
}

// process is a process that a measurement started.
type process struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
	ready
}

// launch starts a process for a task; await must follow.
func launch(t task) (*process, error) {
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

// await waits until the task has begun: the VM listens, or all connections are open.
func (p *process) await() error {
	if err := p.out.Decode(&p.ready); err != nil {
		return fmt.Errorf("a process of the measurement ended: %w", err)
	}
	if p.Error != "" {
		return fmt.Errorf("a process of the measurement failed: %s", p.Error)
	}
	return nil
}

func (p *process) ask(command string) (r reading, err error) {
	if _, err = fmt.Fprintln(p.in, command); err == nil {
		err = p.out.Decode(&r)
	}
	return r, err
}

func (p *process) close() {
	_ = p.in.Close()
	_ = p.cmd.Wait() // its end by itself is all that counts
}

package slope

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards TCP connections to a target and counts the bytes. The target may change; open connections keep theirs.
type relay struct {
	ln       net.Listener
	target   atomic.Pointer[string]
	up, down atomic.Int64
	// reads counts the reads from both sides, which approximates the number of TCP segments.
	reads atomic.Int64
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newRelay(target string) (*relay, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, conns: map[net.Conn]bool{}}
	r.target.Store(&target)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.connect(c)
		}
	}()
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) connect(c net.Conn) {
	s, err := new(net.Dialer).DialContext(context.Background(), "tcp", *r.target.Load())
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c], r.conns[s] = true, true
	r.mu.Unlock()
	r.wg.Add(2)
	go r.copy(s, c, &r.up)
	go r.copy(c, s, &r.down)
}

func (r *relay) copy(to, from net.Conn, count *atomic.Int64) {
	defer r.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		count.Add(int64(n))
		r.reads.Add(1)
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range []net.Conn{to, from} {
		delete(r.conns, c)
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// overheadPerSegment is the bytes that TCP, with the timestamp option, and IP add to each segment. Acknowledgements without
// data are not counted.
const overheadPerSegment = 52

// wireBytes returns the bytes transferred so far in both directions, with the overhead of TCP and IP.
func (r *relay) wireBytes() float64 {
	return float64(r.up.Load() + r.down.Load() + overheadPerSegment*r.reads.Load())
}

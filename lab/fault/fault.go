// Package fault is a TCP proxy that injects network faults into the connections of one link.
package fault

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// The directions, as seen from the client that connects to the link.
const (
	ToServer Direction = iota
	ToClient
)

// Retransmit is the extra delay of a lost packet. It is the minimum retransmission timeout of TCP on Linux.
const Retransmit = 200 * time.Millisecond

const (
	// chunkSize bounds the bytes that are forwarded as one packet.
	chunkSize = 16 << 10
	// queueSize bounds the chunks in transit; a full queue stops the sender as a full socket buffer does.
	queueSize = 64
)

// Link forwards connections to one target.
type Link struct {
	target string
	addr   string
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	ln      net.Listener // nil while refusing
	changed chan struct{}
	flow    [2]flow
	conns   map[*net.TCPConn]bool
	opened  int
}

// flow is the state of one direction.
type flow struct {
	cut    bool
	delay  time.Duration
	loss   float64
	random *rand.Rand
}

// New starts a link to the target, which listens on a free port of 127.0.0.1.
func New(target string) (*Link, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{target: target, addr: "127.0.0.1:0", ctx: ctx, stop: stop, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	if err := l.listen(); err != nil {
		stop()
		return nil, err
	}
	return l, nil
}

// listen opens the listener. It is called before the link is shared or with mu held.
func (l *Link) listen() error {
	ln, err := Listen(l.addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", l.addr, err)
	}
	l.ln, l.addr = ln, ln.Addr().String()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.serve(c.(*net.TCPConn))
			}()
		}
	}()
	return nil
}

// Addr returns the address that clients connect to.
func (l *Link) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// SetTarget changes where new connections lead.
func (l *Link) SetTarget(target string) { l.set(func() { l.target = target }) }

// Opened returns the number of connections that reached the target.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Close resets all connections and ends the link.
func (l *Link) Close() {
	l.stop()
	_ = l.Refuse(true)
	l.Reset()
	l.wg.Wait()
}

func (l *Link) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetDelay sets the one-way latency of a direction. It applies to bytes that arrive afterwards.
func (l *Link) SetDelay(d Direction, delay time.Duration) {
	l.set(func() { l.flow[d].delay = delay })
}

// Cut holds back everything sent in one direction, the end of a connection included, until the cut is lifted.
func (l *Link) Cut(d Direction, cut bool) {
	l.set(func() { l.flow[d].cut = cut })
}

// BlackHole cuts both directions; connections are still accepted, as by a host whose packets are lost on the way.
func (l *Link) BlackHole(on bool) {
	l.set(func() { l.flow[ToServer].cut, l.flow[ToClient].cut = on, on })
}

// SetLoss delays each packet of a direction by Retransmit with the given probability; the seed fixes which ones.
func (l *Link) SetLoss(d Direction, probability float64, seed uint64) {
	l.set(func() { l.flow[d].loss, l.flow[d].random = probability, rand.New(rand.NewPCG(seed, uint64(d))) })
}

// Refuse closes or reopens the listener; open connections continue.
func (l *Link) Refuse(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.ln != nil:
		err := l.ln.Close()
		l.ln = nil
		return err
	case !on && l.ln == nil:
		if l.ctx.Err() != nil {
			return errors.New("the link is closed")
		}
		return l.listen()
	}
	return nil
}

// Reset ends all open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// track registers a connection for Reset, and reports false if the link is closed.
func (l *Link) track(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) forget(c *net.TCPConn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Link) serve(client *net.TCPConn) {
	if !l.track(client) {
		return
	}
	defer l.forget(client)
	// The handshake with the target needs both directions.
	if l.pass(ToServer) != nil || l.pass(ToClient) != nil {
		return
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	var d net.Dialer
	c, err := d.DialContext(l.ctx, "tcp", target)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := c.(*net.TCPConn)
	if !l.track(server) {
		return
	}
	defer l.forget(server)
	l.mu.Lock()
	l.opened++
	l.mu.Unlock()
	ended := make(chan error, 2)
	go func() { ended <- l.forward(ToServer, client, server) }()
	go func() { ended <- l.forward(ToClient, server, client) }()
	if err := <-ended; err != nil {
		// A broken connection breaks the other direction too; an orderly end leaves it open.
		_, _ = client.SetLinger(0), server.SetLinger(0)
		_, _ = client.Close(), server.Close()
	}
	<-ended
}

// pass blocks while the direction is cut.
func (l *Link) pass(d Direction) error {
	for {
		l.mu.Lock()
		cut, changed := l.flow[d].cut, l.changed
		l.mu.Unlock()
		if !cut {
			return l.ctx.Err()
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return l.ctx.Err()
		}
	}
}

// packet is a chunk in transit; a nil body is the orderly end of the stream.
type packet struct {
	body []byte
	due  time.Time
}

// transit returns the time that a packet takes.
func (l *Link) transit(d Direction) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.flow[d]
	delay := f.delay
	for f.random != nil && f.loss < 1 && f.random.Float64() < f.loss {
		delay += Retransmit
	}
	return delay
}

// forward copies one direction until its end.
func (l *Link) forward(d Direction, from, to *net.TCPConn) error {
	queue := make(chan packet, queueSize)
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	received := make(chan error, 1)
	go func() {
		defer close(queue)
		received <- l.receive(ctx, d, from, queue)
	}()
	err := l.deliver(d, to, queue)
	cancel()
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close() // ends the pending read
		<-received
		return err
	}
	return <-received
}

func (l *Link) receive(ctx context.Context, d Direction, from *net.TCPConn, queue chan<- packet) error {
	var last time.Time
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		p := packet{body: buf[:n], due: time.Now().Add(l.transit(d))}
		if n == 0 {
			p.body = nil
		}
		if p.due.Before(last) {
			p.due = last // TCP delivers in order
		}
		last = p.due
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		select {
		case queue <- p:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return nil
		}
	}
}

func (l *Link) deliver(d Direction, to *net.TCPConn, queue <-chan packet) error {
	for p := range queue {
		if wait := time.Until(p.due); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-l.ctx.Done():
				t.Stop()
				return l.ctx.Err()
			}
		}
		if err := l.pass(d); err != nil {
			return err
		}
		if p.body == nil {
			return to.CloseWrite()
		}
		if _, err := to.Write(p.body); err != nil {
			return err
		}
	}
	return nil
}

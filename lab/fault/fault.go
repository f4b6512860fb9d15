// Package fault implements a TCP proxy that injects network faults into the connections of a link.
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

// ToServer is the direction from the client that connects to the link to the target, ToClient the opposite one.
const (
	ToServer Direction = iota
	ToClient
)

// RetransmitDelay is the extra delay of a lost packet. It is the minimum retransmission timeout of TCP on Linux.
const RetransmitDelay = 200 * time.Millisecond

const (
	// maxPacketSize is the maximum number of bytes that are forwarded as one packet.
	maxPacketSize = 16 << 10
	// maxQueuedPackets bounds the packets in transit per direction of a connection. A full queue blocks the sender, as a full
	// socket buffer does.
	maxQueuedPackets = 64
)

// Link forwards connections to a target. It is safe for concurrent use.
type Link struct {
	target string
	addr   string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	ln         net.Listener // nil while connections are refused
	changed    chan struct{}
	directions [2]directionState
	conns      map[*net.TCPConn]bool
	opened     int
	silent     bool
	silenced   map[*net.TCPConn]bool // open connections that deliver nothing more
}

// directionState holds the faults of one direction.
type directionState struct {
	cut             bool
	delay           time.Duration
	lossProbability float64
	random          *rand.Rand
}

// New starts a link to target (host:port). The link listens on a free port of 127.0.0.1.
func New(target string) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		target: target, addr: "127.0.0.1:0", ctx: ctx, cancel: cancel, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{},
		silenced: map[*net.TCPConn]bool{},
	}
	if err := l.listen(); err != nil {
		cancel()
		return nil, err
	}
	return l, nil
}

// listen opens the listener. The caller holds mu, or the link is not yet shared.
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

// SetTarget changes the target of new connections.
func (l *Link) SetTarget(target string) { l.update(func() { l.target = target }) }

// Opened returns the number of connections that were opened to the target.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Close closes the listener, resets all connections and waits until they are closed.
func (l *Link) Close() {
	l.cancel()
	_ = l.Refuse(true)
	l.Reset()
	l.wg.Wait()
}

// update applies a change of the link under mu and wakes the connections that wait in waitWhileCut.
func (l *Link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetDelay sets the one-way latency of a direction. It applies to bytes that the link receives afterwards.
func (l *Link) SetDelay(d Direction, delay time.Duration) {
	l.update(func() { l.directions[d].delay = delay })
}

// Cut holds back all bytes sent in one direction, and the end of the stream, until Cut is called with false.
func (l *Link) Cut(d Direction, cut bool) {
	l.update(func() { l.directions[d].cut = cut })
}

// BlackHole cuts both directions or ends both cuts. Connections are still accepted, as by a host whose packets are lost.
func (l *Link) BlackHole(on bool) {
	l.update(func() { l.directions[ToServer].cut, l.directions[ToClient].cut = on, on })
}

// SetLoss makes each packet of a direction lost with the given probability. Each loss delays the packet by RetransmitDelay.
// The seed determines which packets are lost.
func (l *Link) SetLoss(d Direction, probability float64, seed uint64) {
	l.update(func() {
		l.directions[d].lossProbability, l.directions[d].random = probability, rand.New(rand.NewPCG(seed, uint64(d)))
	})
}

// Silence makes the link accept and acknowledge all bytes without delivering them. The connections that are open at its start or opened
// meanwhile deliver nothing after its end either, while new ones work.
func (l *Link) Silence(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = on
	if on {
		for c := range l.conns {
			l.silenced[c] = true
		}
	}
}

// isSilenced reports whether a connection delivers nothing more.
func (l *Link) isSilenced(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenced[c]
}

// Refuse closes the listener or opens it again. Open connections continue.
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
			return errors.New("reopen listener: the link is closed")
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

// track registers a connection for Reset. If the link is closed, it closes the connection and returns false.
func (l *Link) track(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = c.Close()
		return false
	}
	l.conns[c] = true
	if l.silent {
		l.silenced[c] = true
	}
	return true
}

func (l *Link) closeAndUntrack(c *net.TCPConn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.silenced, c)
}

func (l *Link) serve(client *net.TCPConn) {
	if !l.track(client) {
		return
	}
	defer l.closeAndUntrack(client)
	// A TCP handshake with the target needs both directions.
	if l.waitWhileCut(ToServer) != nil || l.waitWhileCut(ToClient) != nil {
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
	defer l.closeAndUntrack(server)
	l.mu.Lock()
	l.opened++
	l.mu.Unlock()
	ended := make(chan error, 2)
	go func() { ended <- l.forward(ToServer, client, server) }()
	go func() { ended <- l.forward(ToClient, server, client) }()
	if err := <-ended; err != nil {
		// An error in one direction resets both connections. An orderly end of a stream leaves the other direction open.
		_, _ = client.SetLinger(0), server.SetLinger(0)
		_, _ = client.Close(), server.Close()
	}
	<-ended
}

// waitWhileCut blocks until the direction is not cut. It returns an error if the link is closed.
func (l *Link) waitWhileCut(d Direction) error {
	for {
		l.mu.Lock()
		cut, changed := l.directions[d].cut, l.changed
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

// packet is data in transit. A nil body stands for the orderly end of the stream.
type packet struct {
	body      []byte
	deliverAt time.Time
}

// packetDelay returns the latency of the next packet, including its simulated retransmissions.
func (l *Link) packetDelay(d Direction) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.directions[d]
	delay := f.delay
	for f.random != nil && f.lossProbability < 1 && f.random.Float64() < f.lossProbability {
		delay += RetransmitDelay
	}
	return delay
}

// forward copies one direction of a connection until the end of the stream or an error.
func (l *Link) forward(d Direction, from, to *net.TCPConn) error {
	queue := make(chan packet, maxQueuedPackets)
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
	var lastDelivery time.Time
	for {
		buf := make([]byte, maxPacketSize)
		n, err := from.Read(buf)
		p := packet{body: buf[:n], deliverAt: time.Now().Add(l.packetDelay(d))}
		if n == 0 {
			p.body = nil
		}
		if p.deliverAt.Before(lastDelivery) {
			p.deliverAt = lastDelivery // TCP delivers in order
		}
		lastDelivery = p.deliverAt
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
		if wait := time.Until(p.deliverAt); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-l.ctx.Done():
				t.Stop()
				return l.ctx.Err()
			}
		}
		if err := l.waitWhileCut(d); err != nil {
			return err
		}
		if l.isSilenced(to) {
			continue
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

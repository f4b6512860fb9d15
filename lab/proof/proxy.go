package proof

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/io/ctrl"
	"verbenagate/io/peer"
	"verbenagate/lab/fault"
)

// maxFirstBytes limits the size of the first message of a connection, which names the VM that connects.
const maxFirstBytes = 10_000

// proxy forwards connections from VMs to one server or one VM. The connections of each connecting VM pass through a link of
// their own.
type proxy struct {
	addr     string
	identify func(net.Conn) (raw []byte, vm string, err error)
	wg       sync.WaitGroup

	mu     sync.Mutex
	ln     net.Listener // nil while connections are refused
	closed bool
	target string
	links  map[string]*fault.Link
}

// newServerProxy returns a proxy in front of a server. VMs identify themselves by application_name.
func newServerProxy() (*proxy, error) { return newProxy(readStartup) }

// newPeerProxy returns a proxy in front of the listener that a VM has for other VMs.
func newPeerProxy() (*proxy, error) { return newProxy(readUpgrade) }

func newProxy(identify func(net.Conn) ([]byte, string, error)) (*proxy, error) {
	addr, err := freePort() // Refuse closes the listener and later listens on the same address again
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: addr, identify: identify, links: map[string]*fault.Link{}}
	return p, p.listen()
}

// listen opens the listener. The caller holds mu, or no other goroutine uses the proxy yet.
func (p *proxy) listen() error {
	ln, err := fault.Listen(p.addr)
	if err != nil {
		return err
	}
	p.ln, p.addr = ln, ln.Addr().String()
	p.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.serve(c.(*net.TCPConn)) })
		}
	})
	return nil
}

// Addr returns the address that VMs connect to.
func (p *proxy) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// SetTarget sets the address to which new connections are forwarded.
func (p *proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
	for _, l := range p.links {
		l.SetTarget(address)
	}
}

// Refuse closes the listener (on) or reopens it; open connections continue.
func (p *proxy) Refuse(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.ln != nil {
		err := p.ln.Close()
		p.ln = nil
		return err
	}
	if !on && p.ln == nil && !p.closed {
		return p.listen()
	}
	return nil
}

// Reset resets all connections.
func (p *proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Reset()
	}
}

// Close closes the listener and all links and waits until all connections have ended.
func (p *proxy) Close() {
	_ = p.Refuse(true)
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
	p.wg.Wait()
}

// linkFor returns the link for the connections of a VM and creates it if needed. Faults set on the link also apply to later
// connections.
func (p *proxy) linkFor(vm string) (*fault.Link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	if l := p.links[vm]; l != nil {
		return l, nil
	}
	l, err := fault.New(p.target)
	if err != nil {
		return nil, err
	}
	p.links[vm] = l
	return l, nil
}

func (p *proxy) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetLinger(0)
	firstBytes, vm, err := p.identify(c)
	if err != nil {
		return
	}
	l, err := p.linkFor(vm)
	if err != nil {
		return
	}
	raw, err := net.Dial("tcp", l.Addr())
	if err != nil {
		return
	}
	s := raw.(*net.TCPConn)
	defer func() { _ = s.Close() }()
	_ = s.SetLinger(0)
	if _, err := s.Write(firstBytes); err != nil {
		return
	}
	done := make(chan bool, 2)
	pipe := func(to, from *net.TCPConn) {
		_, err := io.Copy(to, from)
		if err == nil {
			err = to.CloseWrite()
		}
		done <- err == nil
	}
	go pipe(s, c)
	go pipe(c, s)
	if <-done {
		<-done
	}
}

// readStartup reads the first packet of a connection to a server and returns it with the name of the VM that sent it. The name
// is empty for a cancel request.
func readStartup(c net.Conn) (raw []byte, vm string, err error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c, head); err != nil {
		return nil, "", err
	}
	size := binary.BigEndian.Uint32(head)
	if size < 8 || size > maxFirstBytes {
		return nil, "", fmt.Errorf("invalid startup packet size of %d bytes", size)
	}
	body := make([]byte, size-4)
	if _, err := io.ReadFull(c, body); err != nil {
		return nil, "", err
	}
	var m pgproto3.StartupMessage
	if m.Decode(body) == nil {
		vm = strings.TrimPrefix(m.Parameters["application_name"], ctrl.ApplicationName(""))
	}
	return append(head, body...), vm, nil
}

// upgradeTimeout limits the wait for the HTTP request that opens a connection between VMs.
const upgradeTimeout = 10 * time.Second

// readUpgrade reads the HTTP request that opens a connection between VMs. It returns the bytes read and the name of the VM that
// connects.
func readUpgrade(c net.Conn) (raw []byte, vm string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(upgradeTimeout)) // fails only on a closed connection
	var read bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(io.LimitReader(c, maxFirstBytes), &read)))
	if err != nil {
		return nil, "", err
	}
	return read.Bytes(), r.Header.Get(peer.VMHeader), c.SetReadDeadline(time.Time{})
}

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

// maxFirst bounds the bytes in which a connection names its VM.
const maxFirst = 10_000

// proxy passes the connections of the VMs to one server or to one VM over a link for each VM that connects.
type proxy struct {
	addr string
	name func(net.Conn) (raw []byte, vm string, err error)
	wg   sync.WaitGroup

	mu     sync.Mutex
	ln     net.Listener // nil while refusing
	closed bool
	target string
	links  map[string]*fault.Link
}

// newServerProxy returns a proxy in front of a server. VMs name themselves as the application.
func newServerProxy() (*proxy, error) { return newProxy(startup) }

// newPeerProxy returns a proxy in front of the listener of a VM for other VMs.
func newPeerProxy() (*proxy, error) { return newProxy(upgrade) }

func newProxy(name func(net.Conn) ([]byte, string, error)) (*proxy, error) {
	addr, err := freePort() // Refuse gives the address back and takes it again
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: addr, name: name, links: map[string]*fault.Link{}}
	return p, p.listen()
}

// listen opens the listener. It is called before the proxy is shared or with mu held.
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

// SetTarget changes where new connections lead.
func (p *proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
	for _, l := range p.links {
		l.SetTarget(address)
	}
}

// Refuse closes or reopens the listener; open connections continue.
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

// Reset ends all connections.
func (p *proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.Reset()
	}
}

// Close ends the proxy.
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

// from returns the link on which the connections of a VM arrive. Faults set on it outlast connections.
func (p *proxy) from(vm string) (*fault.Link, error) {
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
	first, vm, err := p.name(c)
	if err != nil {
		return
	}
	l, err := p.from(vm)
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
	if _, err := s.Write(first); err != nil {
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

// startup reads the first packet of a connection and returns it with the name of the VM that sent it. A cancel request
// names no VM.
func startup(c net.Conn) (raw []byte, vm string, err error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c, head); err != nil {
		return nil, "", err
	}
	size := binary.BigEndian.Uint32(head)
	if size < 8 || size > maxFirst {
		return nil, "", fmt.Errorf("startup packet of %d bytes", size)
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

// upgradeTimeout bounds the wait for the request of a connection between VMs.
const upgradeTimeout = 10 * time.Second

// upgrade reads the request that opens a connection between VMs and returns what it read with the name of the VM.
func upgrade(c net.Conn) (raw []byte, vm string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(upgradeTimeout)) // fails only on a closed connection
	var read bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(io.LimitReader(c, maxFirst), &read)))
	if err != nil {
		return nil, "", err
	}
	return read.Bytes(), r.Header.Get(peer.VMHeader), c.SetReadDeadline(time.Time{})
}

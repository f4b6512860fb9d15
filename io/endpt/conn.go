package endpt

import (
	"bufio"
	"container/list"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/ctrl"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 16 << 10
	// maxMessage bounds one message of the server in bytes.
	maxMessage = 64 << 20
	// cancelTimeout bounds the sending of a cancel request.
	cancelTimeout = 2 * time.Second
)

// conn is one logged-in connection to the server. Only one goroutine uses it at a time, except for cancel.
type conn struct {
	nc          net.Conn
	r           *bufio.Reader
	address     string
	pid         uint32
	secret      []byte
	status      work.TxStatus
	prepared    map[string]*list.Element
	order       *list.List // names of prepared statements, the latest used first
	maxPrepared int
	scratch     []byte
	// soiled says that a caller may have left session state, so that the session must be reset before another caller
	// uses it.
	soiled bool
	// broken says that the protocol state is in doubt, so that nothing may be sent any more.
	broken bool
	// expired says that the connection must be closed when its present user is done with it.
	expired   atomic.Bool
	idleSince time.Time
}

// dial logs in with pgconn and takes over the connection.
func dial(ctx context.Context, svc svcdef.Service, address, vm string, maxPrepared int) (*conn, error) {
	cfg, err := ctrl.Settings(address, svc.Database(), svc.Login(), vm)
	if err != nil {
		return nil, err
	}
	var stream io.Reader
	build := cfg.BuildFrontend
	cfg.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend {
		stream = r
		return build(r, w)
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "cannot connect to server %s", address)
	}
	hc, err := pc.Hijack()
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "cannot connect to server %s", address)
	}
	if hc.Frontend.ReadBufferLen() > 0 {
		// These bytes could not be read any more, and the protocol would be out of step.
		_ = hc.Conn.Close()
		return nil, result.New(result.ConnectFailed, "server %s sent data after the login", address)
	}
	// pgconn leaves the deadline of the login context behind.
	_ = hc.Conn.SetDeadline(time.Time{})
	return &conn{
		nc: hc.Conn, r: bufio.NewReaderSize(stream, readBuffer), address: address, pid: hc.PID, secret: hc.SecretKey,
		status: work.TxStatus(hc.TxStatus), prepared: map[string]*list.Element{}, order: list.New(),
		maxPrepared: maxPrepared,
	}, nil
}

func (c *conn) close() { _ = c.nc.Close() }

// alive reports whether an idle connection is open and has no data waiting. It finds a connection that the server
// closed in the meantime, before anything is sent on it and the effect becomes uncertain.
func (c *conn) alive() bool {
	waiting, open := c.peek()
	return open && waiting == 0
}

// aliveHeld is alive for a connection that a caller holds. Notifications, notices and changed parameters may wait there
// for its next unit.
func (c *conn) aliveHeld() bool {
	waiting, open := c.peek()
	switch waiting {
	case 0, 'A', 'N', 'S':
		return open
	}
	return false
}

// peek returns the type of the message that waits, 0 for none, and whether the connection is open.
func (c *conn) peek() (waiting byte, open bool) {
	if c.broken {
		return 0, false
	}
	if c.r.Buffered() > 0 {
		b, err := c.r.Peek(1)
		return b[0], err == nil
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var b [1]byte
	// Control takes no read lock. pgconn leaves a reader blocked on the connection if a write of the login took longer than
	// 15 ms, and Read would wait for it without a time limit.
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EINTR)
	})
	return b[0], err == nil && open
}

// cancel asks the server to break off the statement that runs on the connection.
func (c *conn) cancel() {
	nc, err := net.DialTimeout("tcp", c.address, cancelTimeout)
	if err != nil {
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(cancelTimeout))
	req := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	b, err := req.Encode(nil)
	if err != nil {
		return
	}
	if _, err = nc.Write(b); err == nil {
		_, _ = io.Copy(io.Discard, nc) // the server closes the connection when it has taken the request
	}
}

// receive reads one message and appends it whole to buf.
func (c *conn) receive(buf []byte) (kind byte, out []byte, err error) {
	header, err := c.r.Peek(5)
	if err != nil {
		return 0, buf, err
	}
	kind = header[0]
	n := int(binary.BigEndian.Uint32(header[1:]))
	if n < 4 || n > maxMessage {
		return 0, buf, fmt.Errorf("message %q of %d bytes", kind, n)
	}
	start := len(buf)
	buf = append(buf, make([]byte, n+1)...)
	if _, err = io.ReadFull(c.r, buf[start:]); err != nil {
		return 0, buf[:start], err
	}
	return kind, buf, nil
}

func (c *conn) hasPrepared(name string) bool {
	_, ok := c.prepared[name]
	return ok
}

func (c *conn) addPrepared(name string) {
	if e, ok := c.prepared[name]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.prepared[name] = c.order.PushFront(name)
}

func (c *conn) touchPrepared(name string) {
	if e, ok := c.prepared[name]; ok {
		c.order.MoveToFront(e)
	}
}

func (c *conn) dropPrepared(name string) {
	if e, ok := c.prepared[name]; ok {
		c.order.Remove(e)
		delete(c.prepared, name)
	}
}

func (c *conn) clearPrepared() {
	clear(c.prepared)
	c.order.Init()
}

// evict removes the statements used longest ago, except those in use, until n more fit, and returns their names.
func (c *conn) evict(n int, inUse map[string]bool) []string {
	var names []string
	for e := c.order.Back(); e != nil && c.order.Len()+n > c.maxPrepared; {
		before := e.Prev()
		if name := e.Value.(string); !inUse[name] {
			c.dropPrepared(name)
			names = append(names, name)
		}
		e = before
	}
	return names
}

// reset ends an open transaction and removes session state. If that fails, the connection is broken.
func (c *conn) reset(ctx context.Context) {
	var texts []string
	if c.status != work.TxIdle {
		texts = append(texts, "ROLLBACK")
	}
	if c.soiled {
		texts = append(texts, "DISCARD ALL")
	}
	for _, sql := range texts {
		var r request
		_ = r.send(stepQuery, "", &pgproto3.Query{String: sql})
		o := c.exchange(ctx, r, newAnswer(nil, false), false)
		if o.err != nil || o.state != "" || o.ready != work.TxIdle {
			c.broken = true
			return
		}
	}
	c.soiled = false
}

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
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 16 << 10
	// maxMessageSize bounds one message of the server in bytes.
	maxMessageSize = 64 << 20
	// cancelTimeout bounds the dial for a cancel request, and then its exchange with the server.
	cancelTimeout = 2 * time.Second
)

// conn is one authenticated connection to the server. Only one goroutine uses it at a time, except for cancel.
type conn struct {
	nc          net.Conn
	r           *bufio.Reader
	address     string
	pid         uint32
	secret      []byte
	status      work.TxStatus
	prepared    map[string]*list.Element
	preparedLRU *list.List // names of prepared statements, most recently used first
	maxPrepared int
	scratch     []byte
	// dirty means that a caller may have left session state, which must be reset before another caller uses the
	// connection.
	dirty bool
	// broken means that the protocol state is unknown, so nothing more may be sent.
	broken bool
	// closeAfterUse means that the connection must be closed instead of reused after its present use.
	closeAfterUse atomic.Bool
	idleSince     time.Time
}

// dial logs in with pgconn and takes over the network connection.
func dial(ctx context.Context, svc svcdef.Service, address, vm string, maxPrepared int) (*conn, error) {
	cfg, err := ctrl.ConnectionConfig(address, svc.Database(), svc.Login(), vm)
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
		// The frontend is discarded with these bytes, so later reads would start in the middle of the protocol.
		_ = hc.Conn.Close()
		return nil, result.New(result.ConnectFailed, "server %s sent data after the login", address)
	}
	// pgconn does not clear the deadline of the login context.
	_ = hc.Conn.SetDeadline(time.Time{})
	return &conn{
		nc: hc.Conn, r: bufio.NewReaderSize(stream, readBufferSize), address: address, pid: hc.PID, secret: hc.SecretKey,
		status: work.TxStatus(hc.TxStatus), prepared: map[string]*list.Element{}, preparedLRU: list.New(),
		maxPrepared: maxPrepared,
	}, nil
}

func (c *conn) close() { _ = c.nc.Close() }

// alive reports whether an idle connection is open and has no unread data. It detects a connection that the server
// closed in the meantime. Otherwise a unit would be sent on it, and whether the unit took effect would be unknown.
func (c *conn) alive() bool {
	waiting, open := c.peekMessage()
	return open && waiting == 0
}

// aliveWhileHeld is alive for a connection that a stream holds between units. Notifications, notices and changed
// parameters may be unread there; the next unit reads them.
func (c *conn) aliveWhileHeld() bool {
	waiting, open := c.peekMessage()
	switch waiting {
	case 0, 'A', 'N', 'S':
		return open
	}
	return false
}

// peekMessage returns the type of the next unread message, or 0 for none, and whether the connection is open.
func (c *conn) peekMessage() (waiting byte, open bool) {
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
	// Control takes no read lock. pgconn leaves a reader blocked on the connection if a write of the login took longer
	// than 15 ms, and Read would wait for that reader without a time limit.
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EINTR)
	})
	return b[0], err == nil && open
}

// cancel asks the server to cancel the statement that runs on the connection.
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
		_, _ = io.Copy(io.Discard, nc) // the server closes the connection after it has received the request
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
	if n < 4 || n > maxMessageSize {
		return 0, buf, fmt.Errorf("the server sent message %q with the invalid length %d", kind, n)
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
		c.preparedLRU.MoveToFront(e)
		return
	}
	c.prepared[name] = c.preparedLRU.PushFront(name)
}

func (c *conn) touchPrepared(name string) {
	if e, ok := c.prepared[name]; ok {
		c.preparedLRU.MoveToFront(e)
	}
}

func (c *conn) dropPrepared(name string) {
	if e, ok := c.prepared[name]; ok {
		c.preparedLRU.Remove(e)
		delete(c.prepared, name)
	}
}

func (c *conn) clearPrepared() {
	clear(c.prepared)
	c.preparedLRU.Init()
}

// evictPrepared removes the least recently used statements, except those in use, until n more fit, and returns their
// names.
func (c *conn) evictPrepared(n int, inUse map[string]bool) []string {
	var names []string
	for e := c.preparedLRU.Back(); e != nil && c.preparedLRU.Len()+n > c.maxPrepared; {
		before := e.Prev()
		if name := e.Value.(string); !inUse[name] {
			c.dropPrepared(name)
			names = append(names, name)
		}
		e = before
	}
	return names
}

// reset rolls back an open transaction and discards session state. If that fails, it marks the connection as broken.
func (c *conn) reset(ctx context.Context) {
	var texts []string
	if c.status != work.TxIdle {
		texts = append(texts, "ROLLBACK")
	}
	if c.dirty {
		texts = append(texts, "DISCARD ALL")
	}
	for _, sql := range texts {
		var r request
		_ = r.send(stepQuery, "", &pgproto3.Query{String: sql})
		o := c.exchange(ctx, r, newAnswer(nil, false), false)
		if o.err != nil || o.sqlState != "" || o.txStatus != work.TxIdle {
			c.broken = true
			return
		}
	}
	c.dirty = false
}

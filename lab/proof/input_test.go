package proof

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// badInput sends invalid input, which the VM must refuse, while the load runs.
func (s *script) badInput([]string) {
	address := s.w.vm("vm1").listen[0]
	for _, c := range []struct{ user, password, database, want string }{
		{site.User(0), site.Password, "nothing", "3D000"},
		{site.User(0), "wrong", service, "28P01"},
		{"nobody", site.Password, service, "28P01"},
	} {
		ctx, cancel := context.WithTimeout(s.w.ctx, 5*time.Second)
		conn, err := s.w.connect(ctx, address, c.user, c.password, c.database)
		cancel()
		if err == nil {
			_ = conn.Close(s.w.ctx)
			s.t.Errorf("caller %s with password %s was admitted to %s", c.user, c.password, c.database)
		} else if !strings.Contains(err.Error(), c.want) {
			s.t.Errorf("caller %s with password %s got error %v, want SQLSTATE %s", c.user, c.password, err, c.want)
		}
	}
	s.expectRefused("a startup message without a body", address, []byte{0, 0, 0, 4})
	s.expectRefused("a startup message of 2 GB", address, []byte{0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0})
	s.expectRefused("random bytes", address, bytes.Repeat([]byte{0xde, 0xad, 0xbe, 0xef}, 1000))
	s.expectRefusedAfterLogin("a message with a length below 4", []byte{'Q', 0, 0, 0, 1})
	s.expectRefusedAfterLogin("a message that exceeds the size limit", binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<30))
	s.expectRefusedAfterLogin("a message of an unknown type", []byte{'~', 0, 0, 0, 4})
	s.expectRefusedAfterLogin("a bind message that ends too early", []byte{'B', 0, 0, 0, 6, 0, 0})
	s.expectBrokenSettingsRefused()
}

// expectRefused sends bytes on a new connection and expects an error response or the end of the connection.
func (s *script) expectRefused(what, address string, b []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Errorf("%s: %v", what, err)
		return
	}
	s.expectErrorOrClose(what, conn, b)
}

// expectRefusedAfterLogin does the same on a connection that has logged in.
func (s *script) expectRefusedAfterLogin(what string, b []byte) {
	pg, err := s.w.connect(s.w.ctx, s.w.vm("vm1").listen[0], site.User(0), site.Password, service)
	if err != nil {
		s.t.Errorf("%s: %v", what, err)
		return
	}
	h, err := pg.Hijack()
	if err != nil {
		s.t.Errorf("%s: %v", what, err)
		return
	}
	s.expectErrorOrClose(what, h.Conn, b)
}

// expectErrorOrClose sends bytes and fails the test unless the VM answers with an error response or closes the connection.
func (s *script) expectErrorOrClose(what string, conn net.Conn, b []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(b); err != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	m, err := pgproto3.NewFrontend(conn, conn).Receive()
	if t, ok := err.(net.Error); ok && t.Timeout() {
		s.t.Errorf("%s: the VM neither answers nor closes the connection", what)
	}
	if _, ok := m.(*pgproto3.ErrorResponse); err == nil && !ok {
		s.t.Errorf("%s: the VM answers with %T", what, m)
	}
}

// expectBrokenSettingsRefused expects that a VM with an invalid settings file exits and reports the line of the mistake.
func (s *script) expectBrokenSettingsRefused() {
	path, err := buildProgram()
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.t.TempDir(), "broken.yaml")
	if err := os.WriteFile(file, []byte("vm: {id: x, data_centre: east}\nlisten: {callers: nowhere}\n"), 0o600); err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(s.w.ctx, 5*time.Second)
	defer cancel()
	out, err := exec.CommandContext(ctx, path, "serve", "--config", file).CombinedOutput()
	if err == nil || !strings.Contains(string(out), file+":2:") {
		s.t.Errorf("a VM with an invalid settings file ended with: %v\n%s", err, out)
	}
}

// resubmit drops the answer to a payment that took effect, and sends the payment again through another VM. It must take effect
// only once.
func (s *script) resubmit([]string) {
	first, second := s.w.vm("vm1"), s.w.vm("vm2")
	args := [][]byte{[]byte("once"), []byte("7"), []byte("1")}
	count := func() int64 {
		rows, err := s.w.site.Primary(service).Query(s.w.ctx, "SELECT count(*) FROM payment WHERE ref = 'once'")
		if err != nil {
			s.t.Fatal(err)
		}
		return rows[0][0].(int64)
	}
	pay := func(v *vm) error {
		conn, err := s.w.connect(s.w.ctx, v.callers.Addr(), site.User(7), site.Password, service)
		if err != nil {
			return err
		}
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = conn.Close(ctx)
		}()
		if v == first {
			first.callers.Cut(fault.ToClient, true)
		}
		return conn.ExecParams(s.w.ctx, load.PaySQL, args, nil, nil, nil).Read().Err
	}
	lost := make(chan error, 1)
	go func() { lost <- pay(first) }()
	s.w.await("the payment takes effect", 5*time.Second, func() error {
		if count() == 0 {
			return os.ErrNotExist
		}
		return nil
	})
	first.callers.Reset()
	if err := <-lost; err == nil {
		s.t.Error("the answer was not lost, so the check proved nothing")
	}
	first.callers.Cut(fault.ToClient, false)
	for range 3 {
		if err := pay(second); err != nil {
			s.t.Errorf("the resubmission ended with: %v", err)
		}
	}
	if n := count(); n != 1 {
		s.t.Errorf("the payment took effect %d times", n)
	}
}

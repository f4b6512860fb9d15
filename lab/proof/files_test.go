package proof

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/core/svcdef"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// Guards against callers that use up the open files of a VM. The caller beyond the limit must get an error that gives the reason,
// and the VM must still reach its servers, the other VMs, the platform and operators, also during a failover.
func TestFileLimit(t *testing.T) {
	const files, admitted = 512, 256
	w := newDeployment(t, deploymentSize{vms: 2, servers: 3, maxAge: staleAge, timeout: 20 * time.Second, ack: svcdef.AckQuorum})
	w.signal("vm2", syscall.SIGTERM)
	if err := w.awaitExit("vm2", 30*time.Second); err != nil {
		t.Fatal(err)
	}
	w.vm("vm2").maxOpenFiles = files
	w.startVM("vm2")
	w.awaitServing("vm2")
	address := w.vm("vm2").listen[0]
	var open []*pgconn.PgConn
	var err error
	defer func() {
		for _, c := range open {
			_ = c.Conn().Close()
		}
	}()
	for len(open) < 2*admitted {
		var c *pgconn.PgConn
		if c, err = w.connect(w.ctx, address, site.User(0), site.Password, service); err != nil {
			break
		}
		open = append(open, c)
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != "53300" || len(open) != admitted {
		t.Fatalf("%d callers were admitted; the next caller got error: %v", len(open), err)
	}
	// The number of connections that never log in is limited as well.
	for range files {
		c, err := net.Dial("tcp", address)
		w.check(err)
		defer func() { _ = c.Close() }()
	}
	payment := 0
	pay := func() error {
		payment++
		args := [][]byte{[]byte("files" + strconv.Itoa(payment)), []byte("0"), []byte("1")}
		ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
		defer cancel()
		return open[0].ExecParams(ctx, load.PaySQL, args, nil, nil, nil).Read().Err
	}
	w.check(pay())
	w.site.Primary(service).Crash()
	w.await("an open caller writes to the new primary", 30*time.Second, pay)
	for _, c := range open {
		w.check(c.ExecParams(w.ctx, load.ReadSQL, [][]byte{[]byte("0")}, nil, nil, nil).Read().Err)
	}
	_, err = w.revision("vm2")
	w.check(err)
	w.signal("vm2", syscall.SIGKILL)
	_ = w.awaitExit("vm2", 5*time.Second) // the error is the signal; the log is complete after the exit
	if !bytes.Contains(w.vm("vm2").log.Bytes(), []byte(`limit of open files lowers the limit of callers`)) {
		t.Error("the VM did not report that it admits fewer callers than its settings say")
	}
}

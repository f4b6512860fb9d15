package proof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/io/admin"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

const (
	// insideMember is the account of the payments inside an isolated data centre. No other caller uses it.
	insideMember = "1000"
	// insidePause is the time between two requests of one kind inside an isolated data centre.
	insidePause = 20 * time.Millisecond
	// insideExtension is how much longer the requests of a kind continue at most if the required answers have not come yet.
	insideExtension = 20 * time.Second
	// cutNoticedAfter is the time within which a VM may not have detected the cut. A browse counts as answered in isolation
	// only if it began later.
	cutNoticedAfter = time.Second
)

// inside sends requests to a VM in the isolated data centre until the VM's data have reached max_age, and for the given time
// after that. Browses must be answered before the data have that age and refused afterwards. No write may be acknowledged,
// and no read of a new session may be answered.
func (s *script) inside(a []string) {
	var v *vm
	for _, id := range s.w.vmIDs {
		if s.w.vm(id).dataCentre == s.isolated && v == nil {
			v = s.w.vm(id)
		}
	}
	if v == nil {
		s.t.Fatalf("no data centre with VMs is isolated")
	}
	staleFrom := s.isolatedAt.Add(s.w.maxAge)
	p := prober{s: s, vm: v, end: staleFrom.Add(s.duration(a[0]))}
	var answered, refused, writes, reads int
	var wg sync.WaitGroup
	wg.Go(func() {
		p.repeat(false, func() bool { return refused > 0 }, func(c *pgconn.PgConn, _ int) error {
			began := time.Now()
			err := c.ExecParams(s.w.ctx, load.BrowseSQL, nil, nil, nil, nil).Read().Err
			switch {
			case err == nil && began.After(staleFrom):
				s.t.Errorf("a browse was answered %v after its data centre was isolated, which is more than max_age", began.Sub(s.isolatedAt))
			case err == nil && began.Sub(s.isolatedAt) > cutNoticedAfter:
				answered++
			case err != nil && began.After(staleFrom):
				refused++
			}
			return err
		})
	})
	wg.Go(func() {
		p.repeat(false, func() bool { return writes > 0 }, func(c *pgconn.PgConn, n int) error {
			ref := fmt.Sprintf("inside-%s-%d-%d", v.id, s.isolatedAt.UnixNano(), n)
			args := [][]byte{[]byte(ref), []byte(insideMember), []byte(strconv.Itoa(n))}
			err := c.ExecParams(s.w.ctx, load.PaySQL, args, nil, nil, nil).Read().Err
			o := load.OutcomeOf(err)
			s.record.Paid(load.NewPayment(ref, load.Pay, o))
			if writes++; o != load.NotRun && o != load.Unknown {
				s.t.Errorf("a write inside an isolated data centre was reported as %v: %v", o, err)
			}
			return err
		})
	})
	wg.Go(func() {
		p.repeat(true, func() bool { return reads > 0 }, func(c *pgconn.PgConn, _ int) error {
			err := c.ExecParams(s.w.ctx, load.ReadSQL, [][]byte{[]byte(insideMember)}, nil, nil, nil).Read().Err
			if reads++; err == nil {
				s.t.Error("a read of a new session was answered inside an isolated data centre, so without a barrier")
			}
			return err
		})
	})
	wg.Wait()
	s.t.Logf("inside: %d browses answered and %d refused, %d writes not acknowledged, %d reads refused", answered, refused,
		writes, reads)
	if answered == 0 || refused == 0 || writes == 0 || reads == 0 {
		s.t.Error("one of the four numbers is 0, so that kind of request was not checked")
	}
}

// prober sends requests to one VM repeatedly.
type prober struct {
	s   *script
	vm  *vm
	end time.Time
}

// repeat sends requests until p.end, or until enough returns true, but no longer than insideExtension after p.end. It connects
// again after an error, or after every request if reconnect is set.
func (p prober) repeat(reconnect bool, enough func() bool, request func(c *pgconn.PgConn, n int) error) {
	var c *pgconn.PgConn
	closeConn := func() {
		if c != nil {
			_ = c.Conn().Close()
			c = nil
		}
	}
	defer closeConn()
	for n := 1; ; n++ {
		if now := time.Now(); now.After(p.end) && (enough() || now.After(p.end.Add(insideExtension))) {
			return
		}
		if c == nil {
			var err error
			if c, err = p.s.w.connect(p.s.w.ctx, p.vm.listen[0], site.User(0), site.Password, service); err != nil {
				p.s.t.Errorf("%s accepts no caller: %v", p.vm.id, err)
				return
			}
		}
		if request(c, n) != nil || reconnect {
			closeConn()
		}
		time.Sleep(insidePause)
	}
}

const (
	// answerSQL returns answerRows rows, which exceed several flow control windows of a stream between VMs.
	answerRows = 8_000
	answerSQL  = `WITH RECURSIVE r(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM r WHERE i < 8000) ` +
		`SELECT i, 'a row of an answer that is long enough to take several windows between two VMs' FROM r`
	// answerResetRow is the row after which the links are reset; most of the answer is still in flight then.
	answerResetRow = 10
	// answerLimit is the time limit of the step "answers".
	answerLimit = 90 * time.Second
)

// answers reads long answers through a VM that owns no server. It resets the links between VMs during each answer until the
// given number of answers broke off. Then the same number of answers must arrive whole.
func (s *script) answers(a []string) {
	n := int(s.number(a[0]))
	v := s.w.vm(s.vmWithoutServer())
	broken, whole := 0, 0
	limit := time.Now().Add(answerLimit)
	var last error
	for broken < n && time.Now().Before(limit) {
		rows, err := s.readAnswer(v, func() { s.w.net.resetConnections(bothWays("all", "all")) })
		if err != nil && rows > 0 {
			broken++
		}
		last = err
	}
	for whole < n && time.Now().Before(limit) {
		if _, last = s.readAnswer(v, func() {}); last == nil {
			whole++
		}
	}
	s.t.Logf("%d answers broke off, then %d were whole", broken, whole)
	if broken < n || whole < n {
		s.t.Errorf("too few answers broke off or were whole, so the check proves too little; the last answer ended with: %v", last)
	}
}

// readAnswer reads a long answer, which must be whole or end with an error. It calls onFirstRows after row answerResetRow.
func (s *script) readAnswer(v *vm, onFirstRows func()) (rows int, err error) {
	ctx, cancel := context.WithTimeout(s.w.ctx, 30*time.Second)
	defer cancel()
	c, err := s.w.connect(ctx, v.listen[0], site.User(1), site.Password, service)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Conn().Close() }()
	r := c.ExecParams(ctx, answerSQL, nil, nil, nil, nil)
	for r.NextRow() {
		if rows++; string(r.Values()[0]) != strconv.Itoa(rows) {
			s.t.Errorf("row %d of an answer has the number %s", rows, r.Values()[0])
		}
		if rows == answerResetRow {
			onFirstRows()
		}
	}
	if _, err = r.Close(); err == nil && rows != answerRows {
		s.t.Errorf("an answer ended without an error after %d of %d rows", rows, answerRows)
	}
	return rows, err
}

// dump returns the internal state that a VM reports to operators.
func (s *script) dump(id string) (d admin.Dump, err error) {
	err = s.w.operator(id, func(ctx context.Context, c *admin.Client) (err error) {
		d, err = c.Dump(ctx)
		return err
	})
	return d, err
}

// vmWithoutServer returns a VM that owns no server.
func (s *script) vmWithoutServer() string {
	for _, id := range s.w.vmIDs {
		if d, err := s.dump(id); err == nil && len(d.OwnedServers) == 0 {
			return id
		}
	}
	s.t.Fatal("every VM owns a server")
	return ""
}

// ownersByServer returns the ids of the VMs that own each server, by the server's address.
func (s *script) ownersByServer() map[string]string {
	owners := map[string]string{}
	for _, id := range s.w.vmIDs {
		d, err := s.dump(id)
		if err != nil {
			s.t.Fatal(err)
		}
		for _, address := range d.OwnedServers {
			owners[address] += " " + id
		}
	}
	return owners
}

// stableOwnersTime is how long the owners must match the noted ones without a change.
const stableOwnersTime = time.Second

// awaitOwners waits until the servers have had the noted owners for stableOwnersTime.
func (s *script) awaitOwners(limit time.Duration) {
	var since time.Time
	s.w.await("the servers have the noted owners", limit, func() error {
		now := time.Now()
		if got := s.ownersByServer(); !maps.Equal(got, s.owners) {
			since = time.Time{}
			return fmt.Errorf("the owners are %v, want %v", got, s.owners)
		}
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) < stableOwnersTime {
			return errors.New("the owners have just changed")
		}
		return nil
	})
}

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
	// insideMember is the account of the payments inside a data centre that is cut off. No other caller uses it.
	insideMember = "1000"
	// insidePause is the time between two requests of one kind there.
	insidePause = 20 * time.Millisecond
	// insideMore is how much longer than stated the requests go on if none of a kind has been refused yet.
	insideMore = 20 * time.Second
	// noticed is the time after the cut from which an answered browse shows that browses go on. Before it, the VM may not
	// have noticed the cut.
	noticed = time.Second
)

// inside sends requests to a VM in the data centre that is cut off. Until its data have the stated age, and for the time
// given beyond that, a browse must be answered as long as the data are young enough and never afterwards; a write is
// never acknowledged, and no read of a new session is answered.
func (s *script) inside(a []string) {
	var v *vm
	for _, id := range s.w.order {
		if s.w.vm(id).dataCentre == s.isolated && v == nil {
			v = s.w.vm(id)
		}
	}
	if v == nil {
		s.t.Fatalf("no data centre with VMs is cut off")
	}
	old := s.since.Add(s.w.maxAge)
	p := prober{s: s, vm: v, end: old.Add(s.duration(a[0]))}
	var answered, refused, writes, reads int
	var wg sync.WaitGroup
	wg.Go(func() {
		p.repeat(false, func() bool { return refused > 0 }, func(c *pgconn.PgConn, _ int) error {
			began := time.Now()
			err := c.ExecParams(s.w.ctx, load.BrowseSQL, nil, nil, nil, nil).Read().Err
			switch {
			case err == nil && began.After(old):
				s.t.Errorf("a browse was answered %v after its data centre was cut off", began.Sub(s.since))
			case err == nil && began.Sub(s.since) > noticed:
				answered++
			case err != nil && began.After(old):
				refused++
			}
			return err
		})
	})
	wg.Go(func() {
		p.repeat(false, func() bool { return writes > 0 }, func(c *pgconn.PgConn, n int) error {
			ref := fmt.Sprintf("inside-%s-%d-%d", v.id, s.since.UnixNano(), n)
			args := [][]byte{[]byte(ref), []byte(insideMember), []byte(strconv.Itoa(n))}
			err := c.ExecParams(s.w.ctx, load.PaySQL, args, nil, nil, nil).Read().Err
			o := load.OutcomeOf(err)
			s.record.Paid(load.NewPayment(ref, load.Pay, o))
			if writes++; o != load.NotRun && o != load.Unknown {
				s.t.Errorf("a write inside a data centre that is cut off was reported as %v: %v", o, err)
			}
			return err
		})
	})
	wg.Go(func() {
		p.repeat(true, func() bool { return reads > 0 }, func(c *pgconn.PgConn, _ int) error {
			err := c.ExecParams(s.w.ctx, load.ReadSQL, [][]byte{[]byte(insideMember)}, nil, nil, nil).Read().Err
			if reads++; err == nil {
				s.t.Error("a new session inside a data centre that is cut off read without a barrier")
			}
			return err
		})
	})
	wg.Wait()
	s.t.Logf("inside: %d browses answered and %d refused, %d writes not acknowledged, %d reads refused", answered, refused,
		writes, reads)
	if answered == 0 || refused == 0 || writes == 0 || reads == 0 {
		s.t.Error("a kind of request had nothing to compare")
	}
}

// prober repeats requests on one VM.
type prober struct {
	s   *script
	vm  *vm
	end time.Time
}

// repeat sends requests until the end, and goes on for a while if enough is false then. It connects again after an error,
// or always if fresh is set.
func (p prober) repeat(fresh bool, enough func() bool, request func(c *pgconn.PgConn, n int) error) {
	var c *pgconn.PgConn
	closeConn := func() {
		if c != nil {
			_ = c.Conn().Close()
			c = nil
		}
	}
	defer closeConn()
	for n := 1; ; n++ {
		if now := time.Now(); now.After(p.end) && (enough() || now.After(p.end.Add(insideMore))) {
			return
		}
		if c == nil {
			var err error
			if c, err = p.s.w.connect(p.s.w.ctx, p.vm.listen[0], site.User(0), site.Password, service); err != nil {
				p.s.t.Errorf("%s accepts no caller: %v", p.vm.id, err)
				return
			}
		}
		if request(c, n) != nil || fresh {
			closeConn()
		}
		time.Sleep(insidePause)
	}
}

const (
	// answerRows and answerSQL make an answer that takes several windows of a stream between VMs.
	answerRows = 8_000
	answerSQL  = `WITH RECURSIVE r(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM r WHERE i < 8000) ` +
		`SELECT i, 'a row of an answer that is long enough to take several windows between two VMs' FROM r`
	// answerBreak is the row after which the links are reset; most of the answer is still on its way then.
	answerBreak = 10
	answerLimit = 90 * time.Second
)

// answers reads long answers through a VM that owns no server, and resets the links between VMs during each until as many
// as stated broke off. Then as many must be whole.
func (s *script) answers(a []string) {
	n := int(s.number(a[0]))
	v := s.w.vm(s.idle())
	broken, whole := 0, 0
	limit := time.Now().Add(answerLimit)
	var last error
	for broken < n && time.Now().Before(limit) {
		rows, err := s.answer(v, func() { s.w.net.reset(bothWays("all", "all")) })
		if err != nil && rows > 0 {
			broken++
		}
		last = err
	}
	for whole < n && time.Now().Before(limit) {
		if _, last = s.answer(v, func() {}); last == nil {
			whole++
		}
	}
	s.t.Logf("%d answers broke off, then %d were whole", broken, whole)
	if broken < n || whole < n {
		s.t.Errorf("too few answers broke off or were whole, so the check compared too little; the last ended with: %v", last)
	}
}

// answer reads a long answer, which must be whole or end with an error. It calls underway when the first rows have come.
func (s *script) answer(v *vm, underway func()) (rows int, err error) {
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
			s.t.Errorf("row %d of an answer has number %s", rows, r.Values()[0])
		}
		if rows == answerBreak {
			underway()
		}
	}
	if _, err = r.Close(); err == nil && rows != answerRows {
		s.t.Errorf("an answer ended in order after %d of %d rows", rows, answerRows)
	}
	return rows, err
}

// dump returns the state of a VM.
func (s *script) dump(id string) (d admin.Dump, err error) {
	err = s.w.operator(id, func(ctx context.Context, c *admin.Client) (err error) {
		d, err = c.Dump(ctx)
		return err
	})
	return d, err
}

// idle returns a VM that owns no server.
func (s *script) idle() string {
	for _, id := range s.w.order {
		if d, err := s.dump(id); err == nil && len(d.OwnedServers) == 0 {
			return id
		}
	}
	s.t.Fatal("every VM owns a server")
	return ""
}

// owned returns the VM that owns each server.
func (s *script) owned() map[string]string {
	owners := map[string]string{}
	for _, id := range s.w.order {
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

// quiet is how long the owners must stay the same.
const quiet = time.Second

// awaitOwners waits until the servers have had the owners that were noted for some time.
func (s *script) awaitOwners(limit time.Duration) {
	var since time.Time
	s.w.await("the owners are those from before", limit, func() error {
		now := time.Now()
		if got := s.owned(); !maps.Equal(got, s.owners) {
			since = time.Time{}
			return fmt.Errorf("the owners are %v, not %v", got, s.owners)
		}
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) < quiet {
			return errors.New("the owners have just changed")
		}
		return nil
	})
}

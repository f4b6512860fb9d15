package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/io/metric"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

const (
	// silenceMember is the account of the payments in the step "silence". No other caller uses it.
	silenceMember = "1001"
	// silenceWriters is the number of callers that write through each VM that keeps running.
	silenceWriters = 2
	// silencePause is the time between two requests of a caller.
	silencePause = 10 * time.Millisecond
	// silenceMargin is how long the callers run before the VM is stopped and after it continues.
	silenceMargin = 3 * time.Second
)

// answeredRequest holds the times of a request that was answered without an error.
type answeredRequest struct{ began, ended time.Time }

// silenceLog records the answers and errors that the callers of one kind got.
type silenceLog struct {
	mu       sync.Mutex
	requests []answeredRequest
	errors   map[string]int
}

// silence stops the process of the VM that owns a server for a time, and measures the effect on callers of the other VMs.
func (s *script) silence(a []string) {
	o := s.options(a[2:], map[string]string{"readers": "6"})
	readers := int(s.number(o["readers"]))
	at := s.serverIndex(a[0])
	id := s.owner(s.w.proxies[at].Addr())
	reads, writes := &silenceLog{errors: map[string]int{}}, &silenceLog{errors: map[string]int{}}
	ctx, cancel := context.WithCancel(s.w.ctx)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	for i, other := range s.w.vmIDs {
		if other == id {
			continue
		}
		for n := range readers {
			wg.Go(func() {
				s.repeatRequests(ctx, reads, other, i*readers+n, func(c *pgconn.PgConn, _ int) error {
					return c.ExecParams(ctx, load.ReadSQL, [][]byte{[]byte(silenceMember)}, nil, nil, nil).Read().Err
				})
			})
		}
		for n := range silenceWriters {
			wg.Go(func() {
				s.repeatRequests(ctx, writes, other, i*silenceWriters+n, func(c *pgconn.PgConn, seq int) error {
					ref := fmt.Sprintf("silence-%d-%s-%d-%d", began.UnixNano(), other, n, seq)
					args := [][]byte{[]byte(ref), []byte(silenceMember), []byte(strconv.Itoa(seq))}
					err := c.ExecParams(context.WithoutCancel(ctx), load.PaySQL, args, nil, nil, nil).Read().Err
					s.record.Paid(load.NewPayment(ref, load.Pay, load.OutcomeOf(err)))
					return err
				})
			})
		}
	}
	time.Sleep(silenceMargin)
	readsBefore, hedgedBefore := s.countReads(id)
	s.noteFault()
	from := time.Now()
	s.w.signal(id, syscall.SIGSTOP)
	time.Sleep(s.duration(a[1]))
	s.w.signal(id, syscall.SIGCONT)
	to := time.Now()
	time.Sleep(silenceMargin)
	cancel()
	wg.Wait()
	readsAfter, hedgedAfter := s.countReads(id)
	s.t.Logf("hedged reads: %v of %v before, %v of %v since", hedgedBefore, readsBefore, hedgedAfter-hedgedBefore,
		readsAfter-readsBefore)
	s.t.Logf("%s, owner of %s, was silent for %v", id, a[0], to.Sub(from).Round(time.Millisecond))
	for _, k := range []struct {
		name string
		log  *silenceLog
	}{{"reads", reads}, {"writes", writes}} {
		s.t.Logf("%s before the silence: %s", k.name, k.log.summary(from.Add(-silenceMargin/2), from))
		s.t.Logf("%s in the first 3 s of the silence: %s", k.name, k.log.summary(from, from.Add(3*time.Second)))
		s.t.Logf("%s during the silence: %s", k.name, k.log.summary(from, to))
		s.t.Logf("%s after the silence: %s; errors in total %v", k.name, k.log.summary(to, to.Add(silenceMargin)), k.log.errors)
		if !k.log.answered(from, to) {
			s.t.Errorf("none of the %s was answered while %s was silent", k.name, id)
		}
	}
}

// countReads returns how many reads all VMs but the excluded one have answered, and how many of them were hedged.
func (s *script) countReads(excluded string) (reads, hedged float64) {
	s.t.Helper()
	for _, id := range s.w.vmIDs {
		if id == excluded {
			continue
		}
		resp, err := http.Get("http://" + s.w.vm(id).listen[3] + "/metrics.json")
		s.w.check(err)
		var samples []metric.Sample
		err = json.NewDecoder(resp.Body).Decode(&samples)
		_ = resp.Body.Close()
		s.w.check(err)
		for _, v := range samples {
			switch v.Name {
			case metric.Prefix + metric.Reads:
				reads += v.Value
			case metric.Prefix + metric.HedgedReads:
				hedged += v.Value
			}
		}
	}
	return reads, hedged
}

// repeatRequests sends requests of one caller through a VM until ctx ends. It reconnects if the connection is closed.
func (s *script) repeatRequests(ctx context.Context, l *silenceLog, id string, user int, request func(*pgconn.PgConn, int) error) {
	var c *pgconn.PgConn
	defer func() {
		if c != nil {
			_ = c.Conn().Close()
		}
	}()
	for seq := 1; ctx.Err() == nil; seq++ {
		if c == nil || c.IsClosed() {
			var err error
			if c, err = s.w.connect(ctx, s.w.vm(id).listen[0], site.User(user%callers), site.Password, service); err != nil {
				c = nil
				l.failed(ctx, err)
				load.Pause(ctx, silencePause)
				continue
			}
		}
		began := time.Now()
		if err := request(c, seq); err != nil {
			l.failed(ctx, err)
		} else {
			l.mu.Lock()
			l.requests = append(l.requests, answeredRequest{began, time.Now()})
			l.mu.Unlock()
		}
		load.Pause(ctx, silencePause)
	}
}

func (l *silenceLog) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors[err.Error()]++
}

func (l *silenceLog) answered(from, to time.Time) bool {
	return slices.ContainsFunc(l.requests, func(d answeredRequest) bool { return d.began.After(from) && d.ended.Before(to) })
}

// summary describes the requests that were in progress between from and to: the longest time without an answer to any caller,
// and the distribution of the response times.
func (l *silenceLog) summary(from, to time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.requests, func(a, b answeredRequest) int { return a.ended.Compare(b.ended) })
	gap, last := time.Duration(0), from
	var took []time.Duration
	slow := 0
	for _, d := range l.requests {
		if d.ended.After(from) && d.ended.Before(to) {
			gap, last = max(gap, d.ended.Sub(last)), d.ended
		}
		// A request that was in flight when the VM was stopped counts as well.
		if d.ended.After(from) && d.began.Before(to) {
			took = append(took, d.ended.Sub(d.began))
			if d.ended.Sub(d.began) > time.Second {
				slow++
			}
		}
	}
	gap = max(gap, to.Sub(last))
	if len(took) == 0 {
		return fmt.Sprintf("no requests; longest time without an answer %v", gap.Round(time.Millisecond))
	}
	slices.Sort(took)
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(100 * time.Microsecond) }
	return fmt.Sprintf("%d requests; longest time without an answer %v; p50 %v p99 %v p99.9 %v max %v; %d took over 1 s", len(took),
		gap.Round(time.Millisecond), at(0.5), at(0.99), at(0.999), at(1), slow)
}

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is graceS, and lateAfter how long after SIGTERM a request must be sent for the rule to allow no excuse for the server.
	graceTime = 6 * time.Second
	lateAfter = 3 * time.Second
	// slowWork is what a read takes: less than the greatest work of gate-check, 500 ms.
	slowWork = 450 * time.Millisecond
	// transactionReads is how many reads a transaction has besides its begin and its commit: 12 statements in all.
	transactionReads = 10
	// pause is the client's pause between two statements of a transaction.
	pause       = 2 * time.Millisecond
	routeMS     = 3000
	stopClients = 8
	// firstBegin is when after SIGTERM the first client begins its transaction, and clientDelay the time from one client to the next. The
	// VM still accepts sessions then.
	firstBegin  = 600 * time.Millisecond
	clientDelay = 180 * time.Millisecond
)

// cutRequest is a request whose connection ended without a whole answer.
type cutRequest struct {
	answer
	sent time.Time
}

// playStop stops a VM with SIGTERM while clients are in transactions.
func playStop(p *play) (int, error) {
	f, err := startFleet(p.dir, p.program, p.record, []string{"zone-a", "zone-a", "zone-b", "zone-b"}, constantWork(slowWork))
	if err != nil {
		return failed, err
	}
	defer f.close()
	f.configure(1, route("gate", "bounded_stale", 1500, routeMS, 800))
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(steadyTime)
	var mu sync.Mutex
	var cut []cutRequest
	answered := 0
	termAt := time.Now().Add(time.Second)
	var clients sync.WaitGroup
	for i := range stopClients {
		c, err := dialClient(p.record, fmt.Sprintf("c%d", i), f.vms[0], "gate")
		if err != nil {
			return failed, err
		}
		clients.Go(func() {
			defer c.close()
			time.Sleep(time.Until(termAt.Add(firstBegin + time.Duration(i)*clientDelay)))
			n, last := transaction(c)
			mu.Lock()
			defer mu.Unlock()
			answered += n
			if last.err != nil {
				cut = append(cut, last)
			}
		})
	}
	time.Sleep(time.Until(termAt))
	if p.trouble {
		f.vms[0].signal(f, syscall.SIGTERM)
	}
	clients.Wait()
	p.record.add("%d requests were answered", answered)
	if answered < stopClients {
		return failed, fmt.Errorf("only %d requests were answered", answered)
	}
	result := held
	for _, c := range cut {
		after := c.sent.Sub(termAt)
		ended := after + c.took
		if after > lateAfter && ended < graceTime+time.Second && c.took < routeMS*time.Millisecond && f.db.record.saw("begins "+c.id) {
			p.record.add("LOST: %s was sent %s after SIGTERM and passed on to a server; its connection ended after %s without an answer",
				c.id, after.Round(time.Millisecond), c.took.Round(time.Millisecond))
			result = broken
		}
	}
	return result, nil
}

// transaction runs a transaction of reads. It returns how many requests were answered, and the last request.
func transaction(c *client) (int, cutRequest) {
	texts := []string{"BEGIN READ"}
	for i := range transactionReads {
		texts = append(texts, fmt.Sprintf("READ item%d", i))
	}
	texts = append(texts, "COMMIT")
	var last cutRequest
	for n, text := range texts {
		time.Sleep(pause)
		last.sent = time.Now()
		last.answer = c.do(text, 2*routeMS*time.Millisecond)
		switch {
		case last.err != nil:
			return n, last
		case last.code != "" && last.state == "E":
			_ = c.do("ROLLBACK", time.Second)
			return n, last
		case last.code != "" && last.state == "I":
			return n, last
		}
	}
	return len(texts), last
}

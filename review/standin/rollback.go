package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	leavingClients = 40 // per VM
	patience       = 100 * time.Millisecond
	recoverTime    = 12 * time.Second
	measureTime    = 4 * time.Second
	trafficClients = 9
)

// rollbackReset plays a final fault: the processes of all VMs are killed and started again. After it some clients give up in the middle
// of a transaction: they roll back and close their connection while an answer lies unread, which resets the connection.
func rollbackReset(rec *recorder, trouble bool) ([]string, error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w, err := newWorld(rec, zones, 0, []route{{"dues", "primary", time.Second}})
	if err != nil {
		return nil, err
	}
	defer w.close()
	for i, z := range zones {
		if _, err := w.addVM(fmt.Sprintf("vm-%d", i), z); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	before := servedShare(w, measureTime)
	rec.printf("share of the requests served before the final fault: %.3f", before)
	for _, v := range w.vms {
		v.kill()
	}
	time.Sleep(time.Second)
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	var leavers sync.WaitGroup
	for _, v := range w.vms {
		leavers.Go(func() {
			for i := range leavingClients {
				giveUp(w, v, i, trouble)
			}
		})
	}
	leavers.Wait()
	for _, v := range w.vms {
		rec.printf("%s: state %s", v.name, v.state())
	}
	time.Sleep(recoverTime - time.Since(back))
	after := servedShare(w, measureTime)
	rec.printf("share of the requests served that were sent later than %s after the machines were back: %.3f", recoverTime, after)
	if before >= 0.25 && after < 0.25 {
		return []string{fmt.Sprintf("RECOVER: %.3f of the requests are served, %.3f were before the final fault", after, before)}, nil
	}
	return nil, nil
}

// giveUp opens a transaction, writes, and sends a read. A client that leaves waits for the answer no longer than its patience, rolls
// back, and closes its connection without reading anything more. Otherwise it reads all answers before it closes.
func giveUp(w *world, v *vm, n int, leaves bool) {
	c, err := dial(w.rec, fmt.Sprintf("leaver-%s-%d", v.name, n), v.callers, "dues")
	if err != nil {
		return
	}
	defer func() { _ = c.conn.Close() }()
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE plot-%d none", n)} {
		if _, a, err := c.query(text); err != nil || !a.ok() {
			return
		}
	}
	if !leaves {
		_, _, _ = c.query("READ plot-1")
		_, _, _ = c.query("ROLLBACK")
		return
	}
	read, rollback := newID(), newID()
	w.rec.printf("%s: sends %s %q", c.name, read, "READ plot-1")
	_, _ = fmt.Fprintf(c.conn, "QUERY %s READ plot-1\r\n", read)
	time.Sleep(patience)
	w.rec.printf("%s: gives up, sends %s %q and closes", c.name, rollback, "ROLLBACK")
	_, _ = fmt.Fprintf(c.conn, "QUERY %s ROLLBACK\r\n", rollback)
}

// servedShare sends requests for a while and returns the share that is answered with success.
func servedShare(w *world, d time.Duration) float64 {
	var asked, served atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(d)
	for i := range trafficClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				c, err := dial(w.rec, fmt.Sprintf("client-%d", i), w.vms[i%len(w.vms)].callers, "dues")
				for err == nil && time.Now().Before(end) {
					asked.Add(1)
					var a answer
					if _, a, err = c.query(fmt.Sprintf("READ plot-%d", i)); err == nil && a.ok() {
						served.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
				if err == nil {
					c.bye()
				} else {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	if asked.Load() == 0 {
		return 0
	}
	return float64(served.Load()) / float64(asked.Load())
}

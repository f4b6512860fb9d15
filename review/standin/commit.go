package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of acknowledgedCommitLost, from the start of traffic.
const (
	drainAt      = 3 * time.Second
	deafAt       = 4 * time.Second
	crashAt      = 8 * time.Second
	promoteLimit = 20 * time.Second
)

// acknowledgedCommitLost plays a service with syncReplicas 1. One replica drains, the other one receives nothing for a while, and
// the primary crashes meanwhile. Every acknowledged commit is in the log of the draining replica, which still runs.
func acknowledgedCommitLost(rec *recorder, trouble bool) ([]string, error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w, err := newWorld(rec, zones, 1, []route{{"dues", "primary", time.Second}})
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
	var mu sync.Mutex
	acknowledged := make(map[string]time.Time)
	done := make(chan struct{})
	var writers sync.WaitGroup
	for i := range 6 {
		writers.Go(func() {
			writeUntil(done, w, i, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged[id] = time.Now()
			})
		})
	}
	primary, draining, other := w.group.servers[0], w.group.servers[1], w.group.servers[2]
	start := time.Now()
	time.Sleep(drainAt)
	rec.printf("operator: %s begins to drain", draining.id)
	w.group.set(func() { draining.draining = true })
	time.Sleep(deafAt - time.Since(start))
	if trouble {
		rec.printf("disruption: %s receives nothing from the primary", other.id)
		w.group.set(func() { other.deaf = true })
	}
	time.Sleep(crashAt - time.Since(start))
	if trouble {
		rec.printf("disruption: the primary %s crashes", primary.id)
		primary.crash()
	}
	promoted := awaitPromotion(w, primary, trouble)
	time.Sleep(time.Second)
	close(done)
	writers.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(acknowledged) == 0 || (trouble && promoted == nil) {
		return nil, fmt.Errorf("%d commits were acknowledged, promoted server: %v", len(acknowledged), promoted)
	}
	if promoted == nil {
		promoted = primary
	}
	return missingCommits(rec, w, promoted, acknowledged), nil
}

// writeUntil writes through the VMs in turn until done is closed, and passes on the id of each acknowledged write.
func writeUntil(done <-chan struct{}, w *world, n int, acknowledge func(id string)) {
	for turn := n; ; turn++ {
		c, err := dial(w.rec, fmt.Sprintf("writer-%d", n), w.vms[turn%len(w.vms)].callers, "dues")
		for err == nil {
			select {
			case <-done:
				c.bye()
				return
			default:
			}
			id, a, e := c.query(fmt.Sprintf("WRITE plot-%d %d", n, time.Now().UnixNano()))
			if err = e; err == nil && a.ok() {
				acknowledge(id)
			}
			time.Sleep(20 * time.Millisecond)
		}
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// awaitPromotion returns the server that was promoted in place of the primary, or nil.
func awaitPromotion(w *world, primary *server, expected bool) *server {
	limit := promoteLimit
	if !expected {
		limit = 5 * time.Second
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var l *server
		w.group.set(func() { l = w.group.leader() })
		if l != nil && l != primary {
			return l
		}
	}
	return nil
}

// missingCommits returns a breach if the log of the server lacks acknowledged commits.
func missingCommits(rec *recorder, w *world, promoted *server, acknowledged map[string]time.Time) []string {
	held := make(map[string]map[string]bool)
	w.group.set(func() {
		for _, s := range w.group.servers {
			held[s.id] = make(map[string]bool)
			for _, e := range s.log {
				held[s.id][e.id] = true
			}
			rec.printf("server %s: primary=%v term=%d log=%d draining=%v down=%v", s.id, s.primary, s.term, len(s.log), s.draining, s.down)
		}
	})
	missing := 0
	for id, at := range acknowledged {
		if !held[promoted.id][id] {
			missing++
			rec.printf("lost: commit %s, acknowledged at %.3f", id, at.Sub(rec.start).Seconds())
		}
	}
	rec.printf("%d commits acknowledged, %d of them not in the log of %s", len(acknowledged), missing, promoted.id)
	if missing == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d acknowledged commits are not in the log of the promoted server %s", missing,
		len(acknowledged), promoted.id)}
}

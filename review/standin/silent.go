package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of silentStore, from the start of the disruption. The store does not answer one VM for silentTime; stableTime later the VM
// counts as in touch again.
const (
	silentTime   = 5 * time.Second
	stableTime   = 4 * time.Second
	drainTime    = 7 * time.Second // within which a draining server gets no more new work
	watchTime    = 9 * time.Second // from then on
	silentReader = 8
)

// silentStore plays a store that does not answer the calls of one VM for some seconds. Once the VM is in touch again, a replica in
// its zone begins to drain.
func silentStore(rec *recorder, trouble bool) ([]string, error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	w, err := newWorld(rec, zones, 0, []route{{"dues", "primary", time.Second}, {"plots", "read_your_writes", time.Second}})
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
	victim, replica := w.vms[1], w.group.servers[1]
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for i := range silentReader {
		readers.Go(func() {
			readPlots(done, w, victim, i, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				sent[id] = time.Now()
			})
		})
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	if trouble {
		rec.printf("disruption: the store no longer answers %s", victim.name)
		victim.gate.setSilent(true)
	}
	time.Sleep(silentTime)
	victim.gate.setSilent(false)
	rec.printf("disruption: the store answers %s again", victim.name)
	time.Sleep(silentTime + stableTime + 500*time.Millisecond - time.Since(start))
	w.group.set(func() { replica.draining = true })
	w.store.Put("servers", replica.id, replica.beat(1<<20))
	acknowledged := time.Now()
	rec.printf("server %s: the store has acknowledged that it is draining", replica.id)
	time.Sleep(drainTime + watchTime)
	close(done)
	readers.Wait()
	return lateRuns(rec, w, replica, sent, acknowledged.Add(drainTime)), nil
}

// readPlots reads through one VM until done is closed, and passes on the id of each read.
func readPlots(done <-chan struct{}, w *world, v *vm, n int, record func(id string)) {
	for {
		c, err := dial(w.rec, fmt.Sprintf("reader-%d", n), v.callers, "plots")
		for err == nil {
			select {
			case <-done:
				c.bye()
				return
			default:
			}
			id := newID()
			record(id)
			_, err = c.queryAs(id, fmt.Sprintf("READ plot-%d", n))
			time.Sleep(30 * time.Millisecond)
		}
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// lateRuns returns a breach if the server ran requests that were sent after the limit.
func lateRuns(rec *recorder, w *world, s *server, sent map[string]time.Time, limit time.Time) []string {
	late := 0
	var last time.Time
	for _, r := range w.group.snapshot() {
		at, known := sent[r.id]
		rec.printf("server %s ran %s %q at %.3f", r.server, r.id, r.text, r.at.Sub(rec.start).Seconds())
		if r.server == s.id && known && at.After(limit) {
			late++
			last = r.at
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %s after the acknowledgement, the last one %.1f s after that bound",
		late, s.id, drainTime, last.Sub(limit).Seconds())}
}

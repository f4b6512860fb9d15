package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// stableTime is stableMs of the small sites.
	stableTime = 4 * time.Second
	// silentProbe is how long a configuration is used, and silentRest the time until the next round.
	silentProbe  = 7 * time.Second
	silentRest   = 5 * time.Second
	silentRounds = 6
)

// playSilent makes the open connection go silent on which each VM waits for changes of the configuration, changes the configuration, and
// uses the VMs.
func playSilent(p *play) (int, error) {
	f, err := startFleet(p.dir, p.program, p.record, []string{"zone-a", "zone-a", "zone-b", "zone-b"}, constantWork(5*time.Millisecond))
	if err != nil {
		return failed, err
	}
	defer f.close()
	f.configure(1, databaseRoutes(0))
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(steadyTime)
	result, admitted := held, 0
	for n := range silentRounds {
		for _, v := range f.vms {
			if p.trouble {
				p.record.add("round %d: %d connections of %s to the store go silent", n, v.tap.silence("op"), v.name)
			}
		}
		touch := time.Now().Add(stableTime)
		u, err := p.useAll(f, n, touch)
		if err != nil {
			return failed, err
		}
		if u.late > 0 {
			result = broken
		}
		admitted += u.admitted
		time.Sleep(silentRest)
	}
	if admitted == 0 {
		return failed, errors.New("no session of a new database was opened")
	}
	return result, nil
}

// useAll changes the configuration, and uses all VMs before and after.
func (p *play) useAll(f *fleet, n int, touch time.Time) (lateUse, error) {
	change := sync.OnceValue(func() time.Time {
		time.Sleep(changeDelay)
		return f.configure(n+2, databaseRoutes(n+1))
	})
	var mu sync.Mutex
	var all lateUse
	var failure error
	var used sync.WaitGroup
	for _, v := range f.vms {
		used.Go(func() {
			u, err := p.probe(v, n, fmt.Sprintf("db%d", n), fmt.Sprintf("db%d", n+2), change, touch, silentProbe)
			mu.Lock()
			defer mu.Unlock()
			failure = errors.Join(failure, err)
			all.late += u.late
			all.admitted += u.admitted
		})
	}
	used.Wait()
	return all, failure
}

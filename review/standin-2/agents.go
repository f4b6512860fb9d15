package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// outage is how long the store answers nothing to some VMs, and rest the time from then until the next round.
	outage = 5 * time.Second
	rest   = 9 * time.Second
	rounds = 6
	// probeEvery is the time between two sessions, or two writes of a session, at the VM that is looked at.
	probeEvery = 100 * time.Millisecond
	// changeDelay is how long after the start of a disruption the configuration changes.
	changeDelay = 30 * time.Millisecond
	// configApply is configApplyMs of the small sites.
	configApply = 3 * time.Second
	steadyTime  = 8 * time.Second
)

// agentsOf returns the names of the VMs through which a VM calls the store, in the order in which it tries them.
func agentsOf(v *vm) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.meta + "/state")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		Agents struct {
			Agents []string `json:"agents"`
		} `json:"agents"`
	}
	err = json.NewDecoder(resp.Body).Decode(&state)
	return state.Agents.Agents, err
}

// splitZone returns the VMs of the first zone that call the store for the others, and one of the others.
func (f *fleet) splitZone(zone string) (agents []*vm, other *vm, err error) {
	for _, v := range f.vms {
		if v.zone != zone {
			continue
		}
		names, err := agentsOf(v)
		if err != nil {
			return nil, nil, err
		}
		if slices.Contains(names, v.name) {
			agents = append(agents, v)
		} else {
			other = v
		}
	}
	if len(agents) == 0 || other == nil {
		return nil, nil, errors.New("the zone has no VM that calls the store through others")
	}
	return agents, other, nil
}

// lateUse is what is seen of a change of the configuration at a VM.
type lateUse struct {
	admitted int
	worst    time.Duration // after the acknowledgement the last request was sent that was handled as the old version allows
	late     int           // such requests that were sent more than configApply after the acknowledgement
}

// probe uses a VM before and after a change of the configuration, which lacks one database and has another one. Change makes the change
// and returns when it was acknowledged. A request counts as late only if it was sent later than touch.
func (p *play) probe(v *vm, n int, before, after string, change func() time.Time, touch time.Time, length time.Duration) (lateUse, error) {
	c, err := dialClient(p.record, fmt.Sprintf("%s-old%d", v.name, n), v, before)
	if err != nil {
		return lateUse{}, err
	}
	defer c.close()
	acknowledged := change()
	var mu sync.Mutex
	var u lateUse
	judge := func(sent time.Time, old bool, what string) {
		mu.Lock()
		defer mu.Unlock()
		if !old {
			return
		}
		d := sent.Sub(acknowledged)
		u.worst = max(u.worst, d)
		if d > configApply && sent.After(touch) {
			u.late++
			p.record.add("CONFIG: %s %s, %s after the acknowledgement of version %d", v.name, what, d.Round(time.Millisecond), n+2)
		}
	}
	var probes sync.WaitGroup
	probes.Go(func() {
		for i := 0; time.Since(acknowledged) < length; i++ {
			sent := time.Now()
			a := c.do(fmt.Sprintf("WRITE item%d x%d", n, i), 2*time.Second)
			if a.err != nil {
				return
			}
			judge(sent, a.code == "" && a.signed, "acknowledges a write with a dropped route")
			time.Sleep(probeEvery)
		}
	})
	for i := 0; time.Since(acknowledged) < length; i++ {
		probes.Go(func() {
			sent := time.Now()
			s, err := dialClient(p.record, fmt.Sprintf("%s-new%d-%d", v.name, n, i), v, after)
			if err == nil {
				s.close()
				mu.Lock()
				u.admitted++
				mu.Unlock()
				return
			}
			judge(sent, strings.Contains(err.Error(), "NODB"), "refuses a session of a new route with NODB")
		})
		time.Sleep(probeEvery)
	}
	probes.Wait()
	p.record.add("%s: the last request that it handled as the old version allows was sent %s after the acknowledgement", v.name,
		u.worst.Round(time.Millisecond))
	return u, nil
}

// databaseRoutes returns the routes of the n-th configuration: two databases, of which the next one has the second.
func databaseRoutes(n int) string {
	return route(fmt.Sprintf("db%d", n), "primary", 0, 1000, 200) + "," + route(fmt.Sprintf("db%d", n+1), "primary", 0, 1000, 200)
}

// playAgents makes the store give no response to three of the four VMs of a zone, changes the configuration meanwhile, and uses the
// fourth VM, which the store serves all the time.
func playAgents(p *play) (int, error) {
	zones := []string{"zone-a", "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c", "zone-d", "zone-d"}
	f, err := startFleet(p.dir, p.program, p.record, zones, constantWork(5*time.Millisecond))
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
	for n := range rounds {
		agents, other, err := f.splitZone("zone-a")
		if err != nil {
			return failed, err
		}
		for _, v := range agents {
			if p.trouble {
				v.link.Silence(true)
				p.record.add("round %d: the store gives no response to %s", n, v.name)
			}
		}
		u, err := p.probe(other, n, fmt.Sprintf("db%d", n), fmt.Sprintf("db%d", n+2), func() time.Time {
			time.Sleep(changeDelay)
			return f.configure(n+2, databaseRoutes(n+1))
		}, time.Now(), outage)
		if err != nil {
			return failed, err
		}
		if u.late > 0 {
			result = broken
		}
		admitted += u.admitted
		for _, v := range agents {
			v.link.Silence(false)
		}
		time.Sleep(rest)
	}
	if admitted == 0 {
		return failed, errors.New("no session of a new database was opened")
	}
	return result, nil
}

package slope

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// reconnectDuration is how long reconnects are measured.
const reconnectDuration = 4 * time.Second

var barriers = Measurement{
	name: "barriers", x: "reconnects/s", help: "callers that connect to a VM, read once and disconnect; another VM owns the servers",
	sizes: []int{100, 250, 500, 1000}, tiny: 20, run: measureReconnects,
}

func measureReconnects(ctx context.Context, rate int) ([]Value, error) {
	d, err := startDeployment(ctx, plan{
		vms: []string{"front", "back"}, roles: []string{roleCaller, roleOwner}, servers: []string{"back", "back", "back"},
		slots: statementCallers,
	})
	if err != nil {
		return nil, err
	}
	defer d.close()
	l, err := newLogin()
	if err != nil {
		return nil, err
	}
	before, bytes := d.barrierRequests(), d.serverBytes()
	var secs float64
	var n int
	roles, err := cpuByRole(func() error {
		begin := time.Now()
		var err error
		withRole(ctx, roleLab, func() { n, err = reconnectAll(ctx, l, d.nodes[0].CallerAddr(), rate) })
		secs = time.Since(begin).Seconds()
		return err
	})
	if err != nil {
		return nil, err
	}
	requests := d.barrierRequests() - before
	return []Value{
		{"reconnects", "1/s", float64(n) / secs},
		{"barrier requests to the watcher", "1/s", requests / secs},
		{"reconnects that share a request", "", float64(n) / max(requests, 1)},
		{"CPU, callers' VM", "% of a core", 100 * roles[roleCaller] / secs},
		{"CPU, owner VM", "% of a core", 100 * roles[roleOwner] / secs},
		{"bytes to and from the servers", "B/s", (d.serverBytes() - bytes) / secs},
	}, nil
}

// barrierRequests returns how many barrier requests the first VM has sent to its peers.
func (d *deployment) barrierRequests() float64 {
	for _, k := range d.nodes[0].Mesh().Stats().Kinds() {
		if k.Name() == "Call" {
			return float64(k.Sent())
		}
	}
	return 0
}

// reconnectAll makes connections at the given rate per second and returns their number. If the machine cannot keep up,
// fewer are made; the time is not extended.
func reconnectAll(ctx context.Context, l *login, addr string, rate int) (int, error) {
	const workers = 64
	due := make(chan struct{}, workers)
	errs := make(chan error, workers)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range due {
				if err := reconnectOne(ctx, l, addr); err != nil {
					select {
					case errs <- err:
					default:
					}
				}
			}
		}()
	}
	n, limit := 0, scaledDuration(ctx, reconnectDuration)
	begin := time.Now()
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for time.Since(begin) < limit && ctx.Err() == nil {
		for want := int(time.Since(begin).Seconds() * float64(rate)); n < want; n++ {
			due <- struct{}{}
		}
		<-t.C
	}
	close(due)
	wg.Wait()
	select {
	case err := <-errs:
		return n, fmt.Errorf("reconnect: %w", err)
	default:
		return n, ctx.Err()
	}
}

func reconnectOne(ctx context.Context, l *login, addr string) error {
	c, err := l.open(ctx, addr, false)
	if err != nil {
		return err
	}
	defer c.close()
	return c.query("SELECT n FROM tick WHERE id = 1")
}

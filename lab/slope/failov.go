package slope

import (
	"context"
	"errors"
	"time"

	"verbenagate/io/config"
)

var failover = Measurement{
	name: "failover", x: "poll interval in ms",
	help:  "time from the failure of a primary to the first acknowledged write; timing.silence is at least three poll intervals",
	sizes: []int{100, 250, 500, 1000}, tiny: 100, run: measureFailover,
}

func measureFailover(ctx context.Context, ms int) ([]Value, error) {
	interval := time.Duration(ms) * time.Millisecond
	frozen, err := timeToFirstWrite(ctx, interval, func(d *deployment) { d.servers[0].Freeze() })
	if err != nil {
		return nil, err
	}
	crashed, err := timeToFirstWrite(ctx, interval, func(d *deployment) { d.servers[0].Crash() })
	return []Value{
		{"primary freezes", "ms", float64(frozen) / 1e6},
		{"primary's process ends", "ms", float64(crashed) / 1e6},
	}, err
}

// timeToFirstWrite returns the time from the failure of the primary to the first acknowledged write.
func timeToFirstWrite(ctx context.Context, interval time.Duration, fail func(*deployment)) (time.Duration, error) {
	d, err := startDeployment(ctx, plan{
		vms: spread(3, 3), servers: spread(3, 3), slots: 5,
		changeSettings: func(cfg *config.Settings) {
			cfg.Timing.WatchInterval = interval
			cfg.Timing.Silence = max(cfg.Timing.Silence, 3*interval)
		},
	})
	if err != nil {
		return 0, err
	}
	defer d.close()
	l, err := newLogin()
	if err != nil {
		return 0, err
	}
	// The start requests extra polls. Wait until only the regular ones, one per interval, are left.
	if err := sleep(ctx, 2*interval); err != nil {
		return 0, err
	}
	fail(d)
	return awaitFirstWrite(ctx, l, d)
}

// awaitFirstWrite returns the time until a write is acknowledged. It sends each write over a new connection and does not
// wait for the earlier ones, which may block on the failed server until their deadline.
func awaitFirstWrite(ctx context.Context, l *login, d *deployment) (time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	done := make(chan time.Duration, 1)
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		go func() {
			c, err := l.open(ctx, d.nodes[2].CallerAddr(), false)
			if err != nil {
				return
			}
			defer c.close()
			if c.query("UPDATE tick SET n = n + 1 WHERE id = 1") == nil {
				select {
				case done <- time.Since(begin):
				default:
				}
			}
		}()
		select {
		case d := <-done:
			return d, nil
		case <-t.C:
		case <-ctx.Done():
			return 0, errors.New("no write was acknowledged after the primary failed")
		}
	}
}

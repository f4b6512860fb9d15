package slope

import (
	"context"
	"errors"
	"time"

	"verbenagate/io/config"
)

var failover = Measurement{
	name: "failover", x: "poll interval in ms", help: "time from the failure of a primary to the first acknowledged write, with a silence of three intervals",
	sizes: []int{100, 250, 500, 1000}, tiny: 100, run: failOver,
}

func failOver(ctx context.Context, ms int) ([]Value, error) {
	interval := time.Duration(ms) * time.Millisecond
	frozen, err := gap(ctx, interval, func(b *bench) { b.servers[0].Freeze() })
	if err != nil {
		return nil, err
	}
	crashed, err := gap(ctx, interval, func(b *bench) { b.servers[0].Crash() })
	return []Value{
		{"primary freezes", "ms", float64(frozen) / 1e6},
		{"primary's process ends", "ms", float64(crashed) / 1e6},
	}, err
}

// gap returns the time from the failure of the primary to the first acknowledged write.
func gap(ctx context.Context, interval time.Duration, fail func(*bench)) (time.Duration, error) {
	b, err := start(ctx, plan{
		vms: spread(3, 3), servers: spread(3, 3), slots: 5,
		set: func(cfg *config.Settings) {
			cfg.Timing.WatchInterval = interval
			cfg.Timing.Silence = max(cfg.Timing.Silence, 3*interval)
		},
	})
	if err != nil {
		return 0, err
	}
	defer b.close()
	l, err := newLogin()
	if err != nil {
		return 0, err
	}
	// The polls must be at their usual pace, after those that the start asked for.
	if err := wait(ctx, 2*interval); err != nil {
		return 0, err
	}
	fail(b)
	return firstWrite(ctx, l, b)
}

// firstWrite sends writes over new connections until one is acknowledged, since an earlier one may wait for the failed
// server until its deadline.
func firstWrite(ctx context.Context, l *login, b *bench) (time.Duration, error) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	done := make(chan time.Duration, 1)
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		go func() {
			c, err := l.open(ctx, b.nodes[2].CallerAddr(), false)
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

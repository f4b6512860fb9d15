// Package every runs functions at regular intervals, and waits between the attempts of loops that try again.
package every

import (
	"context"
	"time"
)

// Interval calls f each time interval has passed, until ctx ends. Calls that fall due while f runs are made up for once.
func Interval(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Wait waits until changed is closed or sent to, for at most d, or until ctx ends.
func Wait(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { Wait(ctx, d, nil) }

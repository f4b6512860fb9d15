// Package every runs functions at regular intervals.
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

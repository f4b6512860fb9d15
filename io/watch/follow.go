// Package watch follows tables of the platform's store and keeps the configuration in force and the known servers.
package watch

import (
	"context"
	"errors"
	"time"

	"verbenagate/core/port"
	"verbenagate/core/retry"
)

const (
	// wait is how long the store holds a call for changes. Each call is paid for, and a silent connection is detected apart
	// from it.
	wait = 20 * time.Second
	// firstRetry and mostRetry bound the delay after a failed call.
	firstRetry = 50 * time.Millisecond
	mostRetry  = time.Second
)

// Follower takes in the rows of a table.
type Follower interface {
	// Reset gives all rows of the table.
	Reset(sent time.Time, s port.Snapshot)
	// Change gives rows that were changed or deleted.
	Change(sent time.Time, s port.Snapshot)
	// Down tells of a failed call.
	Down(err error)
}

// Follow keeps a follower current until ctx ends. After a change it waits for gather before it asks for the next one, so that
// changes that come together cost one call.
func Follow(ctx context.Context, rows port.RowReader, table string, gather time.Duration, clock func() time.Time, f Follower) {
	backoff := retry.NewBackoff(firstRetry, mostRetry)
	listed, failures := false, 0
	var version uint64
	for ctx.Err() == nil {
		sent := clock()
		var s port.Snapshot
		var err error
		if listed {
			s, err = rows.Changes(ctx, table, version, wait)
		} else {
			s, err = rows.List(ctx, table)
		}
		switch {
		case errors.Is(err, port.ErrHistoryGone):
			listed = false
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			failures++
			f.Down(err)
			pause(ctx, backoff.Delay(failures, retry.Jitter()))
		case listed:
			failures, version = 0, max(version, s.Version)
			f.Change(sent, s)
			if len(s.Rows) > 0 && gather > 0 {
				pause(ctx, gather)
			}
		default:
			listed, failures, version = true, 0, s.Version
			f.Reset(sent, s)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Package watch follows tables of the platform's store and maintains the configuration in force and the registered servers.
package watch

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/retry"
	"verbenagate/io/every"
)

const (
	// longPollWait is how long a call to an agent may wait for changes. Each call costs traffic, and a dead connection to an agent
	// is detected separately. The store itself is asked more often, since a lost answer of it shows only by a time limit.
	longPollWait = 20 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// Follower receives the rows of a table from Follow. Sent is the time at which the call that returned the rows was made.
type Follower interface {
	// Reset replaces everything received before by s, which holds all rows of the table.
	Reset(sent time.Time, s port.Snapshot)
	// Change passes the rows that were changed or deleted since the last Reset or Change.
	Change(sent time.Time, s port.Snapshot)
	// CallFailed reports a failed call of the store. It is called for each failure.
	CallFailed(err error)
}

// Follow passes the rows of a table and their changes to f until ctx ends. After a change it waits for batchDelay before the
// next call, so that several changes in quick succession cost one call. A batchDelay of 0 means no wait.
func Follow(ctx context.Context, rows port.RowReader, table string, batchDelay time.Duration, clock func() time.Time,
	f Follower,
) {
	backoff := retry.NewBackoff(minRetryDelay, maxRetryDelay)
	listed, failures := false, 0
	var version eras.Position
	for ctx.Err() == nil {
		sent := clock()
		var s port.Snapshot
		var err error
		if listed {
			wait := longPollWait
			if failures > 0 {
				wait = 0 // The answer shows at once that the store can be reached again.
			}
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
			f.CallFailed(err)
			every.Sleep(ctx, backoff.Delay(failures, retry.Jitter()))
		default:
			err := deliver(f, sent, s, listed)
			if err != nil && !listed {
				// Listing the rows again would not help.
				f.CallFailed(err)
				err = deliver(f, sent, withoutMalformedRows(f, sent, s), false)
			}
			if err != nil {
				listed = false
				failures++
				f.CallFailed(err)
				every.Sleep(ctx, backoff.Delay(failures, retry.Jitter()))
				continue
			}
			failures = 0
			if !listed {
				listed, version = true, s.Version
				continue
			}
			version = max(version, s.Version)
			if len(s.Rows) > 0 && batchDelay > 0 {
				every.Sleep(ctx, batchDelay)
			}
		}
	}
}

// deliver passes rows to the follower. It returns a panic of the follower, which a malformed row may cause, as an error, so that
// the process and the other tables go on.
func deliver(f Follower, sent time.Time, s port.Snapshot, isChange bool) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = result.New(result.Internal, "panic while rows were applied: %v\n%s", p, debug.Stack())
		}
	}()
	if isChange {
		f.Change(sent, s)
	} else {
		f.Reset(sent, s)
	}
	return nil
}

// withoutMalformedRows returns the list s without the rows over which the follower panics. It reports each of them as a failure.
func withoutMalformedRows(f Follower, sent time.Time, s port.Snapshot) port.Snapshot {
	kept := s
	kept.Rows = nil
	for _, row := range s.Rows {
		one := s
		one.Rows = []port.Row{row}
		if err := deliver(f, sent, one, true); err != nil {
			f.CallFailed(result.Wrap(result.Internal, err, "row %.200q of table %s is left out", row.Key, row.Table))
			continue
		}
		kept.Rows = append(kept.Rows, row)
	}
	return kept
}

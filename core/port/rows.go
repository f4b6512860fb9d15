package port

import (
	"context"
	"errors"
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/exec"
	"verbenagate/core/point"
)

// ErrHistoryGone is returned by RowReader.Changes if the store no longer holds all changes since the requested version. The
// rows must be listed again.
var ErrHistoryGone = errors.New("the store no longer holds all changes since the requested version")

// ErrConflict is returned by RowStore.Commit if a row does not have the expected version. Nothing was changed.
var ErrConflict = errors.New("a row does not have the version that the transaction expects")

// Row is one row of a table in the platform's store.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version eras.Position // 0 for a row that does not exist
	Deleted bool          // set only in the result of Changes
}

// Snapshot holds rows that the store returned, and the state of the store at that time.
type Snapshot struct {
	Rows    []Row
	Version eras.Position // the store's newest version
	Clock   time.Duration // the store's monotonic clock
	Relayed bool          // another VM made the call, so that Clock may be older than the request
}

// RowReader reads tables of the platform's store and waits for their changes.
type RowReader interface {
	// List returns all rows of a table as of one moment.
	List(ctx context.Context, table string) (Snapshot, error)
	// Changes waits up to wait for changes that are newer than the version after. It may return earlier, without rows. It
	// returns ErrHistoryGone if the store no longer holds the changes, or if its era is another one.
	Changes(ctx context.Context, table string, after eras.Position, wait time.Duration) (Snapshot, error)
}

// RowStore is the platform's store of tables with versioned rows.
type RowStore interface {
	RowReader
	// Commit atomically puts and removes rows if each row of expect still has its version. It returns ErrConflict if one
	// does not, or if a version is of an older era. After any other error the change may have taken effect or may still take effect, also
	// if the store answered in another era than that of the versions.
	Commit(ctx context.Context, expect, put, remove []Row) (Snapshot, error)
}

// Eras tells of the eras of the platform's store.
type Eras interface {
	// Observe records a position of which this process has heard. It reports false if the position is of an era that has ended, so that
	// nothing of the answer with it may be used.
	Observe(p eras.Position) bool
	// Era returns the newest era of which this process has heard.
	Era() uint64
	// OnChange makes the store call f with each change of the era, before anything of the new era is used, and at once if this process has
	// heard of one already. F must not call the store.
	OnChange(f func(eras.Changed))
}

// Promoter promotes the server id to the primary of the next term of its group. Token is a fencing token, which increases with
// each change of the holder.
type Promoter interface {
	Promote(ctx context.Context, group, id, holder string, token uint64) error
}

// ServerConn is a connection to a database server. It is not safe for concurrent use.
type ServerConn interface {
	// Do sends one request and waits up to limit for the complete answer. After an error the connection cannot be used any
	// more, and sent reports whether the request may have reached the server.
	Do(limit time.Duration, op exec.Operation) (r exec.Result, sent bool, err error)
	// Status requests the server's state with exec.Status and waits up to limit for it.
	Status(limit time.Duration) (exec.ServerStatus, error)
	// PointAtOpen returns the point that the server reported when the connection was opened.
	PointAtOpen() point.Point
	Close() error
}

// Memory counts the bytes of what a connection receives, and limits them. It is not safe for concurrent use.
type Memory interface {
	// Grow asks for n bytes before they are used. After an error they must not be used.
	Grow(n int) error
	// Received says that a message is complete.
	Received()
	// Settle gives back what was asked for, when the message and its answer are no longer needed.
	Settle()
}

// Dialer opens connections to database servers. Dial fails if the server at address is not the one with this group and id. The server
// is told for which workspace the connection is opened; with an empty workspace, it is told the name of the VM.
type Dialer interface {
	Dial(ctx context.Context, address, group, id, workspace string) (ServerConn, error)
}

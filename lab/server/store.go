package server

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// store is a sqlite database in a temporary directory. WAL mode lets readers see the last commit while a write
// transaction is open. In a shared-cache in-memory database, readers would block on the table locks of that transaction.
type store struct {
	dir    string
	writer *sql.DB
	reader *sql.DB
	inUse  sync.RWMutex // held for reading by readers; close takes it for writing
}

func openStore(schema string) (*store, error) {
	dir, err := os.MkdirTemp("", "verbenalab")
	if err != nil {
		return nil, fmt.Errorf("create the database directory: %w", err)
	}
	dsn := "file:" + filepath.Join(dir, "db") + "?_pragma=journal_mode(wal)&_pragma=synchronous(off)&_pragma=busy_timeout(5000)"
	st := &store{dir: dir}
	if st.writer, err = sql.Open("sqlite", dsn); err == nil {
		st.writer.SetMaxOpenConns(1)
		_, err = st.writer.Exec("PRAGMA user_version")
	}
	if err == nil && schema != "" {
		_, err = st.writer.Exec(schema)
	}
	if err == nil {
		st.reader, err = sql.Open("sqlite", dsn+"&_pragma=query_only(1)")
	}
	if err != nil {
		st.close()
		return nil, fmt.Errorf("open the sqlite database: %w", err)
	}
	st.reader.SetMaxIdleConns(16)
	return st, nil
}

// close waits until no reader uses the database, closes it and removes its files.
func (st *store) close() {
	st.inUse.Lock()
	defer st.inUse.Unlock()
	if st.writer != nil {
		_ = st.writer.Close()
	}
	if st.reader != nil {
		_ = st.reader.Close()
	}
	_ = os.RemoveAll(st.dir)
}

// apply executes the statements of all entries in one transaction.
func (st *store) apply(entries []Entry) error {
	tx, err := st.writer.Begin()
	if err != nil {
		return err
	}
	for _, e := range entries {
		for _, q := range e.Stmts {
			if _, err := tx.Exec(q.SQL, q.Args...); err != nil {
				_ = tx.Rollback()
				return fmt.Errorf("apply log entry with term/position %d/%d: %w", e.Term, e.Position, err)
			}
		}
	}
	return tx.Commit()
}

// writeTx is the open write transaction of a session. mu is held while a statement runs, so that the server can roll back
// the transaction between statements.
type writeTx struct {
	mu      sync.Mutex
	srv     *Server
	store   *store
	conn    *sql.Conn
	stmts   []Stmt
	ddl     bool
	ended   bool
	ctx     context.Context
	cancel  context.CancelFunc
	release func()
}

// querier runs statements. It is either the connection pool of the readers or a single connection.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

// end rolls back the transaction unless it has been committed, and releases writeLock. The caller holds mu.
func (t *writeTx) end() {
	if t.ended {
		return
	}
	t.ended = true
	_, _ = t.conn.ExecContext(context.Background(), "ROLLBACK")
	_ = t.conn.Close()
	t.cancel()
	t.srv.clearWriteTx(t)
	t.release()
}

// abort cancels the running statement and ends the transaction. Other goroutines than the session's may call it.
func (t *writeTx) abort() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end()
}

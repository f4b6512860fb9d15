package server

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// store is one sqlite database in a temporary directory. WAL mode lets readers see the last commit while a write
// transaction is open; in a shared-cache memory database they would block on its table locks.
type store struct {
	dir    string
	writer *sql.DB
	reader *sql.DB
	inUse  sync.RWMutex
}

func openStore(schema string) (*store, error) {
	dir, err := os.MkdirTemp("", "verbenalab")
	if err != nil {
		return nil, fmt.Errorf("directory of the database: %w", err)
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
		return nil, fmt.Errorf("open the database: %w", err)
	}
	st.reader.SetMaxIdleConns(16)
	return st, nil
}

// close waits for the readers and removes the files.
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

// apply runs entries in one transaction.
func (st *store) apply(entries []Entry) error {
	tx, err := st.writer.Begin()
	if err != nil {
		return err
	}
	for _, e := range entries {
		for _, q := range e.Stmts {
			if _, err := tx.Exec(q.SQL, q.Args...); err != nil {
				_ = tx.Rollback()
				return fmt.Errorf("apply log entry %d/%d: %w", e.Term, e.Position, err)
			}
		}
	}
	return tx.Commit()
}

// writeTx is the open write transaction of a session. Its lock is held while a statement runs, so that the server
// can roll it back from outside between statements.
type writeTx struct {
	mu      sync.Mutex
	srv     *Server
	st      *store
	conn    *sql.Conn
	stmts   []Stmt
	ddl     bool
	dead    bool
	ctx     context.Context
	cancel  context.CancelFunc
	release func()
}

// querier is what can run statements: the pool of readers or the connection of a write transaction.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

// end rolls back what is not committed and lets the next writer in. The caller holds mu.
func (t *writeTx) end() {
	if t.dead {
		return
	}
	t.dead = true
	_, _ = t.conn.ExecContext(context.Background(), "ROLLBACK")
	_ = t.conn.Close()
	t.cancel()
	t.srv.forgetWriter(t)
	t.release()
}

// abort ends the transaction from outside of its session.
func (t *writeTx) abort() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end()
}

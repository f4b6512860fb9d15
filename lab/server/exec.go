package server

import (
	"context"
	"database/sql"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// result is the outcome of one statement; cols is nil if it returns no rows.
type result struct {
	cols []column
	rows [][]any
	tag  string
}

func errFailed() error {
	return newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

func endsTransaction(toks []token) bool {
	return toks[0].is("rollback") || toks[0].is("commit") || toks[0].is("end") || toks[0].is("abort")
}

func (c *session) env(params []any) env {
	return env{pid: c.pid, now: time.Now(), user: c.user, params: params}
}

// checkVerb refuses what is neither a command of the session nor a statement of the database.
func checkVerb(toks []token) error {
	switch strings.ToLower(toks[0].text) {
	case "select", "values", "with", "insert", "update", "delete", "replace", "create", "drop", "alter", "truncate":
		return nil
	case "copy", "listen", "notify", "unlisten", "declare", "fetch", "move", "lock", "prepare", "execute", "vacuum", "analyze",
		"explain", "grant", "revoke", "call", "do", "comment", "merge", "table", "cluster", "reindex":
		return newError("0A000", "%s is not supported by this server", strings.ToUpper(toks[0].text))
	}
	return newError("42601", "syntax error at or near %q", toks[0].text)
}

// commandColumns returns the result columns of a statement that does not reach the database.
func commandColumns(toks []token) ([]column, bool) {
	if controlName(toks) != "" {
		return controlColumns, true
	}
	switch strings.ToLower(toks[0].text) {
	case "show":
		return []column{{name: settingName(toks[1:]), typ: pgtype.TextOID}}, true
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release", "set", "reset", "discard", "deallocate":
		return nil, true
	}
	return nil, false
}

// runStatement executes one statement.
func (c *session) runStatement(ctx context.Context, toks []token, params []any) (*result, error) {
	if name := controlName(toks); name != "" {
		return c.control(ctx, name, toks[5:])
	}
	if terminates(toks) {
		return c.terminate(toks), nil
	}
	if _, ok := commandColumns(toks); ok {
		return c.command(ctx, toks)
	}
	if c.failed {
		return nil, errFailed()
	}
	if err := checkVerb(toks); err != nil {
		return nil, err
	}
	tr, err := translate(toks, c.env(append([]any{}, params...)))
	if err != nil {
		return nil, err
	}
	args, err := tr.args(params)
	if err != nil {
		return nil, err
	}
	release, err := c.srv.takeSlot(ctx)
	if err != nil {
		return nil, errCancelled()
	}
	defer func() { release() }()
	if err := c.work(ctx, tr.sleep); err != nil {
		return nil, err
	}
	write, ddl := writes(tr.toks)
	if write && c.readOnly {
		return nil, newError("25006", "cannot execute a write in a read-only transaction")
	}
	if (write || lockingClause(toks) >= 0) && c.tx == nil {
		if c.snapshot != nil {
			return nil, errReadOnly()
		}
		if err := c.openWrite(ctx, &release); err != nil {
			return nil, err
		}
	}
	if !write {
		cols, rows, err := c.query(ctx, tr.sql(), args)
		if err != nil {
			return nil, err
		}
		return c.typed(ctx, tr, cols, rows)
	}
	return c.write(ctx, tr, args, ddl)
}

// openWrite starts the write transaction. While another one is open, the slot is given back: its holder may need a
// slot for the statement that ends it.
func (c *session) openWrite(ctx context.Context, release *func()) error {
	tx, err := c.srv.beginWrite(ctx, false)
	if err == nil && tx == nil {
		(*release)()
		*release = func() {}
		if tx, err = c.srv.beginWrite(ctx, true); err == nil {
			var again func()
			if again, err = c.srv.takeSlot(ctx); err == nil {
				*release = again
			} else {
				tx.abort()
			}
		}
	}
	if err != nil {
		return err
	}
	c.tx = tx
	return nil
}

// takeSlot waits for one of the server's slots and returns the function that gives it back.
func (s *Server) takeSlot(ctx context.Context) (func(), error) {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	s.running++
	s.started++
	s.maxRun = max(s.maxRun, s.running)
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		if s.slots != nil {
			<-s.slots
		}
	}, nil
}

// work spends the execution cost of a statement.
func (c *session) work(ctx context.Context, sleep time.Duration) error {
	c.srv.mu.Lock()
	d := c.srv.service + sleep
	c.srv.mu.Unlock()
	pause(ctx, d)
	if ctx.Err() != nil {
		return errCancelled()
	}
	return c.srv.awake(ctx)
}

// query reads through the transaction's connection, or from the last committed state.
func (c *session) query(ctx context.Context, text string, args []any) ([]column, [][]any, error) {
	switch {
	case c.tx != nil:
		var cols []column
		var rows [][]any
		err := c.inWrite(ctx, func(ctx context.Context, q querier) (err error) {
			cols, rows, err = collect(ctx, q, text, args)
			return err
		})
		return cols, rows, err
	case c.snapshot != nil:
		return collect(ctx, c.snapshot, text, args)
	}
	st := c.srv.acquireStore()
	defer st.inUse.RUnlock()
	return collect(ctx, st.reader, text, args)
}

// inWrite runs f on the connection of the write transaction, unless the server has rolled that back.
func (c *session) inWrite(ctx context.Context, f func(context.Context, querier) error) error {
	tx := c.tx
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.dead {
		return errReadOnly()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(tx.ctx, cancel)()
	err := f(ctx, tx.conn)
	if err != nil && tx.ctx.Err() != nil {
		return errReadOnly()
	}
	return err
}

func (c *session) write(ctx context.Context, tr translated, args []any, ddl bool) (*result, error) {
	text := tr.sql()
	res := &result{}
	returning := items(tr.toks) != nil
	var n int64
	err := c.inWrite(ctx, func(ctx context.Context, q querier) (err error) {
		if returning {
			res.cols, res.rows, err = collect(ctx, q, text, args)
			n = int64(len(res.rows))
			return err
		}
		out, err := q.ExecContext(ctx, text, args...)
		if err == nil {
			n, err = out.RowsAffected()
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	c.tx.stmts = append(c.tx.stmts, Stmt{SQL: text, Args: args})
	c.tx.ddl = c.tx.ddl || ddl
	if returning {
		if res, err = c.typed(ctx, tr, res.cols, res.rows); err != nil {
			return nil, err
		}
	}
	res.tag = commandTag(tr.toks, n)
	return res, nil
}

// typed completes the types of the columns, which sqlite knows only for columns of tables.
func (c *session) typed(ctx context.Context, tr translated, cols []column, rows [][]any) (*result, error) {
	sch, err := c.schema(ctx)
	if err != nil {
		return nil, err
	}
	f := &infer{toks: tr.toks, schema: sch, sleepParam: tr.sleepParam}
	f.paramTypes(nil)
	var first []any
	if len(rows) > 0 {
		first = rows[0]
	}
	return &result{cols: f.complete(cols, first), rows: rows, tag: commandTag(tr.toks, int64(len(rows)))}, nil
}

// complete fills in types and names of the columns that sqlite reported.
func (f *infer) complete(cols []column, first []any) []column {
	static := f.columns()
	out := make([]column, len(cols))
	for i, col := range cols {
		if len(static) == len(cols) {
			col.name = static[i].name
			if col.typ == 0 {
				col.typ = static[i].typ
			}
		} else if n := strings.IndexByte(col.name, ':'); n > 0 {
			col.name = col.name[:n] // sqlite numbers equal names of a subquery
		}
		if col.typ == 0 {
			col.typ = f.schema.typeOf(col.name, f.toks)
		}
		if col.typ == 0 && first != nil {
			col.typ = typeOfValue(first[i])
		}
		if col.typ == 0 {
			col.typ = pgtype.TextOID
		}
		out[i] = col
	}
	return out
}

// returning describes the RETURNING list of a write, or returns nil if there is none.
func (f *infer) returning() []column {
	list := items(f.toks)
	if list == nil {
		return nil
	}
	cols := f.columns()
	if cols == nil {
		for i, t := range f.toks {
			if i > 0 && (f.toks[i-1].is("into") || f.toks[i-1].is("update") || f.toks[i-1].is("from")) {
				cols = f.schema.table(t.text)
				break
			}
		}
	}
	return f.complete(cols, nil)
}

// schema returns the columns of all tables as the session sees them.
func (c *session) schema(ctx context.Context) (schema, error) {
	s := c.srv
	own := c.tx != nil && c.tx.ddl
	s.mu.Lock()
	no, cached, cachedNo := s.schemaNo, s.columns, s.columnNo
	s.mu.Unlock()
	if !own && cachedNo == no {
		return cached, nil
	}
	const text = "SELECT m.name, p.name, p.type FROM sqlite_master m, pragma_table_info(m.name) p WHERE m.type IN ('table', 'view') ORDER BY m.name, p.cid"
	_, rows, err := c.query(ctx, text, nil)
	if err != nil {
		return nil, err
	}
	var sch schema
	for _, r := range rows {
		sch = append(sch, column{table: textOf(r[0]), name: textOf(r[1]), typ: typeOf(textOf(r[2]))})
	}
	if !own {
		s.mu.Lock()
		s.columns, s.columnNo = sch, no
		s.mu.Unlock()
	}
	return sch, nil
}

func (s *Server) schemaNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schemaNo
}

func changesSchema(text string) bool {
	verb, _, _ := strings.Cut(text, " ")
	switch strings.ToLower(verb) {
	case "create", "drop", "alter":
		return true
	}
	return false
}

// collect runs a query and reads all its rows.
func collect(ctx context.Context, q querier, text string, args []any) ([]column, [][]any, error) {
	rows, err := q.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = rows.Close() }()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, nil, err
	}
	cols := make([]column, len(types))
	for i, t := range types {
		cols[i] = column{name: t.Name(), typ: typeOf(t.DatabaseTypeName())}
	}
	var out [][]any
	for rows.Next() {
		row := make([]any, len(cols))
		refs := make([]any, len(cols))
		for i := range row {
			refs[i] = &row[i]
		}
		if err := rows.Scan(refs...); err != nil {
			return nil, nil, err
		}
		out = append(out, row)
	}
	return cols, out, rows.Err()
}

var _ querier = (*sql.DB)(nil)

// command runs a statement that concerns only the session and its transaction; it takes no slot.
func (c *session) command(ctx context.Context, toks []token) (*result, error) {
	verb := strings.ToLower(toks[0].text)
	if c.failed && !endsTransaction(toks) {
		return nil, errFailed()
	}
	switch verb {
	case "begin", "start":
		tag := "BEGIN"
		if verb == "start" {
			tag = "START TRANSACTION"
		}
		return &result{tag: tag}, c.begin(ctx, toks)
	case "commit", "end":
		if c.failed {
			c.restoreSettings()
			c.endTransaction()
			return &result{tag: "ROLLBACK"}, nil
		}
		err := c.commitWork()
		if err != nil {
			c.restoreSettings()
		}
		return &result{tag: "COMMIT"}, err
	case "rollback", "abort":
		if name, ok := rollbackTo(toks); ok {
			return &result{tag: "ROLLBACK"}, c.rollbackTo(ctx, name)
		}
		c.restoreSettings()
		c.endTransaction()
		return &result{tag: "ROLLBACK"}, nil
	case "savepoint", "release":
		return c.savepoint(ctx, verb, strings.ToLower(toks[len(toks)-1].text))
	case "show":
		name := settingName(toks[1:])
		v, ok := c.setting(name)
		if !ok {
			return nil, newError("42704", "unrecognized configuration parameter %q", name)
		}
		return &result{cols: []column{{name: name, typ: pgtype.TextOID}}, rows: [][]any{{v}}, tag: "SHOW"}, nil
	case "set":
		return &result{tag: "SET"}, c.assign(toks[1:])
	case "reset":
		c.reset(settingName(toks[1:]))
		return &result{tag: "RESET"}, nil
	case "deallocate":
		name := strings.Trim(toks[len(toks)-1].text, `"`)
		if strings.EqualFold(name, "all") {
			clear(c.prepared)
			return &result{tag: "DEALLOCATE ALL"}, nil
		}
		delete(c.prepared, name)
		return &result{tag: "DEALLOCATE"}, nil
	}
	// What is left is DISCARD.
	if c.explicit {
		return nil, newError("25001", "DISCARD ALL cannot run inside a transaction block")
	}
	clear(c.prepared)
	c.reset("all")
	return &result{tag: "DISCARD ALL"}, nil
}

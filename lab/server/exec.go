package server

import (
	"context"
	"database/sql"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// result holds the rows and the command tag of one statement. cols is nil if the statement returns no rows.
type result struct {
	cols []column
	rows [][]any
	tag  string
}

func errTransactionAborted() error {
	return newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

func endsTransaction(toks []token) bool {
	return toks[0].is("rollback") || toks[0].is("commit") || toks[0].is("end") || toks[0].is("abort")
}

func (c *session) env(params []any) env {
	return env{pid: c.pid, now: time.Now(), user: c.user, params: params}
}

// checkVerb returns an error if the statement's first keyword is not supported by the database.
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

// commandColumns returns the result columns of a statement that is executed without the database. It returns false for
// all other statements.
func commandColumns(toks []token) ([]column, bool) {
	if controlFunctionName(toks) != "" {
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

// runStatement executes one statement and returns its result.
func (c *session) runStatement(ctx context.Context, toks []token, params []any) (*result, error) {
	if name := controlFunctionName(toks); name != "" {
		return c.runControlFunction(ctx, name, toks[5:])
	}
	if isTerminateStatement(toks) {
		return c.terminateSessions(toks), nil
	}
	if _, ok := commandColumns(toks); ok {
		return c.runSessionCommand(ctx, toks)
	}
	if c.transactionFailed {
		return nil, errTransactionAborted()
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
	release, err := c.srv.acquireSlot(ctx)
	if err != nil {
		return nil, errCancelled()
	}
	defer func() { release() }()
	if err := c.spendServiceTime(ctx, tr.sleep); err != nil {
		return nil, err
	}
	write, ddl := classifyWrite(tr.toks)
	if write && c.readOnly {
		return nil, newError("25006", "cannot execute a write in a read-only transaction")
	}
	if (write || lockingClause(toks) >= 0) && c.tx == nil {
		if c.snapshotConn != nil {
			return nil, errReadOnly()
		}
		if err := c.openWriteTx(ctx, &release); err != nil {
			return nil, err
		}
	}
	if !write {
		cols, rows, err := c.runQuery(ctx, tr.sql(), args)
		if err != nil {
			return nil, err
		}
		return c.typedResult(ctx, tr, cols, rows)
	}
	return c.runWrite(ctx, tr, args, ddl)
}

// openWriteTx starts the session's write transaction. If another write transaction is open, it releases the slot while
// it waits, because the other session may need that slot for the statement that ends its transaction. It updates
// *release when it has acquired a new slot.
func (c *session) openWriteTx(ctx context.Context, release *func()) error {
	tx, err := c.srv.beginWrite(ctx, false)
	if err == nil && tx == nil {
		(*release)()
		*release = func() {}
		if tx, err = c.srv.beginWrite(ctx, true); err == nil {
			var releaseNew func()
			if releaseNew, err = c.srv.acquireSlot(ctx); err == nil {
				*release = releaseNew
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

// acquireSlot waits for a free statement slot and returns the function that releases it.
func (s *Server) acquireSlot(ctx context.Context) (func(), error) {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	s.runningStatements++
	s.startedStatements++
	s.peakRunningStatements = max(s.peakRunningStatements, s.runningStatements)
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.runningStatements--
		s.mu.Unlock()
		if s.slots != nil {
			<-s.slots
		}
	}, nil
}

// spendServiceTime waits for the server's service time plus sleep, which simulates the execution cost of a statement.
func (c *session) spendServiceTime(ctx context.Context, sleep time.Duration) error {
	c.srv.mu.Lock()
	d := c.srv.serviceTime + sleep
	c.srv.mu.Unlock()
	pause(ctx, d)
	if ctx.Err() != nil {
		return errCancelled()
	}
	return c.srv.waitUnfrozen(ctx)
}

// runQuery runs a query on the connection of the write transaction or snapshot if there is one, and on the last
// committed state otherwise.
func (c *session) runQuery(ctx context.Context, text string, args []any) ([]column, [][]any, error) {
	switch {
	case c.tx != nil:
		var cols []column
		var rows [][]any
		err := c.withWriteTx(ctx, func(ctx context.Context, q querier) (err error) {
			cols, rows, err = collectRows(ctx, q, text, args)
			return err
		})
		return cols, rows, err
	case c.snapshotConn != nil:
		return collectRows(ctx, c.snapshotConn, text, args)
	}
	st := c.srv.acquireStore()
	defer st.inUse.RUnlock()
	return collectRows(ctx, st.reader, text, args)
}

// withWriteTx runs f on the connection of the session's write transaction. It returns errReadOnly if the server has
// rolled back that transaction.
func (c *session) withWriteTx(ctx context.Context, f func(context.Context, querier) error) error {
	tx := c.tx
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
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

func (c *session) runWrite(ctx context.Context, tr translated, args []any, ddl bool) (*result, error) {
	text := tr.sql()
	res := &result{}
	returning := resultExprs(tr.toks) != nil
	var n int64
	err := c.withWriteTx(ctx, func(ctx context.Context, q querier) (err error) {
		if returning {
			res.cols, res.rows, err = collectRows(ctx, q, text, args)
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
		if res, err = c.typedResult(ctx, tr, res.cols, res.rows); err != nil {
			return nil, err
		}
	}
	res.tag = commandTag(tr.toks, n)
	return res, nil
}

// typedResult builds a result and infers the missing column types, because sqlite reports types only for columns of
// tables.
func (c *session) typedResult(ctx context.Context, tr translated, cols []column, rows [][]any) (*result, error) {
	sch, err := c.schema(ctx)
	if err != nil {
		return nil, err
	}
	f := &typeInference{toks: tr.toks, schema: sch, sleepParam: tr.sleepParam}
	f.paramTypes(nil)
	var first []any
	if len(rows) > 0 {
		first = rows[0]
	}
	return &result{cols: f.completeColumns(cols, first), rows: rows, tag: commandTag(tr.toks, int64(len(rows)))}, nil
}

// completeColumns fills in missing types and names of the columns that sqlite reported. first is the first result row, or
// nil if there is none.
func (f *typeInference) completeColumns(cols []column, first []any) []column {
	inferred := f.resultColumns()
	out := make([]column, len(cols))
	for i, col := range cols {
		if len(inferred) == len(cols) {
			col.name = inferred[i].name
			if col.typ == 0 {
				col.typ = inferred[i].typ
			}
		} else if n := strings.IndexByte(col.name, ':'); n > 0 {
			col.name = col.name[:n] // sqlite appends :N to duplicate column names of a subquery
		}
		if col.typ == 0 {
			col.typ = f.schema.columnType(col.name, f.toks)
		}
		if col.typ == 0 && first != nil {
			col.typ = valueTypeOID(first[i])
		}
		if col.typ == 0 {
			col.typ = pgtype.TextOID
		}
		out[i] = col
	}
	return out
}

// returningColumns returns the columns of a write's RETURNING list, or nil if the write has none.
func (f *typeInference) returningColumns() []column {
	list := resultExprs(f.toks)
	if list == nil {
		return nil
	}
	cols := f.resultColumns()
	if cols == nil {
		for i, t := range f.toks {
			if i > 0 && (f.toks[i-1].is("into") || f.toks[i-1].is("update") || f.toks[i-1].is("from")) {
				cols = f.schema.tableColumns(t.text)
				break
			}
		}
	}
	return f.completeColumns(cols, nil)
}

// schema returns the columns of all tables, including uncommitted schema changes of the session's own transaction.
func (c *session) schema(ctx context.Context) (schema, error) {
	s := c.srv
	uncommittedDDL := c.tx != nil && c.tx.ddl
	s.mu.Lock()
	version, cached, cachedVersion := s.schemaVersion, s.cachedSchema, s.cachedSchemaVersion
	s.mu.Unlock()
	if !uncommittedDDL && cachedVersion == version {
		return cached, nil
	}
	const text = "SELECT m.name, p.name, p.type FROM sqlite_master m, pragma_table_info(m.name) p WHERE m.type IN ('table', 'view') ORDER BY m.name, p.cid"
	_, rows, err := c.runQuery(ctx, text, nil)
	if err != nil {
		return nil, err
	}
	var sch schema
	for _, r := range rows {
		sch = append(sch, column{table: valueText(r[0]), name: valueText(r[1]), typ: declaredTypeOID(valueText(r[2]))})
	}
	if !uncommittedDDL {
		s.mu.Lock()
		s.cachedSchema, s.cachedSchemaVersion = sch, version
		s.mu.Unlock()
	}
	return sch, nil
}

func (s *Server) currentSchemaVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schemaVersion
}

func changesSchema(text string) bool {
	verb, _, _ := strings.Cut(text, " ")
	switch strings.ToLower(verb) {
	case "create", "drop", "alter":
		return true
	}
	return false
}

// collectRows runs a query and returns its columns and all its rows.
func collectRows(ctx context.Context, q querier, text string, args []any) ([]column, [][]any, error) {
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
		cols[i] = column{name: t.Name(), typ: declaredTypeOID(t.DatabaseTypeName())}
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

// runSessionCommand runs a statement that affects only the session and its transaction. It does not acquire a slot.
func (c *session) runSessionCommand(ctx context.Context, toks []token) (*result, error) {
	verb := strings.ToLower(toks[0].text)
	if c.transactionFailed && !endsTransaction(toks) {
		return nil, errTransactionAborted()
	}
	switch verb {
	case "begin", "start":
		tag := "BEGIN"
		if verb == "start" {
			tag = "START TRANSACTION"
		}
		return &result{tag: tag}, c.begin(ctx, toks)
	case "commit", "end":
		if c.transactionFailed {
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
		if name, ok := parseRollbackTo(toks); ok {
			return &result{tag: "ROLLBACK"}, c.rollbackToSavepoint(ctx, name)
		}
		c.restoreSettings()
		c.endTransaction()
		return &result{tag: "ROLLBACK"}, nil
	case "savepoint", "release":
		return c.savepoint(ctx, verb, strings.ToLower(toks[len(toks)-1].text))
	case "show":
		name := settingName(toks[1:])
		v, ok := c.settingValue(name)
		if !ok {
			return nil, newError("42704", "unrecognized configuration parameter %q", name)
		}
		return &result{cols: []column{{name: name, typ: pgtype.TextOID}}, rows: [][]any{{v}}, tag: "SHOW"}, nil
	case "set":
		return &result{tag: "SET"}, c.assignSetting(toks[1:])
	case "reset":
		c.resetSetting(settingName(toks[1:]))
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
	// The only remaining command is DISCARD.
	if c.inTransactionBlock {
		return nil, newError("25001", "DISCARD ALL cannot run inside a transaction block")
	}
	clear(c.prepared)
	c.resetSetting("all")
	return &result{tag: "DISCARD ALL"}, nil
}

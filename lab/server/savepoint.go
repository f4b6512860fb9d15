package server

import (
	"context"
	"strings"
)

func parseRollbackTo(toks []token) (string, bool) {
	for i, t := range toks[1:] {
		if t.is("to") {
			return strings.ToLower(toks[len(toks)-1].text), i+2 < len(toks)
		}
	}
	return "", false
}

// savepoint sets or releases a savepoint. Without a write transaction, as on a replica, it only records the name.
func (c *session) savepoint(ctx context.Context, verb, name string) (*result, error) {
	if !c.inTransactionBlock {
		return nil, newError("25P01", "%s can only be used in transaction blocks", strings.ToUpper(verb))
	}
	if c.tx == nil && c.snapshotConn == nil && !c.readOnly && verb == "savepoint" {
		tx, err := c.srv.beginWrite(ctx, true)
		if err != nil && asSQLError(err).sqlState != "25006" {
			return nil, err
		}
		c.tx = tx
	}
	if verb == "savepoint" {
		statementCount := 0
		if c.tx != nil {
			statementCount = len(c.tx.stmts)
		}
		c.savepoints = append(c.savepoints, savepoint{name: name, statementCount: statementCount})
		return &result{tag: "SAVEPOINT"}, c.execSavepoint(ctx, "SAVEPOINT", name)
	}
	i := c.findSavepoint(name)
	if i < 0 {
		return nil, newError("3B001", "savepoint %q does not exist", name)
	}
	c.savepoints = c.savepoints[:i]
	return &result{tag: "RELEASE"}, c.execSavepoint(ctx, "RELEASE", name)
}

func (c *session) findSavepoint(name string) int {
	for i := len(c.savepoints) - 1; i >= 0; i-- {
		if c.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

func (c *session) execSavepoint(ctx context.Context, verb, name string) error {
	if c.tx == nil {
		return nil
	}
	return c.withWriteTx(ctx, func(ctx context.Context, q querier) error {
		_, err := q.ExecContext(ctx, verb+` "`+strings.Trim(name, `"`)+`"`)
		return err
	})
}

func (c *session) rollbackToSavepoint(ctx context.Context, name string) error {
	i := c.findSavepoint(name)
	if i < 0 {
		return newError("3B001", "savepoint %q does not exist", name)
	}
	if err := c.execSavepoint(ctx, "ROLLBACK TO", name); err != nil {
		return err
	}
	if c.tx != nil {
		c.tx.stmts = c.tx.stmts[:c.savepoints[i].statementCount]
	}
	c.savepoints = c.savepoints[:i+1]
	c.transactionFailed = false
	return nil
}

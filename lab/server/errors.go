package server

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// sqlError is an error with the SQLSTATE that is sent to the client.
type sqlError struct {
	sqlState string
	message  string
}

func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.sqlState + ")" }

func newError(sqlState, format string, args ...any) error {
	return &sqlError{sqlState: sqlState, message: fmt.Sprintf(format, args...)}
}

func errReadOnly() error {
	return newError("25006", "cannot execute a write: the server is not the primary of the current term")
}

func errCancelled() error { return newError("57014", "canceling statement due to user request") }

// Result codes of sqlite, extended ones where they exist.
const (
	sqliteInterrupt  = 9
	sqliteCheck      = 275
	sqliteForeignKey = 787
	sqliteNotNull    = 1299
	sqlitePrimaryKey = 1555
	sqliteUnique     = 2067
	sqliteRowID      = 2579
)

var sqlStateByCode = map[int]string{
	sqliteInterrupt: "57014", sqliteCheck: "23514", sqliteForeignKey: "23503", sqliteNotNull: "23502",
	sqlitePrimaryKey: "23505", sqliteUnique: "23505", sqliteRowID: "23505",
}

var sqlStateByText = []struct{ substring, sqlState string }{
	{"syntax error", "42601"},
	{"incomplete input", "42601"},
	{"unrecognized token", "42601"},
	{"no such table", "42P01"},
	{"has no column", "42703"},
	{"no such column", "42703"},
	{"no such function", "42883"},
	{"ambiguous column", "42702"},
	{"already exists", "42P07"},
	{"values for", "42601"},
}

// asSQLError converts err to an error with a SQLSTATE. The SQLSTATE is XX000 (internal error) if no other applies.
func asSQLError(err error) *sqlError {
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		return sqlErr
	}
	if errors.Is(err, context.Canceled) {
		return &sqlError{sqlState: "57014", message: "canceling statement due to user request"}
	}
	var sqliteErr *sqlite.Error
	if errors.As(err, &sqliteErr) {
		if sqlState, ok := sqlStateByCode[sqliteErr.Code()]; ok {
			return &sqlError{sqlState: sqlState, message: sqliteErr.Error()}
		}
		for _, m := range sqlStateByText {
			if strings.Contains(sqliteErr.Error(), m.substring) {
				return &sqlError{sqlState: m.sqlState, message: sqliteErr.Error()}
			}
		}
	}
	return &sqlError{sqlState: "XX000", message: err.Error()}
}

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.sqlState, Message: e.message}
}

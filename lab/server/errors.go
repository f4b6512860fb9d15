package server

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// sqlError is an error with the SQLSTATE that the client receives.
type sqlError struct {
	state string
	text  string
}

func (e *sqlError) Error() string { return e.text + " (SQLSTATE " + e.state + ")" }

func newError(state, format string, args ...any) error {
	return &sqlError{state: state, text: fmt.Sprintf(format, args...)}
}

func errReadOnly() error {
	return newError("25006", "cannot execute a write: the server is not the primary of the current term")
}

func errCancelled() error { return newError("57014", "canceling statement due to user request") }

// Extended result codes of sqlite.
const (
	sqliteInterrupt  = 9
	sqliteCheck      = 275
	sqliteForeignKey = 787
	sqliteNotNull    = 1299
	sqlitePrimaryKey = 1555
	sqliteUnique     = 2067
	sqliteRowID      = 2579
)

var stateByCode = map[int]string{
	sqliteInterrupt: "57014", sqliteCheck: "23514", sqliteForeignKey: "23503", sqliteNotNull: "23502",
	sqlitePrimaryKey: "23505", sqliteUnique: "23505", sqliteRowID: "23505",
}

var stateByText = []struct{ part, state string }{
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

// asSQLError gives any error of the database a SQLSTATE.
func asSQLError(err error) *sqlError {
	var own *sqlError
	if errors.As(err, &own) {
		return own
	}
	if errors.Is(err, context.Canceled) {
		return &sqlError{state: "57014", text: "canceling statement due to user request"}
	}
	var lite *sqlite.Error
	if errors.As(err, &lite) {
		if state, ok := stateByCode[lite.Code()]; ok {
			return &sqlError{state: state, text: lite.Error()}
		}
		for _, m := range stateByText {
			if strings.Contains(lite.Error(), m.part) {
				return &sqlError{state: m.state, text: lite.Error()}
			}
		}
	}
	return &sqlError{state: "XX000", text: err.Error()}
}

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.state, Message: e.text}
}

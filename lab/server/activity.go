package server

import (
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// isTerminateStatement reports whether the statement is the only supported query of pg_stat_activity: the one that
// terminates all sessions with a given application name.
func isTerminateStatement(toks []token) bool {
	var words []string
	for _, t := range toks {
		if t.kind != kindString {
			words = append(words, strings.ToLower(t.text))
		}
	}
	return len(toks) == len(words)+1 && slices.Equal(words, strings.Fields(
		"select pg_terminate_backend ( pid ) from pg_stat_activity where application_name ="))
}

// terminateSessions executes a statement accepted by isTerminateStatement. The result has one row for each terminated
// session.
func (c *session) terminateSessions(toks []token) *result {
	application := strings.Trim(toks[len(toks)-1].text, "'")
	res := &result{cols: []column{{name: "pg_terminate_backend", typ: pgtype.BoolOID}}}
	for range c.srv.terminateApplication(application) {
		res.rows = append(res.rows, []any{true})
	}
	res.tag = "SELECT " + strconv.Itoa(len(res.rows))
	return res
}

// terminateApplication cancels the running statements of all sessions of an application, closes their connections and
// returns the sessions. It cancels all of them before any of them releases its lock, so that no statement that is still
// queued in one session acquires a lock released by another and runs.
func (s *Server) terminateApplication(application string) []*session {
	s.mu.Lock()
	var list []*session
	for _, c := range s.sessions {
		if c.applicationName == application {
			c.stop()
			list = append(list, c)
		}
	}
	s.mu.Unlock()
	for _, c := range list {
		_ = c.conn.Close()
	}
	return list
}

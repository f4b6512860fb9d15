package server

import (
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// terminates reports whether the statement is the one query of pg_stat_activity that is understood: it ends the sessions of
// an application.
func terminates(toks []token) bool {
	var words []string
	for _, t := range toks {
		if t.kind != kindString {
			words = append(words, strings.ToLower(t.text))
		}
	}
	return len(toks) == len(words)+1 && slices.Equal(words, strings.Fields(
		"select pg_terminate_backend ( pid ) from pg_stat_activity where application_name ="))
}

// terminate carries out the statement that terminates found, and returns a row for each session that it ended.
func (c *session) terminate(toks []token) *result {
	application := strings.Trim(toks[len(toks)-1].text, "'")
	res := &result{cols: []column{{name: "pg_terminate_backend", typ: pgtype.BoolOID}}}
	for _, s := range c.srv.of(application) {
		s.end()
		res.rows = append(res.rows, []any{true})
	}
	res.tag = "SELECT " + strconv.Itoa(len(res.rows))
	return res
}

// of returns the sessions of an application.
func (s *Server) of(application string) []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*session
	for _, c := range s.sessions {
		if c.application == application {
			list = append(list, c)
		}
	}
	return list
}

// end breaks off the running statement and closes the connection.
func (c *session) end() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

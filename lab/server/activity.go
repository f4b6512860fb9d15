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
	for range c.srv.terminate(application) {
		res.rows = append(res.rows, []any{true})
	}
	res.tag = "SELECT " + strconv.Itoa(len(res.rows))
	return res
}

// terminate breaks off what the sessions of an application run, closes their connections and returns them. What they sent and
// has not begun does not run: the sessions end together, so that none of them gets a lock that another one releases.
func (s *Server) terminate(application string) []*session {
	s.mu.Lock()
	var list []*session
	for _, c := range s.sessions {
		if c.application == application {
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

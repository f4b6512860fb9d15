package sess

import (
	"strings"
	"time"

	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
)

// Rules holds the stale-read declarations of a service, with the fingerprints of their statements. It is immutable and may
// be shared between sessions. A nil Rules has no declarations.
type Rules struct{ rules []rule }

type rule struct {
	user         string
	table        string
	hasStatement bool
	fingerprint  uint64
	maxAge       time.Duration
}

// NewRules returns the rules for the stale-read declarations of a service. A declaration whose statement does not parse
// as a single read is ignored.
func NewRules(svc svcdef.Service, p stmt.Parser) *Rules {
	r := &Rules{}
	for _, d := range svc.StaleReads() {
		v := rule{user: d.User(), table: d.Table(), maxAge: d.MaxAge()}
		if d.Statement() != "" {
			infos, err := p.Parse(d.Statement())
			if err != nil || len(infos) != 1 || infos[0].Class() != stmt.Read {
				continue
			}
			v.hasStatement, v.fingerprint = true, infos[0].Fingerprint()
		}
		r.rules = append(r.rules, v)
	}
	return r
}

// MaxAge returns the maximum age of data that all these statements of a caller accept, and false if one of them does not
// accept stale data. Every table that a statement reads must be declared. If several declarations match, the lowest age
// applies.
func (r *Rules) MaxAge(caller string, infos []stmt.Info) (time.Duration, bool) {
	if r == nil || len(r.rules) == 0 {
		return 0, false
	}
	age, found := time.Duration(0), false
	for _, i := range infos {
		if i.Class() == stmt.Empty {
			continue
		}
		a, ok := r.statementMaxAge(caller, i)
		if !ok {
			return 0, false
		}
		if !found || a < age {
			age, found = a, true
		}
	}
	return age, found
}

func (r *Rules) statementMaxAge(caller string, i stmt.Info) (time.Duration, bool) {
	if i.Class() != stmt.Read {
		return 0, false
	}
	if len(i.Tables()) == 0 {
		return r.tableMaxAge(caller, i, "")
	}
	age, found := time.Duration(0), false
	for _, t := range i.Tables() {
		a, ok := r.tableMaxAge(caller, i, t)
		if !ok {
			return 0, false
		}
		if !found || a < age {
			age, found = a, true
		}
	}
	return age, found
}

func (r *Rules) tableMaxAge(caller string, i stmt.Info, table string) (time.Duration, bool) {
	age, found := time.Duration(0), false
	for _, v := range r.rules {
		if v.user != "" && v.user != caller || v.hasStatement && v.fingerprint != i.Fingerprint() || !tableMatches(v.table, table) {
			continue
		}
		if !found || v.maxAge < age {
			age, found = v.maxAge, true
		}
	}
	return age, found
}

// tableMatches reports whether the table of a declaration, "" for all tables, covers the table that a statement names. A
// table declared without a schema covers tables of that name in all schemas; with a schema, it covers only the qualified
// name.
func tableMatches(declared, named string) bool {
	if declared == "" || declared == named {
		return true
	}
	_, last, ok := strings.Cut(named, ".")
	return ok && declared == last
}

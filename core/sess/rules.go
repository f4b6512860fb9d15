package sess

import (
	"strings"
	"time"

	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
)

// Rules are the stale-read declarations of a service, with the fingerprints of their statements. They are immutable
// and may be shared between sessions. A nil Rules has no declarations.
type Rules struct{ rules []rule }

type rule struct {
	user        string
	table       string
	statement   bool
	fingerprint uint64
	maxAge      time.Duration
}

// NewRules prepares the declarations of a service. A declared statement that doesn't parse as one read matches
// nothing.
func NewRules(svc svcdef.Service, p stmt.Parser) *Rules {
	r := &Rules{}
	for _, d := range svc.StaleReads() {
		v := rule{user: d.User(), table: d.Table(), maxAge: d.MaxAge()}
		if d.Statement() != "" {
			infos, err := p.Parse(d.Statement())
			if err != nil || len(infos) != 1 || infos[0].Class() != stmt.Read {
				continue
			}
			v.statement, v.fingerprint = true, infos[0].Fingerprint()
		}
		r.rules = append(r.rules, v)
	}
	return r
}

// MaxAge returns the greatest age of data that all these reads of a caller accept, and whether each of them accepts
// any. Every table that a statement reads must be declared; of several declarations the strictest applies.
func (r *Rules) MaxAge(caller string, infos []stmt.Info) (time.Duration, bool) {
	if r == nil || len(r.rules) == 0 {
		return 0, false
	}
	age, found := time.Duration(0), false
	for _, i := range infos {
		if i.Class() == stmt.Empty {
			continue
		}
		a, ok := r.statement(caller, i)
		if !ok {
			return 0, false
		}
		if !found || a < age {
			age, found = a, true
		}
	}
	return age, found
}

func (r *Rules) statement(caller string, i stmt.Info) (time.Duration, bool) {
	if i.Class() != stmt.Read {
		return 0, false
	}
	if len(i.Tables()) == 0 {
		return r.table(caller, i, "")
	}
	age, found := time.Duration(0), false
	for _, t := range i.Tables() {
		a, ok := r.table(caller, i, t)
		if !ok {
			return 0, false
		}
		if !found || a < age {
			age, found = a, true
		}
	}
	return age, found
}

func (r *Rules) table(caller string, i stmt.Info, table string) (time.Duration, bool) {
	age, found := time.Duration(0), false
	for _, v := range r.rules {
		if v.user != "" && v.user != caller || v.statement && v.fingerprint != i.Fingerprint() || !sameTable(v.table, table) {
			continue
		}
		if !found || v.maxAge < age {
			age, found = v.maxAge, true
		}
	}
	return age, found
}

// sameTable reports whether a declaration for a table covers one that a statement names. A declaration without a
// schema covers the name in every schema; one with a schema covers only the qualified name.
func sameTable(declared, named string) bool {
	if declared == "" || declared == named {
		return true
	}
	_, last, ok := strings.Cut(named, ".")
	return ok && declared == last
}

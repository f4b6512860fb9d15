package node

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/once"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/front"
)

// requests derives the keys of a service's declared requests from what its callers send.
type requests struct {
	rules *once.Rules
	err   error
}

// newRequests returns the rules of a service. Declared statements are parsed before a definition is accepted, so an error
// can only come from another version's definition; the service's writes are refused then, since the declared ones among
// them would run without protection.
func newRequests(svc svcdef.Service, p stmt.Parser) front.Requests {
	rules, err := once.New(svc.OnceRules(), p)
	return requests{rules: rules, err: err}
}

// Key returns the key of a request, nil if its statement is not declared or only prepared. A declared request whose key
// cannot be derived is refused, since it would run without protection.
func (r requests) Key(req caller.Request) (*work.OnceKey, error) {
	infos := req.Infos()
	for _, i := range infos {
		if i.Class() == stmt.Write && r.err != nil {
			return nil, result.Wrap(result.Unsupported, r.err, "the service's declared statements cannot be read")
		}
		if i.Class() != stmt.Write || !r.rules.Declared(i.Fingerprint()) {
			continue
		}
		if len(infos) > 1 {
			return nil, result.New(result.Unsupported, "a declared statement must be sent on its own")
		}
		key, err := r.derive(req, i.Fingerprint())
		return &key, err
	}
	return nil, nil
}

func (r requests) derive(req caller.Request, fingerprint uint64) (work.OnceKey, error) {
	frames := req.Unit().Frames
	if len(frames) > 0 && frames[0] == 'Q' {
		var q pgproto3.Query
		if err := q.Decode(frames[5:]); err != nil {
			return work.OnceKey{}, err
		}
		return r.rules.KeyOfText(fingerprint, q.String)
	}
	if binds(frames) > 1 {
		return work.OnceKey{}, result.New(result.Unsupported, "a declared statement must be sent with a single Bind")
	}
	return r.rules.Key(fingerprint, req.Args())
}

// binds counts the Bind messages. With several, the one whose portal runs need not be the first, whose parameters the
// request has.
func binds(frames []byte) int {
	n := 0
	for len(frames) >= 5 {
		if frames[0] == 'B' {
			n++
		}
		frames = frames[1+binary.BigEndian.Uint32(frames[1:]):]
	}
	return n
}

// checkStatements returns what is wrong with the statements that a definition declares.
func checkStatements(svc svcdef.Service, p stmt.Parser) []svcdef.Problem {
	var problems []svcdef.Problem
	for i, rule := range svc.OnceRules() {
		path := fmt.Sprintf("once[%d].statement", i)
		if _, err := once.New([]svcdef.OnceRule{rule}, p); err != nil {
			problems = append(problems, svcdef.NewProblem(path, result.Message(err), false))
			continue
		}
		// Key recognises writes only: of other statements, it can't tell those that run from those that are only prepared.
		if infos, err := p.Parse(rule.Statement()); err != nil || infos[0].Class() != stmt.Write {
			text := "must be a statement that writes by itself, such as INSERT or UPDATE; a function that writes is not recognised"
			problems = append(problems, svcdef.NewProblem(path, text, false))
		}
	}
	if len(problems) == 0 {
		if _, err := once.New(svc.OnceRules(), p); err != nil {
			problems = append(problems, svcdef.NewProblem("once", result.Message(err), false))
		}
	}
	for i, rule := range svc.StaleReads() {
		if rule.Statement() == "" {
			continue
		}
		infos, err := p.Parse(rule.Statement())
		if err != nil || len(infos) != 1 || infos[0].Class() != stmt.Read {
			path := fmt.Sprintf("stale_reads[%d].statement", i)
			problems = append(problems, svcdef.NewProblem(path, "must be one statement that only reads", false))
		}
	}
	return problems
}

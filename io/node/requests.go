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

// idempotencyKeys implements front.IdempotencyKeys: it derives the idempotency keys of a service's declared
// requests. The field err is set if the rules are invalid.
type idempotencyKeys struct {
	rules *once.Rules
	err   error
}

// newIdempotencyKeys returns the key derivation of a service. Declared statements are parsed before a definition is
// accepted, so the rules can be invalid only if another software version accepted the definition. All writes of the
// service are refused then, since the declared ones among them would run without protection against repetition.
func newIdempotencyKeys(svc svcdef.Service, p stmt.Parser) front.IdempotencyKeys {
	rules, err := once.New(svc.OnceRules(), p)
	return idempotencyKeys{rules: rules, err: err}
}

// Key returns the idempotency key of a request, or nil if its statement is not declared or is only prepared. It returns an
// error for a declared request whose key cannot be derived, since that would run without protection against repetition.
func (r idempotencyKeys) Key(req caller.Request) (*work.OnceKey, error) {
	infos := req.Infos()
	for _, i := range infos {
		if i.Class() == stmt.Write && r.err != nil {
			return nil, result.Wrap(result.Unsupported, r.err, "the service's declared statements are invalid")
		}
		if i.Class() != stmt.Write || !r.rules.Declared(i.Fingerprint()) {
			continue
		}
		if len(infos) > 1 {
			return nil, result.New(result.Unsupported, "a declared statement must be the only statement of its request")
		}
		key, err := r.deriveKey(req, i.Fingerprint())
		return &key, err
	}
	return nil, nil
}

func (r idempotencyKeys) deriveKey(req caller.Request, fingerprint uint64) (work.OnceKey, error) {
	frames := req.Unit().Frames
	if len(frames) > 0 && frames[0] == 'Q' {
		var q pgproto3.Query
		if err := q.Decode(frames[5:]); err != nil {
			return work.OnceKey{}, err
		}
		return r.rules.KeyOfText(fingerprint, q.String)
	}
	if countBinds(frames) > 1 {
		return work.OnceKey{}, result.New(result.Unsupported,
			"a request with a declared statement must contain only one Bind message")
	}
	return r.rules.Key(fingerprint, req.Args())
}

// countBinds returns the number of Bind messages. A request holds the parameters of its first Bind; if there are several, the
// portal that is executed may belong to another one.
func countBinds(frames []byte) int {
	n := 0
	for len(frames) >= 5 {
		if frames[0] == 'B' {
			n++
		}
		frames = frames[1+binary.BigEndian.Uint32(frames[1:]):]
	}
	return n
}

// checkStatements returns the problems of the statements that a definition declares as once or stale_reads rules.
func checkStatements(svc svcdef.Service, p stmt.Parser) []svcdef.Problem {
	var problems []svcdef.Problem
	for i, rule := range svc.OnceRules() {
		path := fmt.Sprintf("once[%d].statement", i)
		if _, err := once.New([]svcdef.OnceRule{rule}, p); err != nil {
			problems = append(problems, svcdef.NewProblem(path, result.Message(err), false))
			continue
		}
		// Key handles only writes: it cannot tell whether any other statement is executed or only prepared.
		if infos, err := p.Parse(rule.Statement()); err != nil || infos[0].Class() != stmt.Write {
			text := "must be a statement that itself writes, such as INSERT or UPDATE; a call of a function that writes is not recognised"
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
			problems = append(problems, svcdef.NewProblem(path, "must be a single read-only statement", false))
		}
	}
	return problems
}

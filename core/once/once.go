// Package once derives idempotency keys (request keys) for declared non-idempotent statements and holds the SQL that
// stores the outcomes of these statements.
package once

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
)

// SQL of the outcome records. Column created holds the writer's clock in Unix milliseconds and is used only for expiry.
// Column result holds the answer in base64, and null until the statement has run. All parameters have type text, except
// created.
const (
	CreateSQL = "CREATE TABLE IF NOT EXISTS verbenagate_outcome (caller text NOT NULL, request_key text NOT NULL, " +
		"created bigint NOT NULL, result text, PRIMARY KEY (caller, request_key))"
	InsertSQL = "INSERT INTO verbenagate_outcome (caller, request_key, created) VALUES ($1, $2, $3)"
	UpdateSQL = "UPDATE verbenagate_outcome SET result = $1 WHERE caller = $2 AND request_key = $3"
	SelectSQL = "SELECT result FROM verbenagate_outcome WHERE caller = $1 AND request_key = $2"
	// ExpireSQL deletes the records of one rule that were created before $1. Its keys range from $2 up to but excluding $3.
	ExpireSQL = "DELETE FROM verbenagate_outcome WHERE created < $1 AND request_key >= $2 AND request_key < $3"
)

// Rules holds the declared non-idempotent statements of a service.
type Rules struct{ byFingerprint map[uint64]rule }

type rule struct {
	fingerprint   uint64
	pattern       []token
	keyParameters []int
	keep          time.Duration
}

// New returns the rules of a service. Each declaration must hold exactly one statement and name at least one of its
// parameters as part of the request key.
func New(declared []svcdef.OnceRule, p stmt.Parser) (*Rules, error) {
	r := &Rules{byFingerprint: map[uint64]rule{}}
	for _, d := range declared {
		infos, err := p.Parse(d.Statement())
		if err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "cannot parse declared statement %q", d.Statement())
		}
		if len(infos) != 1 {
			return nil, result.New(result.InvalidConfig, "declared text %q must hold exactly one statement but holds %d",
				d.Statement(), len(infos))
		}
		pattern, err := tokenise(d.Statement())
		if err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "cannot tokenise declared statement %q", d.Statement())
		}
		parsed := rule{infos[0].Fingerprint(), pattern, d.Key(), d.Keep()}
		if err := parsed.validate(); err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "declared statement %q is invalid", d.Statement())
		}
		if _, ok := r.byFingerprint[parsed.fingerprint]; ok {
			return nil, result.New(result.InvalidConfig, "statement %q is declared twice", d.Statement())
		}
		r.byFingerprint[parsed.fingerprint] = parsed
	}
	return r, nil
}

func (r rule) validate() error {
	if len(r.keyParameters) == 0 {
		return fmt.Errorf("the declaration names no key parameter")
	}
	for _, k := range r.keyParameters {
		if !slices.ContainsFunc(r.pattern, func(t token) bool { return t.kind == tokenParam && t.text == fmt.Sprint(k) }) {
			return fmt.Errorf("key parameter $%d does not occur in the statement", k)
		}
	}
	return nil
}

// Declared reports whether a statement with this fingerprint is declared as non-idempotent.
func (r *Rules) Declared(fingerprint uint64) bool {
	_, ok := r.byFingerprint[fingerprint]
	return ok
}

// Key returns the request key of a declared statement with bound parameters. A nil value is null. The values are hashed
// byte for byte, so a caller that repeats a request must use the same parameter format.
func (r *Rules) Key(fingerprint uint64, values [][]byte) (work.OnceKey, error) {
	matched, ok := r.byFingerprint[fingerprint]
	if !ok {
		return work.OnceKey{}, result.New(result.Unsupported, "the statement is not one of the declared non-idempotent statements")
	}
	return matched.requestKey(func(n int) ([]byte, bool) {
		if n < 1 || n > len(values) {
			return nil, false
		}
		return values[n-1], true
	})
}

// KeyOfText returns the request key of a declared statement whose text has constants in place of parameters, as in the
// simple query protocol. The text must equal the declared one apart from white space, the case of names, and the constants.
// The key is the same as with these parameters bound in text format.
func (r *Rules) KeyOfText(fingerprint uint64, text string) (work.OnceKey, error) {
	matched, ok := r.byFingerprint[fingerprint]
	if !ok {
		return work.OnceKey{}, result.New(result.Unsupported, "the statement is not one of the declared non-idempotent statements")
	}
	values, err := matched.match(text)
	if err != nil {
		return work.OnceKey{}, result.Wrap(result.Unsupported, err,
			"cannot read the parameter values from the text of a declared statement")
	}
	return matched.requestKey(func(n int) ([]byte, bool) {
		v, ok := values[fmt.Sprint(n)]
		return v, ok
	})
}

func (r rule) requestKey(value func(n int) ([]byte, bool)) (work.OnceKey, error) {
	h := sha256.New()
	var size [8]byte
	for _, k := range r.keyParameters {
		v, ok := value(k)
		if !ok {
			return work.OnceKey{}, result.New(result.Unsupported, "key parameter $%d of the declared statement has no value", k)
		}
		n := int64(len(v))
		if v == nil {
			n = -1
		}
		binary.BigEndian.PutUint64(size[:], uint64(n))
		h.Write(size[:])
		h.Write(v)
	}
	return work.OnceKey{Key: fmt.Sprintf("%s%x", keyPrefix(r.fingerprint), h.Sum(nil)), Keep: r.keep}, nil
}

func keyPrefix(fingerprint uint64) string { return fmt.Sprintf("%016x:", fingerprint) }

// Expiry holds the key range of one rule and how long its records are kept.
type Expiry struct {
	from string
	to   string
	keep time.Duration
}

// From returns the inclusive start of the key range.
func (e Expiry) From() string { return e.from }

// To returns the exclusive end of the key range.
func (e Expiry) To() string { return e.to }

// CreatedBefore returns the value of column created, in Unix milliseconds, below which a record has expired at now.
func (e Expiry) CreatedBefore(now time.Time) int64 { return now.Add(-e.keep).UnixMilli() }

// Expiries returns the key range and retention of each rule, in order of keys. Run ExpireSQL once for each.
func (r *Rules) Expiries() []Expiry {
	var list []Expiry
	for f, one := range r.byFingerprint {
		from := keyPrefix(f)
		list = append(list, Expiry{from: from, to: strings.TrimSuffix(from, ":") + ";", keep: one.keep})
	}
	slices.SortFunc(list, func(a, b Expiry) int { return strings.Compare(a.from, b.from) })
	return list
}

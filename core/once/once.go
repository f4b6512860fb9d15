// Package once derives the request keys of declared non-idempotent statements and has the SQL of their outcome records.
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

// SQL of the outcome records. Created is the writer's clock in Unix milliseconds and serves only for expiry. Result is
// the answer in base64, and null until the statement has run. Parameters are typed text, except created.
const (
	CreateSQL = "CREATE TABLE IF NOT EXISTS verbenagate_outcome (caller text NOT NULL, request_key text NOT NULL, " +
		"created bigint NOT NULL, result text, PRIMARY KEY (caller, request_key))"
	InsertSQL = "INSERT INTO verbenagate_outcome (caller, request_key, created) VALUES ($1, $2, $3)"
	UpdateSQL = "UPDATE verbenagate_outcome SET result = $1 WHERE caller = $2 AND request_key = $3"
	SelectSQL = "SELECT result FROM verbenagate_outcome WHERE caller = $1 AND request_key = $2"
	// ExpireSQL deletes the records of one rule: those created before $1 with keys from $2 up to, without, $3.
	ExpireSQL = "DELETE FROM verbenagate_outcome WHERE created < $1 AND request_key >= $2 AND request_key < $3"
)

// Rules are the declared non-idempotent statements of a service.
type Rules struct{ byFingerprint map[uint64]rule }

type rule struct {
	fingerprint uint64
	pattern     []token
	key         []int
	keep        time.Duration
}

// New returns the rules of a service. A rule must hold exactly one statement and name at least one of its parameters.
func New(declared []svcdef.Once, p stmt.Parser) (*Rules, error) {
	r := &Rules{byFingerprint: map[uint64]rule{}}
	for _, d := range declared {
		infos, err := p.Parse(d.Statement())
		if err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "declared statement %q", d.Statement())
		}
		if len(infos) != 1 {
			return nil, result.New(result.InvalidConfig, "declared text %q holds %d statements", d.Statement(), len(infos))
		}
		pattern, err := tokens(d.Statement())
		if err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "declared statement %q", d.Statement())
		}
		one := rule{infos[0].Fingerprint(), pattern, d.Key(), d.Keep()}
		if err := one.validate(); err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "declared statement %q", d.Statement())
		}
		if _, ok := r.byFingerprint[one.fingerprint]; ok {
			return nil, result.New(result.InvalidConfig, "statement %q is declared twice", d.Statement())
		}
		r.byFingerprint[one.fingerprint] = one
	}
	return r, nil
}

func (r rule) validate() error {
	if len(r.key) == 0 {
		return fmt.Errorf("no key parameter")
	}
	for _, k := range r.key {
		if !slices.ContainsFunc(r.pattern, func(t token) bool { return t.kind == tokenParam && t.text == fmt.Sprint(k) }) {
			return fmt.Errorf("key parameter $%d does not occur", k)
		}
	}
	return nil
}

// Declared reports whether statements with this fingerprint are declared.
func (r *Rules) Declared(fingerprint uint64) bool {
	_, ok := r.byFingerprint[fingerprint]
	return ok
}

// Key returns the request key of a declared statement with bound parameters. A nil value is null. The bytes of a value
// are taken as they are, so that a caller that repeats a request must use the same parameter format.
func (r *Rules) Key(fingerprint uint64, values [][]byte) (work.OnceKey, error) {
	one, ok := r.byFingerprint[fingerprint]
	if !ok {
		return work.OnceKey{}, result.New(result.Unsupported, "the statement is not declared")
	}
	return one.of(func(n int) ([]byte, bool) {
		if n < 1 || n > len(values) {
			return nil, false
		}
		return values[n-1], true
	})
}

// KeyOfText returns the request key of a declared statement whose text has constants in place of parameters, as in the
// simple protocol. The text must equal the declared one apart from white space, case of names, and the constants. The
// key equals that of the statement with the same parameters bound in text format.
func (r *Rules) KeyOfText(fingerprint uint64, text string) (work.OnceKey, error) {
	one, ok := r.byFingerprint[fingerprint]
	if !ok {
		return work.OnceKey{}, result.New(result.Unsupported, "the statement is not declared")
	}
	values, err := one.match(text)
	if err != nil {
		return work.OnceKey{}, result.Wrap(result.Unsupported, err, "the constants of a declared statement cannot be found")
	}
	return one.of(func(n int) ([]byte, bool) {
		v, ok := values[fmt.Sprint(n)]
		return v, ok
	})
}

func (r rule) of(value func(n int) ([]byte, bool)) (work.OnceKey, error) {
	h := sha256.New()
	var size [8]byte
	for _, k := range r.key {
		v, ok := value(k)
		if !ok {
			return work.OnceKey{}, result.New(result.Unsupported, "the statement has no parameter $%d", k)
		}
		n := int64(len(v))
		if v == nil {
			n = -1
		}
		binary.BigEndian.PutUint64(size[:], uint64(n))
		h.Write(size[:])
		h.Write(v)
	}
	return work.OnceKey{Key: fmt.Sprintf("%s%x", prefix(r.fingerprint), h.Sum(nil)), Keep: r.keep}, nil
}

func prefix(fingerprint uint64) string { return fmt.Sprintf("%016x:", fingerprint) }

// Expiry is the range of keys of one rule and for how long its records are kept.
type Expiry struct {
	from string
	to   string
	keep time.Duration
}

// From returns the lowest key.
func (e Expiry) From() string { return e.from }

// To returns the end of the keys.
func (e Expiry) To() string { return e.to }

// Before returns the value of created below which a record has expired.
func (e Expiry) Before(now time.Time) int64 { return now.Add(-e.keep).UnixMilli() }

// Expiries returns what ExpireSQL is to be run for.
func (r *Rules) Expiries() []Expiry {
	var list []Expiry
	for f, one := range r.byFingerprint {
		from := prefix(f)
		list = append(list, Expiry{from: from, to: strings.TrimSuffix(from, ":") + ";", keep: one.keep})
	}
	slices.SortFunc(list, func(a, b Expiry) int { return strings.Compare(a.from, b.from) })
	return list
}

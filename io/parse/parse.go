// Package parse classifies SQL statements with PostgreSQL's own parser, behind a bounded cache keyed by the text.
package parse

import (
	"runtime"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"verbenagate/core/stmt"
)

const (
	// defaultCacheBytes bounds the memory of the cache.
	defaultCacheBytes = 16 << 20
	// defaultCacheEntries bounds the number of cached texts.
	defaultCacheEntries = 20_000
	// maxCachedText is the length in bytes above which a text is parsed each time. Texts of this length are mostly
	// generated with constants in them and do not recur.
	maxCachedText = 16 << 10
)

// Parser describes statements. It is safe for concurrent use.
type Parser struct {
	cache *cache
	// slots bounds concurrent calls into C, each of which occupies an operating system thread.
	slots chan struct{}
}

var _ stmt.Parser = (*Parser)(nil)

// Option changes a default of New.
type Option func(*options)

type options struct {
	bytes   int
	entries int
}

// WithCache bounds the cache by bytes and by entries; with 0 entries nothing is cached.
func WithCache(bytes, entries int) Option {
	return func(o *options) { o.bytes, o.entries = bytes, entries }
}

// New returns a parser.
func New(opts ...Option) *Parser {
	o := options{bytes: defaultCacheBytes, entries: defaultCacheEntries}
	for _, f := range opts {
		f(&o)
	}
	return &Parser{cache: newCache(o.bytes, o.entries), slots: make(chan struct{}, runtime.GOMAXPROCS(0))}
}

// Parse describes the statements in text. A text without a statement gives one Info of class Empty. A text that does
// not parse gives one Info of class Unknown, so that the server produces the syntax error; the error is always nil.
// The caller must not change the slice, which the cache shares.
func (p *Parser) Parse(text string) ([]stmt.Info, error) {
	if infos, ok := p.cache.get(text); ok {
		return infos, nil
	}
	p.slots <- struct{}{}
	infos := classify(text)
	<-p.slots
	p.cache.put(text, infos)
	return infos, nil
}

// Lookups returns how many texts were found in the cache and how many were not. Texts that are too long for the cache do
// not count.
func (p *Parser) Lookups() (hits, misses int64) { return p.cache.lookups() }

func classify(text string) []stmt.Info {
	tree, err := pgquery.Parse(text)
	if err != nil {
		return []stmt.Info{stmt.NewInfo(stmt.Unknown, stmt.EffectNone, 0, nil, "")}
	}
	if len(tree.Stmts) == 0 {
		return []stmt.Info{stmt.NewInfo(stmt.Empty, stmt.EffectNone, 0, nil, "")}
	}
	infos := make([]stmt.Info, len(tree.Stmts))
	for i, raw := range tree.Stmts {
		part := text
		if len(tree.Stmts) > 1 {
			part = cut(text, raw)
		}
		infos[i] = describe(raw.Stmt, fingerprint(part))
	}
	return infos
}

// cut returns the part of text that holds the statement. Offsets are in bytes; length 0 means the rest of the text.
func cut(text string, raw *pgquery.RawStmt) string {
	from := min(max(int(raw.StmtLocation), 0), len(text))
	to := len(text)
	if raw.StmtLen > 0 {
		to = min(from+int(raw.StmtLen), len(text))
	}
	return text[from:to]
}

// fingerprint returns 0 for a text that cannot be fingerprinted; such statements share one service-time estimate.
func fingerprint(text string) uint64 {
	f, err := pgquery.FingerprintToUInt64(text)
	if err != nil {
		return 0
	}
	return f
}

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
	// maxCachedTextBytes is the length above which a text is not cached. Most texts of this length are generated with
	// constants in them and do not recur.
	maxCachedTextBytes = 16 << 10
)

// Parser implements stmt.Parser with a cache of recent texts. It is safe for concurrent use.
type Parser struct {
	cache *cache
	// cgoSlots is a semaphore that bounds concurrent calls into C, because each call occupies an operating system thread.
	cgoSlots chan struct{}
}

var _ stmt.Parser = (*Parser)(nil)

// Option changes a default setting of New.
type Option func(*options)

type options struct {
	cacheBytes   int
	cacheEntries int
}

// WithCache sets the maximum size of the cache in bytes and in entries. With 0 entries nothing is cached.
func WithCache(bytes, entries int) Option {
	return func(o *options) { o.cacheBytes, o.cacheEntries = bytes, entries }
}

// New returns a parser. WithCache changes the default limits of its cache.
func New(opts ...Option) *Parser {
	o := options{cacheBytes: defaultCacheBytes, cacheEntries: defaultCacheEntries}
	for _, f := range opts {
		f(&o)
	}
	return &Parser{cache: newCache(o.cacheBytes, o.cacheEntries), cgoSlots: make(chan struct{}, runtime.GOMAXPROCS(0))}
}

// Parse returns the descriptions of the statements in text. A text without a statement gives one Info of class Empty. A
// text with a syntax error gives one Info of class Unknown, so that the server reports the syntax error to the client.
// The returned error is always nil. The caller must not change the returned slice, because the cache holds the same one.
func (p *Parser) Parse(text string) ([]stmt.Info, error) {
	if infos, ok := p.cache.get(text); ok {
		return infos, nil
	}
	p.cgoSlots <- struct{}{}
	infos := classifyText(text)
	<-p.cgoSlots
	p.cache.put(text, infos)
	return infos, nil
}

// CacheLookups returns the numbers of cache hits and misses. Texts that are too long for the cache are not counted.
func (p *Parser) CacheLookups() (hits, misses int64) { return p.cache.lookups() }

func classifyText(text string) []stmt.Info {
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
			part = statementText(text, raw)
		}
		infos[i] = classifyStatement(raw.Stmt, fingerprint(part))
	}
	return infos
}

// statementText returns the part of text that holds the statement. A StmtLen of 0 means the rest of the text.
func statementText(text string, raw *pgquery.RawStmt) string {
	from := min(max(int(raw.StmtLocation), 0), len(text))
	to := len(text)
	if raw.StmtLen > 0 {
		to = min(from+int(raw.StmtLen), len(text))
	}
	return text[from:to]
}

// fingerprint returns pg_query's fingerprint of a statement, or 0 if that fails. All statements with fingerprint 0 share
// one service-time estimate.
func fingerprint(text string) uint64 {
	f, err := pgquery.FingerprintToUInt64(text)
	if err != nil {
		return 0
	}
	return f
}

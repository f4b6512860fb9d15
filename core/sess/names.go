package sess

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"verbenagate/core/result"
	"verbenagate/core/work"
)

const (
	// DefaultMaxStatements is the default limit of prepared statements in a session.
	DefaultMaxStatements = 1000
	// DefaultMaxStatementBytes is the default limit of the total size of their definitions, in bytes.
	DefaultMaxStatementBytes = 1 << 20
)

// PreparedStatements maps the names that a caller gave to prepared statements, "" for the unnamed one, to their definitions. It
// is not safe for concurrent use.
type PreparedStatements struct {
	defs          map[string]work.Prepared
	bytes         int
	maxStatements int
	maxBytes      int
}

// NewPreparedStatements returns an empty map that limits the number of statements and the total size of their definitions in
// bytes.
func NewPreparedStatements(statements, bytes int) *PreparedStatements {
	return &PreparedStatements{maxStatements: statements, maxBytes: bytes}
}

// NewPrepared returns the definition of a prepared statement. Its name on server connections is derived from a hash of the text
// and the parameter types. 128 bits of SHA-256 prevent a caller from finding a text that has the name of another caller's
// statement.
func NewPrepared(sql string, paramOIDs []uint32) work.Prepared {
	h := sha256.New()
	h.Write([]byte(sql))
	h.Write([]byte{0}) // separates the text, which contains no zero byte, from the types
	var b [4]byte
	for _, o := range paramOIDs {
		binary.BigEndian.PutUint32(b[:], o)
		h.Write(b[:])
	}
	var sum [sha256.Size]byte
	return work.Prepared{
		Name: "vg_" + hex.EncodeToString(h.Sum(sum[:0])[:16]), SQL: sql, ParamOIDs: slices.Clone(paramOIDs),
	}
}

// Get returns the definition of the caller's prepared statement name, and false if there is none.
func (n *PreparedStatements) Get(name string) (work.Prepared, bool) {
	d, ok := n.defs[name]
	return d, ok
}

// Put sets the definition of name. It returns an error with code result.TooLarge if the new definition would exceed a limit.
func (n *PreparedStatements) Put(name string, d work.Prepared) error {
	old, ok := n.defs[name]
	count, bytes := len(n.defs)+1, n.bytes+definitionSize(name, d)
	if ok {
		count, bytes = count-1, bytes-definitionSize(name, old)
	}
	if count > n.maxStatements || bytes > n.maxBytes {
		return result.New(result.TooLarge, "session holds %d prepared statements of %d bytes; limits are %d and %d",
			len(n.defs), n.bytes, n.maxStatements, n.maxBytes)
	}
	if n.defs == nil {
		n.defs = make(map[string]work.Prepared)
	}
	n.defs[name] = d
	n.bytes = bytes
	return nil
}

// Remove deletes the definition of name, if any.
func (n *PreparedStatements) Remove(name string) {
	if d, ok := n.defs[name]; ok {
		n.bytes -= definitionSize(name, d)
		delete(n.defs, name)
	}
}

// Clear deletes all definitions.
func (n *PreparedStatements) Clear() { n.defs, n.bytes = nil, 0 }

// Len returns the number of names.
func (n *PreparedStatements) Len() int { return len(n.defs) }

func definitionSize(name string, d work.Prepared) int {
	return len(name) + len(d.Name) + len(d.SQL) + 4*len(d.ParamOIDs)
}

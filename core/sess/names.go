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
	// DefaultMaxStatements bounds the prepared statements of a session.
	DefaultMaxStatements = 1000
	// DefaultMaxStatementBytes bounds their texts together, in bytes.
	DefaultMaxStatementBytes = 1 << 20
)

// Names maps a caller's names of prepared statements, the unnamed one included, to their definitions. It is not safe
// for concurrent use.
type Names struct {
	defs     map[string]work.Prepared
	bytes    int
	max      int
	maxBytes int
}

// NewNames returns an empty map with bounds on the number of statements and on the bytes of their texts and names.
func NewNames(statements, bytes int) *Names {
	return &Names{max: statements, maxBytes: bytes}
}

// Define returns the definition of a prepared statement, with a name derived from a hash of its text and parameter
// types. 128 bits of SHA-256 keep a caller from finding a text that takes the name of another caller's.
func Define(sql string, paramOIDs []uint32) work.Prepared {
	h := sha256.New()
	h.Write([]byte(sql))
	h.Write([]byte{0}) // no text contains a zero byte
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

// Get returns the definition that the caller gave the name.
func (n *Names) Get(name string) (work.Prepared, bool) {
	d, ok := n.defs[name]
	return d, ok
}

// Put gives the name a definition. The error is of code result.TooLarge if that exceeds a bound.
func (n *Names) Put(name string, d work.Prepared) error {
	old, ok := n.defs[name]
	count, bytes := len(n.defs)+1, n.bytes+size(name, d)
	if ok {
		count, bytes = count-1, bytes-size(name, old)
	}
	if count > n.max || bytes > n.maxBytes {
		return result.New(result.TooLarge, "session holds %d prepared statements of %d bytes; limits are %d and %d",
			len(n.defs), n.bytes, n.max, n.maxBytes)
	}
	if n.defs == nil {
		n.defs = make(map[string]work.Prepared)
	}
	n.defs[name] = d
	n.bytes = bytes
	return nil
}

// Remove forgets the name.
func (n *Names) Remove(name string) {
	if d, ok := n.defs[name]; ok {
		n.bytes -= size(name, d)
		delete(n.defs, name)
	}
}

// Clear forgets all names.
func (n *Names) Clear() { n.defs, n.bytes = nil, 0 }

// Len returns the number of names.
func (n *Names) Len() int { return len(n.defs) }

func size(name string, d work.Prepared) int {
	return len(name) + len(d.Name) + len(d.SQL) + 4*len(d.ParamOIDs)
}

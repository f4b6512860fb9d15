// Package stmt describes statements to the deciding packages.
package stmt

// Class says what a statement may do to the database.
type Class uint8

// Statement classes. A statement that cannot be classed is Unknown and goes to the primary.
const (
	Unknown Class = iota
	Read
	Write
	Begin
	BeginReadOnly
	Commit
	Rollback
	Empty
)

// String returns the class's name.
func (c Class) String() string {
	names := [...]string{"unknown", "read", "write", "begin", "begin read only", "commit", "rollback", "empty"}
	if int(c) < len(names) {
		return names[c]
	}
	return "invalid"
}

// MayCommit reports whether a unit of this class can commit a write.
func (c Class) MayCommit() bool {
	switch c {
	case Read, Begin, BeginReadOnly, Rollback, Empty:
		return false
	}
	return true
}

// Effect is what a statement does to the session it runs in.
type Effect uint8

// Effects on the session.
const (
	// EffectNone leaves no state in the server session.
	EffectNone Effect = iota
	// EffectPin leaves state in the server session, so that the caller must keep its server connection.
	EffectPin
	// EffectReset removes the state (DISCARD ALL).
	EffectReset
	// EffectRefused cannot be supported.
	EffectRefused
)

// Info is what the parser found out about one statement.
type Info struct {
	class       Class
	effect      Effect
	fingerprint uint64
	tables      []string
	reason      string
}

// NewInfo returns the description of a statement. Reason says why a refused statement is refused.
func NewInfo(class Class, effect Effect, fingerprint uint64, tables []string, reason string) Info {
	return Info{class: class, effect: effect, fingerprint: fingerprint, tables: tables, reason: reason}
}

// Class returns what the statement may do to the database.
func (i Info) Class() Class { return i.class }

// Effect returns what the statement does to its session.
func (i Info) Effect() Effect { return i.effect }

// Fingerprint identifies statements that differ only in constants.
func (i Info) Fingerprint() uint64 { return i.fingerprint }

// Tables returns the tables that the statement names.
func (i Info) Tables() []string { return i.tables }

// Reason says why a statement with EffectRefused is refused.
func (i Info) Reason() string { return i.reason }

// Parser describes the statements in a text; a text may hold several.
type Parser interface {
	Parse(text string) ([]Info, error)
}

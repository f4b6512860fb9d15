// Package stmt holds what the SQL parser found out about a statement. Sessions, routing and admission control base their
// decisions on it.
package stmt

// Class says how a statement may affect the database.
type Class uint8

// Statement classes. A statement that cannot be classified is Unknown and goes to the primary.
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

// String returns the class's name as used in metric labels.
func (c Class) String() string {
	names := [...]string{"unknown", "read", "write", "begin", "begin read only", "commit", "rollback", "empty"}
	if int(c) < len(names) {
		return names[c]
	}
	return "invalid"
}

// MayCommit reports whether a unit of work of this class can commit a write.
func (c Class) MayCommit() bool {
	switch c {
	case Read, Begin, BeginReadOnly, Rollback, Empty:
		return false
	}
	return true
}

// Effect is what a statement does to the state of the server session that it runs in.
type Effect uint8

// Effects on the server session.
const (
	// EffectNone leaves no state in the server session.
	EffectNone Effect = iota
	// EffectPin leaves state in the server session, so the caller's session must keep its server connection.
	EffectPin
	// EffectReset removes all state from the server session (DISCARD ALL).
	EffectReset
	// EffectRefused marks a statement that is rejected because verbenagate cannot support it.
	EffectRefused
)

// Info is the parser's description of one statement.
type Info struct {
	class       Class
	effect      Effect
	fingerprint uint64
	tables      []string
	reason      string
}

// NewInfo returns the description of a statement. The reason says why a statement with EffectRefused is rejected.
func NewInfo(class Class, effect Effect, fingerprint uint64, tables []string, reason string) Info {
	return Info{class: class, effect: effect, fingerprint: fingerprint, tables: tables, reason: reason}
}

// Class returns how the statement may affect the database.
func (i Info) Class() Class { return i.class }

// Effect returns what the statement does to its server session.
func (i Info) Effect() Effect { return i.effect }

// Fingerprint returns a value that is the same for statements which differ only in constants.
func (i Info) Fingerprint() uint64 { return i.fingerprint }

// Tables returns the tables that the statement names.
func (i Info) Tables() []string { return i.tables }

// Reason returns why a statement with EffectRefused is rejected.
func (i Info) Reason() string { return i.reason }

// Parser splits a text, which may hold several statements, and returns the description of each.
type Parser interface {
	Parse(text string) ([]Info, error)
}

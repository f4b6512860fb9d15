// Package point defines positions in the replicated log of a database group.
package point

import "fmt"

// Point is a position in the replicated log, together with the term whose history it belongs to. The zero Point precedes all
// others.
type Point struct {
	term     uint64
	position uint64
}

// New returns the point at position in the log history of term.
func New(term, position uint64) Point {
	return Point{term: term, position: position}
}

// Term returns the term whose log history p belongs to.
func (p Point) Term() uint64 { return p.term }

// Position returns the position in the log, counted in log entries.
func (p Point) Position() uint64 { return p.position }

// IsZero reports whether p is the zero Point, which precedes every write.
func (p Point) IsZero() bool { return p == Point{} }

// Covers reports whether a server at p has every write that was acknowledged up to required.
//
// The log of a newer term keeps the acknowledged entries of older terms and continues at higher positions. A point of an older
// term never covers one of a newer term, because its position may belong to a branch of the log that the newer term has
// discarded.
func (p Point) Covers(required Point) bool {
	return p.term >= required.term && p.position >= required.position
}

// Max returns the smallest point that covers both p and q.
func (p Point) Max(q Point) Point {
	return Point{term: max(p.term, q.term), position: max(p.position, q.position)}
}

// String formats p as TERM/POSITION, both in decimal.
func (p Point) String() string {
	return fmt.Sprintf("%d/%d", p.term, p.position)
}

// Parse parses the output of String.
func Parse(s string) (Point, error) {
	var p Point
	var rest string
	n, _ := fmt.Sscanf(s+" ", "%d/%d%s", &p.term, &p.position, &rest)
	if n != 2 {
		return Point{}, fmt.Errorf("log point %q is not of the form term/position", s)
	}
	return p, nil
}

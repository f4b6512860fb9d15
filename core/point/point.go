// Package point defines positions in the replicated log of a database group.
package point

import "fmt"

// Point is a position in the log of one term's history. The zero Point precedes every other one.
type Point struct {
	term     uint64
	position uint64
}

// New returns the point at position in the history of term.
func New(term, position uint64) Point {
	return Point{term: term, position: position}
}

// Term returns the term of the history.
func (p Point) Term() uint64 { return p.term }

// Position returns the position in the log, counted in log entries.
func (p Point) Position() uint64 { return p.position }

// IsZero reports whether p precedes every write.
func (p Point) IsZero() bool { return p == Point{} }

// Covers reports whether a server at p holds everything acknowledged up to required.
//
// A newer term continues the acknowledged history of an older one with rising positions. An older term never covers
// a newer one, since its position may lie on a branch that the newer term has discarded.
func (p Point) Covers(required Point) bool {
	return p.term >= required.term && p.position >= required.position
}

// Max returns the least point that covers both p and q.
func (p Point) Max(q Point) Point {
	return Point{term: max(p.term, q.term), position: max(p.position, q.position)}
}

// String formats the point as term/position.
func (p Point) String() string {
	return fmt.Sprintf("%d/%d", p.term, p.position)
}

// Parse reads the format that String writes.
func Parse(s string) (Point, error) {
	var p Point
	var rest string
	n, _ := fmt.Sscanf(s+" ", "%d/%d%s", &p.term, &p.position, &rest)
	if n != 2 {
		return Point{}, fmt.Errorf("log point %q is not of the form term/position", s)
	}
	return p, nil
}

package lead

import (
	"time"

	"verbenagate/core/point"
)

// LogReturnTimeout is how long a server that has left may take to return, or to be followed by a server that has its log.
const LogReturnTimeout = 30 * time.Second

// Poll is what the servers of a group reported while its primary is being replaced.
type Poll struct {
	candidates []Candidate
	primary    Candidate // the primary that is being replaced
	answered   bool      // primary has reported its position
	silent     int
	mayReturn  bool
}

// NewPoll returns a poll of the servers other than the primary. The candidates answered. Silent counts the other servers that may
// hold more of the log than those: registered ones that did not answer, and those that have left and whose log may return.
func NewPoll(candidates []Candidate, silent int) Poll {
	return Poll{candidates: candidates, silent: silent}
}

// WithPrimary returns the poll with the position that the primary which is being replaced reported.
func (p Poll) WithPrimary(c Candidate) Poll {
	p.primary, p.answered = c, true
	return p
}

// WithSilentPrimary returns the poll with a primary that has not answered. MayReturn says that it may still answer later.
func (p Poll) WithSilentPrimary(mayReturn bool) Poll {
	p.primary, p.answered, p.mayReturn = Candidate{}, false, mayReturn
	return p
}

// Candidates returns the servers that answered, other than the primary.
func (p Poll) Candidates() []Candidate { return p.candidates }

// Primary returns the primary that is being replaced, the zero Candidate if it did not answer.
func (p Poll) Primary() Candidate { return p.primary }

// PrimaryAnswered reports whether the primary that is being replaced has reported its position.
func (p Poll) PrimaryAnswered() bool { return p.answered }

// Silent returns how many servers other than the primary may hold more of the log than the candidates.
func (p Poll) Silent() int { return p.silent }

// KeepsCommits reports whether the promotion of c keeps all acknowledged commits, in a group that acknowledges a commit once
// syncReplicas replicas have received it. Required is the position at which the primary that is being replaced was promoted: only
// that server is known to have had all earlier commits. If no server can hold more than the candidates, the best one is accepted,
// as nothing better will come.
func (p Poll) KeepsCommits(c Candidate, required point.Point, syncReplicas int) bool {
	if syncReplicas == 0 {
		return true
	}
	for _, o := range p.candidates {
		if c.isBehind(o) {
			return false
		}
	}
	if p.answered && !c.isBehind(p.primary) {
		return true
	}
	if p.silent == 0 && !p.answered && !p.mayReturn {
		return true
	}
	return p.silent < syncReplicas && c.received.Covers(required)
}

// SafeCandidate returns the best candidate whose promotion keeps all acknowledged commits. It returns a draining server only with
// allowDraining, and false if there is none.
func (p Poll) SafeCandidate(required point.Point, syncReplicas int, allowDraining bool) (Candidate, bool) {
	var allowed []Candidate
	for _, c := range p.candidates {
		if (allowDraining || !c.draining) && p.KeepsCommits(c, required, syncReplicas) {
			allowed = append(allowed, c)
		}
	}
	return BestCandidate(allowed)
}

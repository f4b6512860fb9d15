package endpt

import (
	"context"
	"time"

	"verbenagate/core/point"
)

// commitAnswerTimeout bounds the wait for the answers to commits that the server has already carried out.
const commitAnswerTimeout = 5 * time.Millisecond

func (s *Server) recordCommits(caller string, commits []point.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for _, p := range commits {
		s.commitTracker.RecordCommit(now, caller, p)
	}
	s.wakeCommitWaiters()
}

// wakeCommitWaiters wakes the goroutines that wait in awaitCommitAnswer. The caller holds mu.
func (s *Server) wakeCommitWaiters() {
	if s.commitsChanged != nil {
		close(s.commitsChanged)
		s.commitsChanged = nil
	}
}

// RequiredPoints returns, for each caller, a point that covers all its commits that were acknowledged before the server
// was asked for its status; see commit.Tracker. newest is the position in that status, confirmed as a barrier.
func (s *Server) RequiredPoints(ctx context.Context, callers []string, newest point.Point) []point.Point {
	s.awaitCommitAnswer(ctx, newest)
	s.mu.Lock()
	defer s.mu.Unlock()
	required := make([]point.Point, len(callers))
	for i, c := range callers {
		required[i] = s.commitTracker.RequiredPoint(c, newest)
		s.meter.countSessionPoint(required[i].Covers(newest))
	}
	return required
}

// awaitCommitAnswer waits up to commitAnswerTimeout for the answer to the commit at newest if a unit of this VM may
// have made that commit. Until the answer has arrived, the commit counts as one of any caller.
func (s *Server) awaitCommitAnswer(ctx context.Context, newest point.Point) {
	ctx, cancel := context.WithTimeout(ctx, commitAnswerTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		if s.commitTracker.NewestKnown(newest) || s.inFlightWrites == 0 {
			s.mu.Unlock()
			return
		}
		if s.commitsChanged == nil {
			s.commitsChanged = make(chan struct{})
		}
		recorded := s.commitsChanged
		s.mu.Unlock()
		select {
		case <-recorded:
		case <-ctx.Done():
			return
		}
	}
}

package endpt

import (
	"context"
	"time"

	"verbenagate/core/point"
)

// answersWait bounds the wait for the answers to commits that the server has carried out already.
const answersWait = 5 * time.Millisecond

func (s *Server) recordCommits(caller string, commits []point.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for _, p := range commits {
		s.commits.RecordCommit(now, caller, p)
	}
	s.signalRecorded()
}

// signalRecorded wakes those who wait for a commit. The caller holds mu.
func (s *Server) signalRecorded() {
	if s.recorded != nil {
		close(s.recorded)
		s.recorded = nil
	}
}

// Required returns for each caller a point that covers all its commits which were acknowledged before the server was asked
// for its status, as commit.Tracker does. Newest is the position in that status, confirmed as a barrier.
func (s *Server) Required(ctx context.Context, callers []string, newest point.Point) []point.Point {
	s.awaitAnswers(ctx, newest)
	s.mu.Lock()
	defer s.mu.Unlock()
	required := make([]point.Point, len(callers))
	for i, c := range callers {
		required[i] = s.commits.RequiredPoint(c, newest)
		s.meter.point(required[i].Covers(newest))
	}
	return required
}

// awaitAnswers waits a moment for the answer to the commit at newest if a unit of this VM may have made it. Until that is
// known, it counts as a commit of any caller.
func (s *Server) awaitAnswers(ctx context.Context, newest point.Point) {
	ctx, cancel := context.WithTimeout(ctx, answersWait)
	defer cancel()
	for {
		s.mu.Lock()
		if s.commits.NewestKnown(newest) || s.writing == 0 {
			s.mu.Unlock()
			return
		}
		if s.recorded == nil {
			s.recorded = make(chan struct{})
		}
		recorded := s.recorded
		s.mu.Unlock()
		select {
		case <-recorded:
		case <-ctx.Done():
			return
		}
	}
}

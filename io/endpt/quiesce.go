package endpt

import (
	"context"
	"time"
)

// quiesceInterval is how often Quiesce looks.
const quiesceInterval = 5 * time.Millisecond

// Quiesce waits until no unit runs or waits and no transaction is open. It refuses nothing by itself: a leaving
// server gets no new units.
func (s *Server) Quiesce(ctx context.Context) error {
	t := time.NewTicker(quiesceInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		quiet := s.quiescent()
		s.mu.Unlock()
		if quiet {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

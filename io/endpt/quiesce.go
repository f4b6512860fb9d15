package endpt

import (
	"context"
	"time"
)

// quiesceInterval is the polling interval of Quiesce.
const quiesceInterval = 5 * time.Millisecond

// Quiesce waits until no unit runs or waits and no transaction is open. It does not refuse units itself; it relies on
// a leaving server getting no new ones.
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

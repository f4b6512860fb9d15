package proof

import (
	"errors"
	"syscall"
	"time"

	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// heldRef is the reference of the held commit. Its statement is not declared, so that no VM repeats it on a new primary.
const heldRef = "held"

// heldCommit is a write that the primary has committed and that nobody can confirm yet.
type heldCommit struct {
	answer chan error // of the VM to the caller
}

// holdCommit leaves a write between its commit on the primary and its confirmation.
func (s *script) holdCommit() {
	primary := s.at("primary")
	owner := s.owner(s.w.proxies[primary].Addr())
	conn, err := s.w.connect(s.w.ctx, s.w.vm(owner).listen[0], site.User(0), site.Password, service)
	s.w.check(err)
	insert := func(ref string) error {
		return conn.ExecParams(s.w.ctx, load.HalfSQL, [][]byte{[]byte(ref), []byte("1")}, nil, nil, nil).Read().Err
	}
	// The owner's requests arrive, so that the answers that confirm the term wait for the owner in its connections.
	for i := range s.w.servers() {
		if i != primary {
			s.w.net.impose(&condition{cut: true, affects: oneWay(serverName(i), owner)})
		}
	}
	s.held = &heldCommit{answer: make(chan error, 1)}
	go func() {
		s.held.answer <- insert(heldRef)
		_ = conn.Close(s.w.ctx)
	}()
	s.w.await("the primary commits the held write", 5*time.Second, func() error {
		if !s.holds(primary) {
			return errors.New("not yet")
		}
		return nil
	})
	for i := range s.w.servers() {
		if i != primary && s.holds(i) {
			s.t.Fatalf("server %d has the held write, so that it can't be lost", i+1)
		}
	}
}

// holds reports whether a server has the held write.
func (s *script) holds(i int) bool {
	rows, err := s.w.servers()[i].Query(s.w.ctx, "SELECT count(*) FROM half WHERE ref = $1", heldRef)
	s.w.check(err)
	return rows[0][0] != int64(0)
}

// resume lets the VM go on that was stopped without a time.
func (s *script) resume() {
	s.w.signal(s.paused, syscall.SIGCONT)
	s.paused = ""
}

// expectHeldCommitNotAcknowledged waits for the answer to the held write. The write must have been lost, so that an
// acknowledgement would be one of the replaced primary.
func (s *script) expectHeldCommitNotAcknowledged() {
	select {
	case err := <-s.held.answer:
		if err == nil {
			s.t.Error("the replaced primary's commit was acknowledged")
		}
		s.t.Logf("the caller of the held write was told: %v", err)
		if load.OutcomeOf(err) != load.Unknown {
			s.t.Errorf("the outcome of the held write was reported as %s", load.OutcomeOf(err))
		}
	case <-time.After(settleLimit):
		s.t.Fatal("the held write has no answer")
	}
	if s.holds(s.at("primary")) {
		s.t.Error("the new primary has the held write, so that the check compared nothing")
	}
}

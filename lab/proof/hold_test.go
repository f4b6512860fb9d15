package proof

import (
	"errors"
	"syscall"
	"time"

	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

// heldRef is the reference of the held write. Its statement is not declared in the service, so no VM repeats it on a
// new primary.
const heldRef = "held"

// heldCommit is a write that the primary has committed, but that the VM can't confirm yet.
type heldCommit struct {
	answer chan error // result that the caller gets from the VM
}

// holdCommit sends a write and returns once the primary has committed it, while the confirmation of the commit is blocked.
func (s *script) holdCommit() {
	primary := s.serverIndex("primary")
	owner := s.owner(s.w.proxies[primary].Addr())
	conn, err := s.w.connect(s.w.ctx, s.w.vm(owner).listen[0], site.User(0), site.Password, service)
	s.w.check(err)
	insert := func(ref string) error {
		return conn.ExecParams(s.w.ctx, load.HalfSQL, [][]byte{[]byte(ref), []byte("1")}, nil, nil, nil).Read().Err
	}
	// Cut only the direction to the owner: its requests arrive at the other servers, and their answers, which confirm the term,
	// are held back in its connections.
	for i := range s.w.servers() {
		if i != primary {
			s.w.net.addCondition(&condition{cut: true, affects: oneWay(serverName(i), owner)})
		}
	}
	s.held = &heldCommit{answer: make(chan error, 1)}
	go func() {
		s.held.answer <- insert(heldRef)
		_ = conn.Close(s.w.ctx)
	}()
	s.w.await("the primary commits the held write", 5*time.Second, func() error {
		if !s.hasHeldWrite(primary) {
			return errors.New("the primary does not have the held write")
		}
		return nil
	})
	for i := range s.w.servers() {
		if i != primary && s.hasHeldWrite(i) {
			s.t.Fatalf("server %d has the held write, so a failover might not lose it", i+1)
		}
	}
}

// hasHeldWrite reports whether server i (counted from 0) has the held write.
func (s *script) hasHeldWrite(i int) bool {
	rows, err := s.w.servers()[i].Query(s.w.ctx, "SELECT count(*) FROM half WHERE ref = $1", heldRef)
	s.w.check(err)
	return rows[0][0] != int64(0)
}

// resumePaused continues the VM that was stopped without a duration.
func (s *script) resumePaused() {
	s.w.signal(s.paused, syscall.SIGCONT)
	s.paused = ""
}

// expectHeldCommitNotAcknowledged waits for the answer to the held write, which must be that its outcome is unknown. It also
// checks that the failover lost the write, because an acknowledgement would be correct otherwise.
func (s *script) expectHeldCommitNotAcknowledged() {
	select {
	case err := <-s.held.answer:
		if err == nil {
			s.t.Error("the replaced primary's commit was acknowledged")
		}
		s.t.Logf("the caller of the held write got: %v", err)
		if load.OutcomeOf(err) != load.Unknown {
			s.t.Errorf("the outcome of the held write was reported as %s", load.OutcomeOf(err))
		}
	case <-time.After(settleTimeout):
		s.t.Fatal("the held write got no answer")
	}
	if s.hasHeldWrite(s.serverIndex("primary")) {
		s.t.Error("the new primary has the held write, so the check proved nothing")
	}
}

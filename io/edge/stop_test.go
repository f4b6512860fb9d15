package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// stopVM starts to stop a VM and returns a function that waits for the end of the stop.
func (s *deployment) stopVM(name string) (wait func()) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.command(&datadriven.TestData{Cmd: "stop-vm", CmdArgs: []datadriven.CmdArg{{Key: name}}})
	}()
	return func() { <-stopped }
}

// stopGrace leaves a busy machine time between the steps of a stop.
const stopGrace = 4 * time.Second

// newStoppable starts a VM with stopGrace, and replicas that have the log.
func newStoppable(t *testing.T) *deployment {
	s := newDeployment(t)
	s.grace = stopGrace
	s.startVM("a")
	s.group.Replicate()
	return s
}

// hasRun reports whether a server ran the statement id.
func (s *deployment) hasRun(id string) bool { return s.sessionStates(id) != "" }

// Guards against a planned stop that cuts off the statements of transactions with short pauses: a session that had a statement running at
// each check was never found idle, and its connection was closed with a statement running.
func TestStopAnswersStatementsOfTransactions(t *testing.T) {
	const (
		sessions = 6
		work     = 150 * time.Millisecond
		// reads is more than a transaction can make before the VM of this test has ended.
		reads = 40
	)
	s := newStoppable(t)
	defer s.close()
	for _, server := range s.group.Servers() {
		server.SetWork(work)
	}
	names := make([]string, sessions)
	for i := range names {
		names[i] = fmt.Sprint("c", i)
		s.open(names[i], "a", "old", "key", "")
		if got := s.send(names[i], "- BEGIN READ"); got != "DONE -, T\n" {
			t.Fatalf("session %d: %s", i, got)
		}
	}
	wait := s.stopVM("a")
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() {
			for n := range reads {
				id := fmt.Sprint(name, "-", n)
				switch got := s.send(name, id+" READ x"); {
				case strings.HasSuffix(got, ".signed, T\n"):
				case got == "ERR ABORTED, E\n":
					if s.hasRun(id) {
						t.Errorf("%s ran and was answered %q", id, got)
					}
					if got := s.send(name, "- ROLLBACK"); got != "DONE -, I\n" {
						t.Errorf("%s: the rollback was answered %q", name, got)
					}
					return
				default:
					t.Errorf("%s was answered %q", id, got)
					return
				}
			}
			t.Errorf("%s was still served after %d reads", name, reads)
		})
	}
	all.Wait()
	wait()
}

// Guards against a stop that refuses the commit of a transaction whose statements have all run.
func TestStopAcceptsLateCommit(t *testing.T) {
	s := newStoppable(t)
	defer s.close()
	s.open("c", "a", "pay", "key", "")
	if got := s.send("c", "- BEGIN\nw1 WRITE x one"); !strings.HasSuffix(got, ".signed, T\n") {
		t.Fatal(got)
	}
	wait := s.stopVM("a")
	defer wait()
	half := time.Now().Add(stopGrace / 2)
	time.Sleep(stopGrace / 4) // A transaction may be idle for 2 s.
	if got := s.send("c", "r1 READ x"); !strings.HasSuffix(got, ".signed, T\n") {
		t.Fatalf("a statement in the first half of the grace period was answered %q", got)
	}
	time.Sleep(time.Until(half.Add(50 * time.Millisecond)))
	if got := s.send("c", "c1 COMMIT"); !strings.HasSuffix(got, ".signed, I\n") {
		t.Fatalf("the commit was answered %q", got)
	}
}

// Guards against a stop that closes the connection of a caller whose statement still runs without any answer.
func TestStopAnswersRunningStatements(t *testing.T) {
	s := newStoppable(t)
	defer s.close()
	s.open("c", "a", "pay", "key", "")
	for _, server := range s.group.Servers() {
		server.SetWork(waitTimeout)
	}
	wait := s.stopVM("a")
	defer wait()
	time.Sleep(500 * time.Millisecond)
	if got := s.send("c", "w1 WRITE x one"); got != "ERR UNKNOWN, I\n" {
		t.Fatalf("the write was answered %q", got)
	}
}

package edge_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenagate/io/edge"
)

// newFleet starts five VMs, too many for the one slot of each server, and waits until they know the owners of the servers.
func newFleet(t *testing.T) *deployment {
	s := newDeployment(t)
	s.slots = 1
	for i := range s.group.Servers() {
		s.register(i, "ready")
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		s.launchVM(name)
	}
	for name, vm := range s.vms {
		s.waitFor("owners known at VM "+name, func() bool {
			return vm.Ready() && s.usablePrimary(vm) != "" && len(vm.State().Elector.VMs) == len(s.vms) && ownerOf(vm, "ledger-0") != ""
		})
	}
	return s
}

// ownerOf returns the VM that owns a server according to vm.
func ownerOf(vm *edge.Edge, server string) string {
	for _, g := range vm.State().Groups {
		for _, p := range g.Pools {
			if p.Server == server && len(p.Owners) > 0 {
				return p.Owners[0]
			}
		}
	}
	return ""
}

// Guards against a planned stop of the VM that owns the primary which cuts off statements that it has just accepted from another
// VM, reports some of them as unknown, runs some of them twice, or ends an open transaction at once.
func TestPlannedStopOfOwner(t *testing.T) {
	s := newFleet(t)
	defer s.close()
	owner := ownerOf(s.vms["a"], "ledger-0")
	other := "a"
	if owner == other {
		other = "b"
	}
	s.open("tx", other, "pay", "key", "")
	if got := s.send("tx", "- BEGIN\nt1 WRITE y one"); got != "DONE -, T\nDONE ledger-0.signed, T\n" {
		t.Fatalf("the transaction did not start: %s", got)
	}
	s.open("c", other, "pay", "key", "")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.command(&datadriven.TestData{Cmd: "stop-vm", CmdArgs: []datadriven.CmdArg{{Key: owner}}})
	}()
	var acknowledged []string
	for n, running := 0, true; running; n++ {
		select {
		case <-stopped:
			running = false
		default:
		}
		switch got := s.send("c", fmt.Sprintf("w%d WRITE x %d", n, n)); got {
		case "DONE ledger-0.signed, I\n":
			acknowledged = append(acknowledged, fmt.Sprint(n))
		case "ERR BUSY, I\n":
		default:
			t.Fatalf("write %d: %s", n, got)
		}
		if n == 0 {
			if got := s.send("tx", "t2 READ y\nt3 COMMIT"); got != "ROW one, DONE ledger-0.signed, T\nDONE ledger-0.signed, I\n" {
				t.Fatalf("the open transaction: %s", got)
			}
		}
	}
	if got, want := strings.Join(s.group.Server(0).Data("x"), " "), strings.Join(acknowledged, " "); got != want {
		t.Fatalf("the server has\n%s\nacknowledged were\n%s", got, want)
	}
	if got := s.group.Server(0).Data("y"); len(got) != 1 {
		t.Fatalf("the transaction's write is there %d times", len(got))
	}
}

// Guards against a session that loses its own writes, its values or its statements when its statements run through other VMs.
func TestSessionThroughOwners(t *testing.T) {
	s := newFleet(t)
	defer s.close()
	for name := range s.vms {
		s.open(name, name, "own", "key", "")
		got := s.send(name, fmt.Sprintf(`- SET tone %[1]s
- PREPARE s READ q1
w WRITE %[1]s one
r READ %[1]s
e-%[1]s EXEC s %[1]s
- BEGIN READ
t READ %[1]s
- SET author %[1]s
c-%[1]s COMMIT`, name))
		want := "DONE -, I\nDONE -, I\nDONE ledger-0.signed, I\nROW one, DONE ledger-0.signed, I\nROW one, DONE ledger-0.signed, I\n" +
			"DONE -, T\nROW one, DONE ledger-0.signed, T\nDONE -, T\nDONE ledger-0.signed, I\n"
		if got != want {
			t.Errorf("session at VM %s: %s", name, got)
		}
		if got, want := s.sessionStates("e-"+name), fmt.Sprintf("ledger-0 values=\"tone=%s\" shape=\"READ q1\"\n", name); got != want {
			t.Errorf("execution at VM %s: got %s, want %s", name, got, want)
		}
		if got := s.sessionStates("c-" + name); !strings.Contains(got, "author="+name) {
			t.Errorf("the commit at VM %s ran without the value set before it: %s", name, got)
		}
	}
}

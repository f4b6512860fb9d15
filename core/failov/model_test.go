package failov

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenagate/core/point"
	"verbenagate/core/port"
)

// groupModel is a group of servers with asynchronous replication, several VMs that observe it, and promotions that may
// stop after any step. It guards against acknowledged writes that a promotion loses, against two primaries that both
// gather a quorum, and against barriers that miss an acknowledged write.
type groupModel struct {
	servers        []*modelServer
	vms            [][]Observation
	lastTerm       uint64
	clock          time.Time
	acked          []entry
	unacknowledged map[int][]entry
	writes         int
	barriers       []pendingBarrier
}

// entry is one committed write: its id, and its position in the history of the term that wrote it.
type entry struct {
	id   int
	term uint64
	pos  uint64
}

// modelServer is one server. Its history is that of its last log entry; following is only the address that it replicates from.
type modelServer struct {
	address   string
	promised  uint64
	role      port.Role
	following string
	log       []entry
	replicas  map[string]port.ReplicaStatus
}

func (s *modelServer) term() uint64 { return s.log[len(s.log)-1].term }

// pendingBarrier is a barrier that a VM requested at since, after the first acked writes had been acknowledged.
type pendingBarrier struct {
	vm    int
	since time.Time
	acked int
}

func (s *modelServer) status() port.Status {
	st := port.Status{
		Term: s.term(), Promised: s.promised, Received: uint64(len(s.log)), Applied: uint64(len(s.log)), Role: s.role,
	}
	for _, r := range s.replicas {
		st.Replicas = append(st.Replicas, r)
	}
	return st
}

func newGroupModel(servers, vms int) *groupModel {
	m := &groupModel{lastTerm: 1, clock: time.Unix(0, 0), unacknowledged: map[int][]entry{}}
	for i := range servers {
		s := &modelServer{
			address: fmt.Sprint("s", i), promised: 1, role: port.RoleReplica, following: "s0",
			log: []entry{{term: 1, pos: 1}}, replicas: map[string]port.ReplicaStatus{},
		}
		if i == 0 {
			s.role = port.RolePrimary
		}
		m.servers = append(m.servers, s)
	}
	for range vms {
		obs := make([]Observation, servers)
		for i, s := range m.servers {
			obs[i] = NewObservation(s.address, port.Status{}, time.Time{}, 0)
		}
		m.vms = append(m.vms, obs)
	}
	return m
}

func (m *groupModel) advanceClock() time.Time {
	m.clock = m.clock.Add(time.Millisecond)
	return m.clock
}

// write commits on a server that considers itself the primary; a VM waits to acknowledge the commit.
func (m *groupModel) write(t *rapid.T) {
	s := m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")]
	if s.role != port.RolePrimary || s.promised > s.term() {
		return
	}
	m.commit(s, rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm"))
}

func (m *groupModel) commit(s *modelServer, vm int) {
	m.writes++
	e := entry{id: m.writes, term: s.term(), pos: uint64(len(s.log) + 1)}
	s.log = append(s.log[:len(s.log):len(s.log)], e)
	m.unacknowledged[vm] = append(m.unacknowledged[vm], e)
}

// replicate copies one entry from a primary to a server that follows it and has promised no newer term.
func (m *groupModel) replicate(t *rapid.T) {
	from := m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "from")]
	to := m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "to")]
	m.replicateEntry(from, to)
}

func (m *groupModel) replicateEntry(from, to *modelServer) bool {
	if from.role != port.RolePrimary || to.role != port.RoleReplica || to.following != from.address {
		return false
	}
	if to.promised > from.term() || len(to.log) >= len(from.log) {
		return false
	}
	to.log = append(to.log[:len(to.log):len(to.log)], from.log[len(to.log)])
	from.replicas[to.address] = port.ReplicaStatus{Address: to.address, Term: to.term(), Received: uint64(len(to.log))}
	return true
}

// observe gives a VM the current status of a server; its other observations stay as old as they are.
func (m *groupModel) observe(t *rapid.T) {
	vm := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
	i := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	m.vms[vm][i] = NewObservation(m.servers[i].address, m.servers[i].status(), m.advanceClock(), 0)
}

// acknowledge lets a VM acknowledge the waiting commits that it can prove safe.
func (m *groupModel) acknowledge(t *rapid.T) {
	m.acknowledgeOn(rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm"))
}

func (m *groupModel) acknowledgeOn(vm int) {
	var remaining []entry
	for _, e := range m.unacknowledged[vm] {
		if QuorumHolds(m.vms[vm], point.New(e.term, e.pos)) {
			m.acked = append(m.acked, e)
			continue
		}
		remaining = append(remaining, e)
	}
	m.unacknowledged[vm] = remaining
}

// writeAndAcknowledge has one VM write to a serving primary, replicate the write to its followers and acknowledge it if
// possible. Single steps reach an acknowledgement under a second term too rarely.
func (m *groupModel) writeAndAcknowledge(t *rapid.T) {
	vm := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
	i := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	s := m.servers[i]
	if s.role != port.RolePrimary || s.promised > s.term() {
		return
	}
	m.commit(s, vm)
	for _, to := range m.servers {
		for m.replicateEntry(s, to) {
			continue
		}
	}
	m.vms[vm][i] = NewObservation(s.address, s.status(), m.advanceClock(), 0)
	m.acknowledgeOn(vm)
}

// promote carries out a promotion over a random subset of the servers and stops after a random number of steps. A store that
// was restored to an older state may have assigned the same term twice.
func (m *groupModel) promote(t *rapid.T) {
	if m.lastTerm == 1 || !rapid.Bool().Draw(t, "same term") {
		m.lastTerm++
	}
	term := m.lastTerm
	steps := rapid.IntRange(0, 2).Draw(t, "steps")
	var promised []Observation
	for i, s := range m.servers {
		if !rapid.Bool().Draw(t, fmt.Sprint("reach", i)) || s.promised >= term {
			continue
		}
		s.promised = term
		promised = append(promised, NewObservation(s.address, s.status(), m.advanceClock(), 0))
	}
	address, err := ChoosePrimary(promised, len(m.servers))
	if err != nil || steps == 0 {
		return
	}
	primary := m.findServer(address)
	primary.role = port.RolePrimary
	m.writes++
	primary.log = append(primary.log[:len(primary.log):len(primary.log)],
		entry{id: m.writes, term: term, pos: uint64(len(primary.log) + 1)})
	primary.replicas = map[string]port.ReplicaStatus{}
	if steps == 1 {
		return
	}
	for i, s := range m.servers {
		if s != primary && rapid.Bool().Draw(t, fmt.Sprint("follow", i)) {
			m.follow(s, primary)
		}
	}
}

// repair makes one server follow the newest primary.
func (m *groupModel) repair(t *rapid.T) {
	s := m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")]
	var newest *modelServer
	for _, p := range m.servers {
		if p.role == port.RolePrimary && p.promised <= p.term() && (newest == nil || p.term() > newest.term()) {
			newest = p
		}
	}
	if newest != nil && s != newest && s.promised <= newest.term() {
		m.follow(s, newest)
	}
}

// follow makes s a replica of primary and discards the entries that are not in the primary's history.
func (m *groupModel) follow(s, primary *modelServer) {
	n := 0
	for n < len(s.log) && n < len(primary.log) && s.log[n].id == primary.log[n].id {
		n++
	}
	s.log = s.log[:n:n]
	s.promised, s.role, s.following = primary.term(), port.RoleReplica, primary.address
	s.replicas = map[string]port.ReplicaStatus{}
}

func (m *groupModel) findServer(address string) *modelServer {
	for _, s := range m.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

func (m *groupModel) askBarrier(t *rapid.T) {
	m.barriers = append(m.barriers, pendingBarrier{
		vm: rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm"), since: m.advanceClock(), acked: len(m.acked),
	})
}

// check asserts the guarantees: an acknowledged write is in the log of every later primary, and a barrier covers every write
// that was acknowledged before the barrier was requested.
func (m *groupModel) check(t *rapid.T) {
	for _, s := range m.servers {
		if s.role != port.RolePrimary || s.promised > s.term() {
			continue
		}
		for _, e := range m.acked {
			if e.term <= s.term() && !s.hasEntry(e) {
				t.Fatalf("primary %s of term %d lacks acknowledged write %+v", s.address, s.term(), e)
			}
		}
	}
	for _, b := range m.barriers {
		p, ok := Barrier(m.vms[b.vm], b.since)
		if !ok {
			continue
		}
		for _, e := range m.acked[:b.acked] {
			if !p.Covers(point.New(e.term, e.pos)) {
				t.Fatalf("barrier %v does not cover write %+v acknowledged before it", p, e)
			}
		}
	}
}

func (s *modelServer) hasEntry(e entry) bool {
	return uint64(len(s.log)) >= e.pos && s.log[e.pos-1].id == e.id
}

// TestAcknowledgedWritesSurvive guards against a promotion that loses an acknowledged write, with promotions that stop
// half way, stale observations and servers that come back with discarded branches.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	acked := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newGroupModel(rapid.SampledFrom([]int{3, 5}).Draw(t, "servers"), 2)
		t.Repeat(map[string]func(*rapid.T){
			"write": m.write, "write more": m.write, "replicate": m.replicate, "replicate more": m.replicate,
			"replicate again": m.replicate, "observe": m.observe, "observe more": m.observe, "observe again": m.observe,
			"acknowledge": m.acknowledge, "promote": m.promote, "repair": m.repair, "barrier": m.askBarrier,
			"barrier more": m.askBarrier, "serve": m.writeAndAcknowledge, "serve more": m.writeAndAcknowledge,
			"": m.check,
		})
		acked += len(m.acked)
	})
	if acked == 0 {
		t.Fatal("no write was acknowledged in any run, so the test checked nothing")
	}
}

package remote

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/drain"
	"verbenagate/core/even"
	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/bounds"
	"verbenagate/io/link"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
	"verbenagate/lab/lines"
	"verbenagate/lab/rows"
	"verbenagate/platform"
)

const (
	testTimeout = 20 * time.Second
	// manyVMs are too many for connections of their own to each server.
	manyVMs = 100
)

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

// certainElector takes every answer for that of the certain primary.
type certainElector struct{ failures atomic.Int64 }

func (*certainElector) RecordPosition(pg *pool.Group, _, server string, sent time.Time, p point.Point) {
	pg.RecordPosition(server, sent, p, true)
}

func (e *certainElector) RecordAnswer(_, _ string, _ time.Time, ok bool) {
	if !ok {
		e.failures.Add(1)
	}
}

// countingPaths counts the calls that were answered, and those to silent VMs.
type countingPaths struct{ answers, failures atomic.Int64 }

func (p *countingPaths) RecordAnswer(lead.Member)             { p.answers.Add(1) }
func (p *countingPaths) RecordFailure(lead.Member, time.Time) { p.failures.Add(1) }

// vm is a VM without sessions: it forwards and runs forwarded statements.
type vm struct {
	name    string
	pools   *pool.Set
	owner   *Owner
	paths   countingPaths
	address string
	clock   atomic.Int64 // how far its clock is ahead, in nanoseconds
	stop    func()
}

// group is a group of servers with the VMs that use it.
type group struct {
	t       *testing.T
	servers *lines.Group
	store   *rows.Store
	memory  int64 // that the VMs have for requests and answers; without a limit if 0
}

func newServers(t *testing.T) *group {
	g := &group{t: t}
	var err error
	if g.servers, err = lines.NewGroup("ledger", 2); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.servers.Close)
	if g.store, err = rows.Start(func(rows.PromoteRequest) error { return nil }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.store.Close() })
	for _, s := range g.servers.Servers() {
		g.store.Put(platform.ServerTable, s.ID(), fmt.Appendf(nil,
			`{"service":"ledger","address":%q,"zone":"dc","slots":2,"state":"ready","dbRole":"replica","born":1}`, s.Addr()))
	}
	g.store.Put(platform.ConfigTable, platform.ConfigKey, []byte(`{"version":1,"services":[{"name":"ledger","maxConns":30}]}`))
	return g
}

// newVM starts a VM that knows the servers.
func (g *group) newVM(name string) *vm {
	ctx, cancel := context.WithCancel(g.t.Context())
	v := &vm{name: name}
	clock := func() time.Time { return time.Now().Add(time.Duration(v.clock.Load())) }
	clients := link.NewClients(ctx, clock)
	caller := NewCaller(ctx, clients, &v.paths, clock, discardLogger{})
	v.pools = pool.NewSet(name, "dc", platform.NewDialer(name), manyVMs, clock, discardLogger{})
	v.pools.SetForwarder(caller)
	v.owner = NewOwner(ctx, v.pools, &certainElector{}, caller, clock, discardLogger{})
	v.owner.SetAccount(bounds.NewAccount(g.memory))
	peers := link.NewServer(ctx, clock, discardLogger{})
	v.owner.Register(peers)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	peers.Serve(l)
	v.address = l.Addr().String()
	store := platform.NewStore(g.store.Addr(), g.store.Addr())
	directory := watch.NewDirectory(ctx, store, watch.Source{
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, ServerTable: platform.ServerTable,
		ParseConfig: platform.ParseConfig, ParseServer: platform.ParseServer,
	}, clock, discardLogger{}, v.pools.Update)
	v.stop = func() {
		cancel()
		directory.Wait()
		peers.Wait()
		v.owner.Wait()
	}
	g.t.Cleanup(v.stop)
	for directory.View().ServerCount() < len(g.servers.Servers()) || !directory.Ready() {
		time.Sleep(time.Millisecond)
	}
	v.group(g.t).SetLeader("ledger-0", 1)
	return v
}

func (v *vm) group(t *testing.T) *pool.Group {
	g, ok := v.pools.Group("ledger")
	if !ok {
		t.Fatal("the group is not known")
	}
	return g
}

func (v *vm) member() lead.Member {
	return lead.NewMember(v.name, 1, time.Hour, nil).WithLocation("dc", v.address)
}

// newPair starts a VM and the VM that owns all servers.
func newPair(t *testing.T) (*group, *vm, *vm) {
	g := newServers(t)
	owner, v := g.pair()
	return g, owner, v
}

// pair starts a VM and the VM that owns all servers.
func (g *group) pair() (owner, v *vm) {
	owner, v = g.newVM("owner"), g.newVM("vm")
	for _, each := range []*vm{owner, v} {
		each.pools.SetMembers([]lead.Member{owner.member()}, manyVMs)
	}
	return owner, v
}

// acquire returns a session of v on a server.
func (v *vm) acquire(t *testing.T, server string) pool.Session {
	s, err := v.group(t).Acquire(server, pool.AcquireRequest{Timeout: testTimeout, AnswerWithin: testTimeout, Priority: 1})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func run(s pool.Session, id, text string) (exec.Result, bool, error) {
	return s.Run(testTimeout, 1, exec.NewRun(id, text, point.Point{}))
}

// Guards against forwarded statements that lose the session's values or its prepared statements, or that mix up answers.
func TestStatementsRunThroughTheOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	s := v.acquire(t, "ledger-0")
	defer s.Release()
	g.Expect(s).NotTo(gomega.BeAssignableToTypeOf(&pool.Conn{}))
	g.Expect(s.SetSessionValues(testTimeout, map[string]string{"tone": "red"})).To(gomega.Succeed())
	r, sent, err := run(s, "w1", "WRITE x one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(sent).To(gomega.BeTrue())
	g.Expect(r.Signature()).To(gomega.Equal("ledger-0.signed"))
	g.Expect(r.Point()).To(gomega.Equal(point.New(1, 1)))
	name, err := s.EnsurePrepared(testTimeout, query.NewShape(false, "q1"), func(int) string { return "name of the caller" })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r, _, err = s.Run(testTimeout, 1, exec.NewExecute("e1", name, "x", point.Point{}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Rows()).To(gomega.Equal([]string{"one"}))
	runs := servers.servers.Runs()
	g.Expect(runs).To(gomega.HaveLen(2))
	for _, r := range runs {
		g.Expect(r.SessionValues).To(gomega.Equal("tone=red"))
	}
	g.Expect(runs[1].Prepared).To(gomega.Equal("READ q1"))
	g.Expect(openConns(t, v, "ledger-0")).To(gomega.BeZero(), "the VM itself opened a connection")
	g.Expect(openConns(t, owner, "ledger-0")).To(gomega.Equal(1))
}

// Guards against an owner that runs the forwarded statement of one workspace on the connection of another, or that tells the server the
// name of a VM instead of the workspace.
func TestOwnerKeepsWorkspacesApart(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	_, answered, err := owner.group(t).Status("ledger-0", testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	acquire := func(workspace string) pool.Session {
		s, err := v.group(t).Acquire("ledger-0", pool.AcquireRequest{
			Timeout: testTimeout, AnswerWithin: testTimeout, Priority: 1, Workspace: workspace,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return s
	}
	open := acquire("choir")
	_, _, err = open.Do(testTimeout, exec.NewBegin(false, point.Point{}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, workspace := range []string{"garden", "choir", "garden", "orchard"} {
		s := acquire(workspace)
		_, _, err := run(s, workspace, "READ x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s.Release()
	}
	_, _, err = run(open, "choir", "COMMIT")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	runs := servers.servers.Runs()
	g.Expect(runs).To(gomega.HaveLen(5))
	for _, r := range runs {
		g.Expect(r.Workspace).To(gomega.Equal(r.ID))
	}
	g.Expect(openConns(t, owner, "ledger-0")).To(gomega.Equal(5), "one for status requests, one for the transaction, one for each workspace")
}

// Guards against an owner that keeps to the few connections of one that is not the only owner, although the server has no others, and
// against one that opens all connections of the owner while the server has those of another.
func TestOwnerAsksForTheServersConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, _ := newPair(t)
	limit := func(server string) func() int {
		return func() int {
			p, _ := owner.group(t).Pool(server)
			return p.State().Limit
		}
	}
	const others = 11
	for range others {
		c, err := platform.NewDialer("other").Dial(t.Context(), servers.servers.Server(1).Addr(), "ledger", "ledger-1", "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
	}
	servers.store.Put(platform.ConfigTable, platform.ConfigKey,
		[]byte(`{"version":2,"services":[{"name":"ledger","maxConns":30}],"tenants":[]}`))
	g.Eventually(limit("ledger-0"), 5*time.Second).Should(gomega.Equal(14))
	g.Expect(limit("ledger-1")()).To(gomega.Equal(6))
}

func openConns(t *testing.T, v *vm, server string) int {
	p, ok := v.group(t).Pool(server)
	if !ok {
		t.Fatalf("server %s is not known", server)
	}
	return p.State().Open
}

// Guards against a transaction whose statements run on different connections, and against one that stays open at the owner after
// its VM has given it up or has died.
func TestTransactionsThroughTheOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	begin := func(by *vm) pool.Session {
		s := by.acquire(t, "ledger-0")
		r, _, err := s.Do(testTimeout, exec.NewBegin(false, point.Point{}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.State()).To(gomega.Equal(query.Open))
		return s
	}
	data := func() []string { return servers.servers.Server(0).Data("x") }

	committed := begin(v)
	abandoned := begin(v)
	for s, text := range map[pool.Session]string{committed: "WRITE x one", abandoned: "WRITE x two"} {
		_, _, err := run(s, "w", text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(data()).To(gomega.BeEmpty())
	r, _, err := run(committed, "c", "COMMIT")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.State()).To(gomega.Equal(query.Idle))
	committed.Release()
	g.Expect(data()).To(gomega.Equal([]string{"one"}))
	abandoned.Release()
	g.Eventually(func() int { return owner.owner.Drain(0) }, testTimeout).Should(gomega.BeZero())

	rolledBack := begin(v)
	_, _, err = run(rolledBack, "w", "WRITE x three")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r, _, err = rolledBack.Do(testTimeout, exec.Rollback{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.State()).To(gomega.Equal(query.Idle))
	rolledBack.Release()

	begin(v)
	g.Expect(owner.owner.Drain(0)).To(gomega.Equal(1))
	v.stop()
	g.Eventually(func() int { return owner.owner.Drain(0) }, testTimeout).Should(gomega.BeZero(), "the VM has ended")
	g.Expect(data()).To(gomega.Equal([]string{"one"}))
}

// Guards against a planned stop of the owner that cuts off an open transaction or lets new work hang, and against refused work that
// is reported as possibly run.
func TestStoppingOwnerRefusesNewWork(t *testing.T) {
	g := gomega.NewWithT(t)
	_, owner, v := newPair(t)
	open := v.acquire(t, "ledger-0")
	_, _, err := open.Do(testTimeout, exec.NewBegin(false, point.Point{}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late := v.acquire(t, "ledger-0")
	owner.owner.Stop(drain.NewPlan(time.Now(), time.Hour))
	_, sent, err := run(late, "w1", "WRITE x one")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.ShuttingDown))
	g.Expect(sent).To(gomega.BeFalse())
	direct := v.acquire(t, "ledger-0")
	g.Expect(direct).To(gomega.BeAssignableToTypeOf(&pool.Conn{}), "no other owner is left")
	_, _, err = run(direct, "w2", "WRITE x two")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	direct.Release()
	_, _, err = run(open, "w3", "WRITE x three")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r, _, err := run(open, "c", "COMMIT")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Code()).To(gomega.Equal(result.OK))
	g.Expect(owner.owner.Drain(testTimeout)).To(gomega.BeZero())
}

// Guards against a stopping owner that goes on with transactions until it ends, which cuts off the statement that runs then, and against
// one that refuses their commits, too.
func TestStoppingOwnerEndsTransactions(t *testing.T) {
	const grace = testTimeout
	g := gomega.NewWithT(t)
	_, owner, v := newPair(t)
	var open []pool.Session
	for range 2 {
		s := v.acquire(t, "ledger-0")
		_, _, err := s.Do(testTimeout, exec.NewBegin(false, point.Point{}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		open = append(open, s)
	}
	owner.owner.Stop(drain.NewPlan(time.Now(), grace))
	_, _, err := run(open[0], "w1", "WRITE x one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	owner.clock.Store(int64(grace / 2))
	_, sent, err := run(open[0], "w2", "WRITE x two")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.RolledBack))
	g.Expect(sent).To(gomega.BeFalse())
	r, _, err := open[0].Run(testTimeout, 1, exec.NewCommit("c", "COMMIT"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Code()).To(gomega.Equal(result.OK))
	r, _, err = open[1].Do(testTimeout, exec.Rollback{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.State()).To(gomega.Equal(query.Idle))
	g.Expect(owner.owner.Drain(0)).To(gomega.BeZero())
}

// Guards against a statement that is lost when the owner has died: it was not sent, so it may be sent again.
func TestDeadOwnerIsPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	s := v.acquire(t, "ledger-0")
	owner.stop()
	_, sent, err := run(s, "w1", "WRITE x one")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.PeerUnreachable))
	g.Expect(sent).To(gomega.BeFalse())
	s = v.acquire(t, "ledger-0")
	_, _, err = run(s, "w2", "WRITE x two")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Release()
	g.Expect(servers.servers.Server(0).Data("x")).To(gomega.Equal([]string{"two"}))
}

// Guards against a data centre that counts as unreachable because an owner in it has ended, and against forwarded statements that do
// not show that the owner's data centre can be reached. Only silence says that a path is cut.
func TestPathsLearnFromForwardedStatements(t *testing.T) {
	g := gomega.NewWithT(t)
	_, owner, v := newPair(t)
	_, _, err := run(v.acquire(t, "ledger-0"), "w1", "WRITE x one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(v.paths.answers.Load()).To(gomega.BeEquivalentTo(1))
	s := v.acquire(t, "ledger-0")
	owner.stop()
	_, _, err = run(s, "w2", "WRITE x two")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(v.paths.failures.Load()).To(gomega.BeZero())
}

// Guards against an owner that was suspended and runs a statement whose caller has long been told that its outcome is unknown. The
// owner tells from its clock, which goes on while it is suspended, that the call is too old.
func TestSuspendedOwnerDropsOldCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	s := v.acquire(t, "ledger-0")
	_, _, err := run(s, "w1", "WRITE x one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	owner.clock.Store(int64(time.Hour))
	_, sent, err := run(v.acquire(t, "ledger-0"), "w2", "WRITE x two")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.DeadlineTooClose))
	g.Expect(sent).To(gomega.BeFalse())
	g.Expect(servers.servers.Server(0).Data("x")).To(gomega.Equal([]string{"one"}))
}

// Guards against reads that go to the primary because their VM knows no recent position of it, and against a replica that serves a
// read although it lacks a commit older than the stated age. The owner of the replica finds out the position.
func TestOwnerFindsOutTheRequiredPosition(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, _, v := newPair(t)
	_, _, err := run(v.acquire(t, "ledger-0"), "w1", "WRITE x one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	read := func(age time.Duration) (exec.Result, error) {
		s, err := v.group(t).Acquire("ledger-1", pool.AcquireRequest{
			Timeout: testTimeout, AnswerWithin: testTimeout, Priority: 1, MaxAge: age, ReadOnly: true,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r, _, err := run(s, "r", "READ x")
		return r, err
	}
	time.Sleep(2 * freshPosition) // the read's age is counted from now on
	r, err := read(freshPosition)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Code()).To(gomega.Equal(result.ServerBehind))
	servers.servers.Replicate()
	r, err = read(time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Code()).To(gomega.Equal(result.OK))
	g.Expect(r.Rows()).To(gomega.Equal([]string{"one"}))
}

// Guards against a read that reaches a server which is leaving: it was forwarded before its VM, or the owner, knew so.
func TestOwnerRefusesReadsOnLeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	_, _, err := run(v.acquire(t, "ledger-0"), "w1", "WRITE x one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	servers.servers.Replicate()
	s, err := v.group(t).Acquire("ledger-1", pool.AcquireRequest{
		Timeout: testTimeout, AnswerWithin: testTimeout, Priority: 1, MaxAge: time.Second, ReadOnly: true,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	servers.store.Put(platform.ServerTable, "ledger-1", fmt.Appendf(nil,
		`{"service":"ledger","address":%q,"zone":"dc","slots":2,"state":"draining","dbRole":"replica","born":1}`, servers.servers.Server(1).Addr()))
	g.Eventually(func() bool { return owner.group(t).MayRead("ledger-1") }, testTimeout).Should(gomega.BeFalse())
	_, sent, err := run(s, "r", "READ x")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.NoServer))
	g.Expect(sent).To(gomega.BeFalse())
	g.Expect(servers.servers.Runs()).To(gomega.HaveLen(1))
}

// Guards against loads of servers that are found out by calls of their own, and against a VM that does not learn them from the
// answers to its statements.
func TestLoadsTravelWithAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, _, v := newPair(t)
	const statements = 20
	for n := range statements {
		s := v.acquire(t, "ledger-1")
		_, _, err := run(s, fmt.Sprint("r", n), "READ x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s.Release()
	}
	g.Expect(v.paths.answers.Load()).To(gomega.BeEquivalentTo(statements), "calls to the owner")
	for _, s := range servers.servers.Servers() {
		g.Expect(s.StatusCount()).To(gomega.BeZero(), s.ID())
	}
	known := map[string]bool{}
	for _, s := range v.pools.State()[0].Shares {
		known[s.Server] = s.Reported
		if s.Reported {
			g.Expect(s.Near).To(gomega.Equal(1.0))
			g.Expect(s.ServiceMS).To(gomega.BeNumerically(">", 0))
		}
	}
	g.Expect(known).To(gomega.Equal(map[string]bool{"ledger-0": false, "ledger-1": true}))
}

// Guards against the load of a server as seen by a VM that is not its owner: it knows only a part of the statements.
func TestOnlyTheOwnerReportsLoads(t *testing.T) {
	g := gomega.NewWithT(t)
	_, owner, v := newPair(t)
	owner.pools.SetMembers([]lead.Member{v.member()}, manyVMs)
	s := v.acquire(t, "ledger-1")
	_, _, err := run(s, "r1", "READ x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Release()
	for _, s := range v.pools.State()[0].Shares {
		g.Expect(s.Reported).To(gomega.BeFalse(), s.Server)
	}
}

// Guards against a read that waits in a long queue while another replica has room, and against one that is sent back although it
// may have run.
func TestOwnerSendsReadsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	servers, owner, v := newPair(t)
	servers.servers.Server(1).DropReplies("READ", true)
	first := v.acquire(t, "ledger-1")
	go func() { _, _, _ = first.Run(testTimeout, 1, exec.NewRun("r1", "READ x", point.Point{})) }()
	p, _ := owner.group(t).Pool("ledger-1")
	g.Eventually(func() int { return p.State().Running }, testTimeout).Should(gomega.Equal(1))
	servers.servers.Server(1).DropReplies("READ", false)
	read := func(sendBackAt int) (bool, error) {
		s, err := v.group(t).Acquire("ledger-1", pool.AcquireRequest{
			Timeout: testTimeout, AnswerWithin: testTimeout, Priority: 1, ReadOnly: true, SendBackAt: sendBackAt,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Release()
		_, sent, err := run(s, fmt.Sprint("back at ", sendBackAt), "READ x")
		return sent, err
	}
	sent, err := read(1)
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	g.Expect(result.HasCause(err, pool.ErrSentBack)).To(gomega.BeTrue())
	g.Expect(sent).To(gomega.BeFalse())
	for _, at := range []int{0, 2} {
		_, err = read(at)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "send back at %d", at)
	}
	for _, r := range servers.servers.Runs() {
		g.Expect(r.ID).NotTo(gomega.Equal("back at 1"))
	}
	servers.servers.Server(1).Stop() // ends the first read
}

// Guards against a report that a later version or a faulty VM sends with values that no server can have.
func TestLoadOfAnyValues(t *testing.T) {
	g := gomega.NewWithT(t)
	r := (&load{Statements: math.MaxUint, DemandPercent: math.MaxUint, NearPercent: math.MaxUint, ServiceMicros: math.MaxUint}).report()
	g.Expect(r.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(r.Near()).To(gomega.Equal(1.0))
	g.Expect(r.Service()).To(gomega.BeNumerically(">", 0))
	g.Expect(newLoad(even.NewReport(3, 1.5, 0.25, time.Nanosecond)).report()).To(gomega.Equal(
		even.NewReport(3, 1.5, 0.25, time.Microsecond)))
	g.Expect(newLoad(even.Report{}).report().Known()).To(gomega.BeFalse())
}

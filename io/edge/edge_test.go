package edge_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenagate/core/port"
	"verbenagate/io/edge"
	"verbenagate/io/elect"
	"verbenagate/io/entry"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
	"verbenagate/lab/lines"
	"verbenagate/lab/ports"
	"verbenagate/lab/rows"
	"verbenagate/platform"
)

// waitTimeout bounds each wait for a condition; no result depends on how long a wait takes.
const waitTimeout = 30 * time.Second

// deployment is a set of VMs with stand-ins for the store and the servers, all in one process.
type deployment struct {
	t               *testing.T
	store           *rows.Store
	group           *lines.Group
	vms             map[string]*edge.Edge
	callers         map[string]string // address by VM
	conns           map[string]*caller
	routes          []string
	workspaces      []string // if it is not nil, callers are admitted by key
	version         int
	promoteRequests []rows.PromoteRequest
	metrics         map[string]string         // address by VM
	onPromote       func()                    // called before a promotion, if it is not nil
	promotion       chan struct{}             // of replacePrimary
	slots           int                       // of each server
	syncReplicas    string                    // of the group, in the configuration
	grace           time.Duration             // of VMs that start from now on
	wrap            func(net.Conn) entry.Conn // of the connections of callers to VMs that start from now on
}

type caller struct {
	conn net.Conn
	r    *bufio.Reader
}

// TestScripts runs the scripts in _fixtures against stand-ins for the store and the servers. It guards against sessions that miss
// their own writes or read data that is too old, writes that are repeated, lost or reported with the wrong outcome, session state
// that leaks between callers, and changes of the primary or the configuration that do not take effect.
func TestScripts(t *testing.T) {
	runScripts(t, "_fixtures")
}

// TestKeys runs the scripts in _keys, of deployments that admit callers by key. It guards against callers that are served without a valid
// key, or for a workspace that is not theirs.
func TestKeys(t *testing.T) {
	runScripts(t, "_keys")
}

// TestEras runs the scripts in _eras, in which the store comes back from a copy. It guards against callers that get no answer, a replaced
// primary that is used again, a configuration that goes back and servers that come back from the dead.
func TestEras(t *testing.T) {
	runScripts(t, "_eras")
}

// runScripts runs each script in a directory against a deployment of its own.
func runScripts(t *testing.T, directory string) {
	datadriven.Walk(t, directory, func(t *testing.T, path string) {
		s := newDeployment(t)
		defer s.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.command(d)
		})
	})
}

func newDeployment(t *testing.T) *deployment {
	s := &deployment{
		t: t, vms: make(map[string]*edge.Edge), callers: make(map[string]string), metrics: make(map[string]string), conns: make(map[string]*caller),
		slots: 3, syncReplicas: "0", grace: 2 * time.Second, wrap: func(conn net.Conn) entry.Conn { return platform.NewCallerConn(conn) },
	}
	var err error
	if s.group, err = lines.NewGroup("ledger", 3); err != nil {
		t.Fatal(err)
	}
	s.store, err = rows.Start(func(r rows.PromoteRequest) error {
		s.promoteRequests = append(s.promoteRequests, r)
		if s.onPromote != nil {
			s.onPromote()
		}
		return s.group.Promote(r.ID)
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.group.Servers() {
		s.register(i, "ready")
	}
	s.routes = []string{
		`{"database":"pay","routeKind":"primary","timeoutMs":1500,"service":"ledger"}`,
		`{"database":"own","routeKind":"read_your_writes","maxStalenessMs":2500,"timeoutMs":4000,"service":"ledger"}`,
		`{"database":"old","routeKind":"bounded_stale","maxStalenessMs":4000,"timeoutMs":4000,"service":"ledger"}`,
	}
	s.writeConfig()
	return s
}

func (s *deployment) close() {
	for _, c := range s.conns {
		_ = c.conn.Close()
	}
	for _, vm := range s.vms {
		vm.Stop()
	}
	s.group.Close()
	_ = s.store.Close()
}

func (s *deployment) register(n int, state string) {
	server := s.group.Server(n)
	role := "replica"
	if server.IsLeader() {
		role = "primary"
	}
	s.store.Put("servers", server.ID(), fmt.Appendf(nil,
		`{"service":"ledger","address":%q,"zone":"dc%d","slots":%d,"state":%q,"dbRole":%q,"born":1}`,
		server.Addr(), n, s.slots, state, role))
}

func (s *deployment) writeConfig() {
	s.version++
	workspaces := ""
	if s.workspaces != nil {
		workspaces = fmt.Sprintf(`,"tenants":[%s]`, strings.Join(s.workspaces, ","))
	}
	s.store.Put("op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"ledger","maxConns":40,"syncReplicas":%s}],"limits":{"txIdleMs":2000}%s}`,
		s.version, strings.Join(s.routes, ","), s.syncReplicas, workspaces))
}

// configure writes a new version of the configuration and waits until all VMs have it in force.
func (s *deployment) configure() {
	s.writeConfig()
	for name, vm := range s.vms {
		s.waitFor("new configuration in force at VM "+name, func() bool { return vm.State().Config == uint64(s.version) })
	}
}

func (s *deployment) waitFor(what string, condition func() bool) {
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("the condition %q was not met within %s", what, waitTimeout)
		}
	}
}

// reserveAddress returns an address at which a VM can listen. No other process takes its port before the test ends.
func reserveAddress(t *testing.T) string {
	r, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r.Addr()
}

// startVM starts a VM and waits until it can serve.
func (s *deployment) startVM(name string) string {
	vm := s.launchVM(name)
	s.waitFor("ready with a usable primary: VM "+name, func() bool { return vm.Ready() && s.usablePrimary(vm) != "" })
	return ""
}

func (s *deployment) launchVM(name string) *edge.Edge {
	store := platform.NewStore(s.store.Addr(), s.store.Addr())
	return s.launchVMWith(name, s.adapters(name, store, store))
}

// launchVMWith starts a VM with these adapters.
func (s *deployment) launchVMWith(name string, adapters edge.Adapters) *edge.Edge {
	callers, metrics := reserveAddress(s.t), reserveAddress(s.t)
	text := fmt.Sprintf("vm: %s\ndata_centre: dc0\ncallers: %s\nready: %s\nmetrics: %s\npeers: %s\nstore: %s\norders: %s\ngrace_s: %g\nvms: 3\n",
		name, callers, reserveAddress(s.t), metrics, reserveAddress(s.t), s.store.Addr(), s.store.Addr(), s.grace.Seconds())
	settings, err := edge.Parse("vm.yaml", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	if path := os.Getenv("VERBENAGATE_TEST_LOG"); path != "" {
		if out, err = os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	vm, err := edge.Start(settings, adapters, out)
	if err != nil {
		s.t.Fatal(err)
	}
	s.vms[name], s.callers[name], s.metrics[name] = vm, callers, metrics
	return vm
}

// adapters returns the adapters of a VM that reads and writes rows through r.
func (s *deployment) adapters(vm string, r port.RowStore, store *platform.Store) edge.Adapters {
	return edge.Adapters{
		Rows: r, Eras: store, Orders: store, Dialer: platform.NewDialer(vm),
		Source: watch.Source{
			ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, ServerTable: platform.ServerTable,
			ParseConfig: platform.ParseConfig, ParseServer: platform.ParseServer,
		},
		Wrap:      s.wrap,
		ReadyPath: platform.ReadyPath,
	}
}

// usablePrimary returns the server that the VM may use as the primary.
func (s *deployment) usablePrimary(vm *edge.Edge) string {
	st := vm.State().Elector
	if st.LeaseLeft <= 0 {
		return ""
	}
	for _, g := range st.Groups {
		if g.Group == "ledger" && !g.Moving {
			return g.Server
		}
	}
	return ""
}

func (s *deployment) command(d *datadriven.TestData) string {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	number := func(i int) int { return int(arg(i)[0] - '0') }
	switch d.Cmd {
	case "vm":
		return s.startVM(arg(0))
	case "open":
		key := arg(0)
		d.MaybeScanArgs(s.t, "key", &key)
		return s.open(arg(0), arg(1), arg(2), key, d.Input)
	case "closed":
		return s.readAnswer(s.conns[arg(0)])
	case "send":
		return s.send(arg(0), d.Input)
	case "rows":
		return s.rows(arg(0), d.Input)
	case "close":
		_ = s.conns[arg(0)].conn.Close()
		delete(s.conns, arg(0))
		return ""
	case "replicate":
		if len(d.CmdArgs) > 0 {
			s.group.ReplicateTo(number(0))
		} else {
			s.group.Replicate()
		}
		return ""
	case "sync-replicas":
		s.syncReplicas = arg(0)
		s.writeConfig()
		return ""
	case "row":
		s.store.Put(arg(0), arg(1), []byte(strings.Replace(d.Input, "NESTED", strings.Repeat("[", 60000), 1)))
		return ""
	case "drains":
		s.waitFor("server "+arg(1)+" drains at VM "+arg(0), func() bool { return isDraining(s.vms[arg(0)], s.group.Server(number(1)).ID()) })
		return ""
	case "servers":
		var ids []string
		for _, g := range s.vms[arg(0)].State().Groups {
			for _, p := range g.Pools {
				ids = append(ids, p.Server)
			}
		}
		return strings.Join(ids, " ")
	case "gone":
		s.waitFor("server "+arg(1)+" is not registered at VM "+arg(0), func() bool {
			return !slices.ContainsFunc(s.vms[arg(0)].State().Groups, func(g pool.GroupState) bool {
				return slices.ContainsFunc(g.Pools, func(p pool.State) bool { return p.Server == s.group.Server(number(1)).ID() })
			})
		})
		return ""
	case "held":
		s.waitFor("promotion held back at VM "+arg(0), func() bool {
			return slices.ContainsFunc(s.vms[arg(0)].State().Elector.Groups, func(g elect.GroupState) bool { return g.Held })
		})
		return ""
	case "leads":
		s.waitFor("server "+arg(0)+" leads", s.group.Server(number(0)).IsLeader)
		return ""
	case "stop":
		s.group.Server(number(0)).Stop()
		return ""
	case "restart":
		if err := s.group.Server(number(0)).Restart(); err != nil {
			return err.Error()
		}
		return ""
	case "drop-answers":
		s.group.Server(number(0)).DropReplies(arg(1), arg(2) == "on")
		return ""
	case "partition":
		s.group.Server(number(0)).SetUnreachable(arg(1) == "on")
		return ""
	case "orders":
		return fmt.Sprint(len(s.promoteRequests))
	case "lag":
		s.group.Server(number(0)).SetReportedLag(time.Minute)
		return ""
	case "register":
		s.register(number(0), arg(1))
		return ""
	case "unregister":
		s.store.Remove("servers", s.group.Server(number(0)).ID())
		return ""
	case "store":
		s.store.SetFault(map[string]rows.Fault{
			"up": rows.FaultNone, "down": rows.FaultDown, "lost": rows.FaultReplyLost, "silent": rows.FaultSilent,
		}[arg(0)])
		return ""
	case "recorded":
		want := fmt.Sprintf("%q", s.group.Server(number(0)).ID())
		s.waitFor("server "+arg(0)+" is the primary in the store", func() bool {
			value, _ := s.store.Value(elect.LeadTable, "group/ledger")
			return bytes.Contains(value, []byte(`"server":`+want))
		})
		return ""
	case "listed":
		s.waitFor("server "+arg(1)+" is registered at VM "+arg(0), func() bool {
			return slices.ContainsFunc(s.vms[arg(0)].State().Groups, func(g pool.GroupState) bool {
				return slices.ContainsFunc(g.Pools, func(p pool.State) bool { return p.Server == s.group.Server(number(1)).ID() })
			})
		})
		return ""
	case "backup":
		s.store.Backup()
		return ""
	case "restore":
		s.store.Restore()
		return ""
	case "drop-history":
		s.store.DropHistory()
		return ""
	case "leader":
		s.waitFor("server "+arg(1)+" is the primary at VM "+arg(0), func() bool {
			return s.usablePrimary(s.vms[arg(0)]) == s.group.Server(number(1)).ID()
		})
		return ""
	case "data":
		return strings.Join(s.group.Server(number(0)).Data(arg(1)), " ")
	case "runs":
		return s.sessionStates(arg(0))
	case "routes":
		s.routes = strings.Split(strings.TrimSpace(d.Input), "\n")
		if d.Input == "" {
			s.routes = nil
		}
		s.configure()
		return ""
	case "workspaces":
		s.workspaces = strings.Split(strings.TrimSpace(d.Input), "\n")
		s.configure()
		return ""
	case "workspaces-of":
		return s.workspacesOf(d.CmdArgs)
	case "silent-vm":
		// The lease of a VM that confirms nothing any more.
		lease, err := time.ParseDuration(arg(1))
		if err != nil {
			return err.Error()
		}
		s.store.Put("verbenagate-vms", arg(0), fmt.Appendf(nil,
			`{"vms":[{"name":%q,"epoch":0,"until_ms":%d}]}`, arg(0), (s.store.Clock()+lease).Milliseconds()))
		return ""
	case "wait":
		d, err := time.ParseDuration(arg(0))
		if err != nil {
			return err.Error()
		}
		time.Sleep(d)
		return ""
	case "moving":
		s.waitFor("primary being replaced at VM "+arg(0), func() bool {
			st := s.vms[arg(0)].State().Elector
			return slices.ContainsFunc(st.Groups, func(g elect.GroupState) bool { return g.Moving })
		})
		return ""
	case "lease-lost":
		s.waitFor("lease expired", func() bool { return s.vms[arg(0)].State().Elector.LeaseLeft <= 0 })
		return fmt.Sprint("ready ", s.vms[arg(0)].Ready())
	case "tokens":
		return s.checkTokens()
	case "stop-vm":
		s.vms[arg(0)].Stop()
		delete(s.vms, arg(0))
		return ""
	}
	s.t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// checkTokens reports whether the fencing tokens of the promotion requests grow, as the platform requires when the VM that sends
// them changes.
func (s *deployment) checkTokens() string {
	for i := 1; i < len(s.promoteRequests); i++ {
		if s.promoteRequests[i].Holder != s.promoteRequests[i-1].Holder && s.promoteRequests[i].Token <= s.promoteRequests[i-1].Token {
			return fmt.Sprint("not growing: ", s.promoteRequests)
		}
	}
	return "growing"
}

// sessionStates returns the server and the session state of each execution of the statement id.
func (s *deployment) sessionStates(id string) string {
	var out strings.Builder
	for _, r := range s.group.Runs() {
		if r.ID == id {
			fmt.Fprintf(&out, "%s values=%q shape=%q\n", r.Server, r.SessionValues, r.Prepared)
		}
	}
	return out.String()
}

// workspacesOf returns for whom the connections were opened on which servers ran these statements.
func (s *deployment) workspacesOf(ids []datadriven.CmdArg) string {
	var out strings.Builder
	for _, id := range ids {
		for _, r := range s.group.Runs() {
			if r.ID == id.Key {
				fmt.Fprintf(&out, "%s %s\n", r.ID, r.Workspace)
			}
		}
	}
	return out.String()
}

// open opens a session. It sends the requests in the same write as the request to start the session, so that the session is never
// idle before them, and returns the answers, one on each line.
func (s *deployment) open(name, vm, database, key, requests string) string {
	conn, err := net.Dial("tcp4", s.callers[vm])
	if err != nil {
		return "error: " + err.Error()
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	c := &caller{conn: conn, r: bufio.NewReader(conn)}
	s.conns[name] = c
	text := fmt.Sprintf("START %s %s\r\n", database, key)
	var queries int
	for l := range strings.Lines(requests) {
		text += fmt.Sprintf("QUERY %s\r\n", strings.TrimRight(l, "\n"))
		queries++
	}
	_, _ = fmt.Fprint(conn, text)
	out := s.readAnswer(c)
	for range queries {
		out += "\n" + s.readAnswer(c)
	}
	return out
}

// send sends each line "ID TEXT" as a request, and returns the answers, one on each line. The id "-" stands for none.
func (s *deployment) send(name, input string) string {
	c := s.conns[name]
	_ = c.conn.SetDeadline(time.Now().Add(waitTimeout))
	var out strings.Builder
	for l := range strings.Lines(input) {
		_, _ = fmt.Fprintf(c.conn, "QUERY %s\r\n", strings.TrimRight(l, "\n"))
		out.WriteString(s.readAnswer(c) + "\n")
	}
	return out.String()
}

// rows sends requests as send does, and returns the rows of the answers. It is for reads that any server of the group may serve. An answer
// that no server has signed is returned whole.
func (s *deployment) rows(name, input string) string {
	var out strings.Builder
	for l := range strings.Lines(s.send(name, input)) {
		row, rest, _ := strings.Cut(strings.TrimRight(l, "\n"), ", ")
		if server, signed := strings.CutSuffix(strings.TrimPrefix(rest, "DONE "), ".signed, I"); !signed || !strings.HasPrefix(server, "ledger-") {
			row = l
		}
		out.WriteString(strings.TrimRight(row, "\n") + "\n")
	}
	return out.String()
}

// readAnswer reads an answer and returns it on one line. It leaves out the text of an error, which contains times and addresses.
func (s *deployment) readAnswer(c *caller) string { return readAnswerOf(c) }

// readAnswerOf reads an answer up to its end, and returns it in one line.
func readAnswerOf(c *caller) string {
	var parts []string
	for {
		l, err := c.r.ReadString('\n')
		if err != nil {
			return strings.Join(append(parts, "closed"), ", ")
		}
		l = strings.TrimRight(l, "\r\n")
		f := strings.Fields(l)
		switch f[0] {
		case "READY":
			return strings.Join(append(parts, f[1]), ", ")
		case "ERR":
			parts = append(parts, f[0]+" "+f[1])
		default:
			parts = append(parts, l)
		}
	}
}

// Guards against a graceful shutdown that ends an open transaction before half of the grace period is over.
func TestStopLeavesTransactionsTheirTime(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	s.startVM("a")
	s.open("c", "a", "pay", "key", "")
	if got := s.send("c", "- BEGIN\nw1 WRITE x one"); !strings.HasSuffix(got, "T\n") {
		t.Fatalf("the transaction is not open: %s", got)
	}
	began := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.command(&datadriven.TestData{Cmd: "stop-vm", CmdArgs: []datadriven.CmdArg{{Key: "a"}}})
	}()
	defer func() { <-stopped }()
	if got := s.readAnswer(s.conns["c"]); got != "closed" {
		t.Fatalf("got the answer %q, want a closed connection", got)
	}
	if half := time.Second; time.Since(began) < half {
		t.Fatalf("the transaction was ended after %s, before %s", time.Since(began), half)
	}
}

// Guards against a VM that answers "unknown database" before it has read a configuration, for example when all VMs have been
// started at the same time. A caller takes that answer as final.
func TestSessionBeforeFirstConfiguration(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	s.store.SetFault(rows.FaultDown)
	s.launchVM("a")
	if got := s.open("early", "a", "pay", "key", ""); got != "closed" {
		t.Fatalf("a session without a configuration was answered with %q", got)
	}
	opened := make(chan string)
	go func() {
		got := "closed"
		for end := time.Now().Add(waitTimeout); got == "closed" && time.Now().Before(end); {
			got = s.open("late", "a", "pay", "key", "")
		}
		opened <- got
	}()
	s.store.SetFault(rows.FaultNone)
	if got := <-opened; got != "I" {
		t.Fatalf("a session opened while the configuration was read was answered with %q", got)
	}
}

// Guards against a state dump that cannot be encoded as JSON or lacks the keys that an engineer searches for.
func TestStateDump(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	s.startVM("a")
	text, err := json.Marshal(s.vms["a"].State())
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"server":"ledger-0"`, `"lease_left"`, `"config":1`, `"limit"`, `"apart":false`, `"agents"`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the dump lacks %s: %s", want, text)
		}
	}
}

// Guards against a VM that notices only after 22 s that the store's answer to a call that waits for changes was lost. It then keeps
// an old configuration, and sends work to servers that drain. The bound is the time until a VM counts as undisturbed again, 4 s,
// and that in which a configuration must be in force, 3 s.
func TestLostAnswerToCallForChanges(t *testing.T) {
	const bound = 7 * time.Second
	s := newDeployment(t)
	defer s.close()
	s.startVM("a")
	s.startVM("b")
	time.Sleep(500 * time.Millisecond) // The calls for changes are under way.
	s.store.SetFault(rows.FaultSilent)
	time.Sleep(500 * time.Millisecond)
	s.store.SetFault(rows.FaultNone)
	recovered := time.Now()
	s.writeConfig()
	s.register(1, "draining")
	for name, vm := range s.vms {
		s.waitFor("new configuration in force at VM "+name, func() bool { return vm.State().Config == uint64(s.version) })
		s.waitFor("server known to be draining at VM "+name, func() bool { return isDraining(vm, s.group.Server(1).ID()) })
	}
	if took := time.Since(recovered); took > bound {
		t.Errorf("the VMs noticed the changes after %s, bound %s", took, bound)
	}
}

// isDraining reports whether a server drains according to vm.
func isDraining(vm *edge.Edge, server string) bool {
	for _, g := range vm.State().Groups {
		for _, p := range g.Pools {
			if p.Server == server {
				return p.Draining
			}
		}
	}
	return false
}

// Guards against callers that roll back and leave with an answer unread, and take a connection to the primary with them for good.
func TestCallersThatLeaveAfterRollback(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	s.startVM("a")
	const callers = 20 // more than the VM's share of the primary's connections
	for i := range callers {
		name := fmt.Sprint("leaver", i)
		s.open(name, "a", "pay", "key", "")
		if got := s.send(name, "- BEGIN\nw WRITE x one"); got != "DONE -, T\nDONE ledger-0.signed, T\n" {
			t.Fatalf("caller %d: the transaction did not start: %s", i, got)
		}
		c := s.conns[name].conn
		_, _ = fmt.Fprint(c, "QUERY r READ x\r\n")
		time.Sleep(50 * time.Millisecond) // The answer arrives and is not read, so that closing resets the connection.
		_, _ = fmt.Fprint(c, "QUERY - ROLLBACK\r\n")
		_ = c.Close()
		delete(s.conns, name)
	}
	s.waitFor("all connections to the primary idle", func() bool {
		for _, p := range s.vms["a"].State().Groups[0].Pools {
			if p.Open != p.Idle {
				return false
			}
		}
		return true
	})
	s.waitFor("no use of the primary", func() bool { return s.vms["a"].State().Elector.Groups[0].Users == 0 })
}

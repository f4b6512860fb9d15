package admin_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	operatorspb "verbenagate/io/admin/gen/grpc/operators/pb"
	"verbenagate/io/logs"
	"verbenagate/io/revlog"
	"verbenagate/io/scram"
)

// fakeControl is a Control that keeps the configuration in memory. beforeChange, if set, runs before each change.
type fakeControl struct {
	mu           sync.Mutex
	catalog      svcdef.Catalog
	routeSwitch  string
	beforeChange func(context.Context) error
	drained      []string
}

func (v *fakeControl) Catalog(context.Context) (svcdef.Catalog, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.catalog, nil
}

func (v *fakeControl) History(_ context.Context, service string) ([]svcdef.Revision, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.catalog.History(service), nil
}

func (v *fakeControl) Change(ctx context.Context, baseRevision uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.beforeChange != nil {
		if err := v.beforeChange(ctx); err != nil {
			return svcdef.Revision{}, err
		}
	}
	if baseRevision != v.catalog.Revision() {
		return svcdef.Revision{}, revlog.Conflict(baseRevision, v.catalog.Revision())
	}
	if bad := svcdef.Errors(v.catalog.Check(rev)); len(bad) > 0 {
		return svcdef.Revision{}, revlog.Invalid(bad)
	}
	rev = rev.WithNumber(baseRevision+1, "attempt")
	var err error
	v.catalog, err = v.catalog.Apply(rev)
	return rev, err
}

func (v *fakeControl) VMs(context.Context) ([]admin.VM, error) {
	return []admin.VM{{ID: "b1", State: "live"}, {
		ID: "a1", DataCentre: "a", PeerAddress: "10.0.0.1:1", State: "live",
		Revision: 3, Self: true,
	}}, nil
}

func (v *fakeControl) Drain(_ context.Context, id string) error {
	if id != "a1" {
		return result.New(result.NotFound, "VM %q is not known", id)
	}
	v.drained = append(v.drained, id)
	return nil
}

func (v *fakeControl) LogLevels(context.Context) (string, map[string]logs.Switch) {
	return "info", map[string]logs.Switch{"caller": logs.SwitchDefault, "route": logs.Switch(v.routeSwitch)}
}

func (v *fakeControl) SetLogLevel(_ context.Context, layer, level string) error {
	if err := logs.CheckSwitch(layer, logs.Switch(level)); err != nil {
		return result.New(result.InvalidConfig, "%v", err)
	}
	v.routeSwitch = level
	return nil
}

func (v *fakeControl) Dump(context.Context) (admin.Dump, error) {
	return admin.Dump{
		VM: "a1", OwnedServers: []string{"10.0.0.9:1"}, Started: time.UnixMilli(5).UTC(),
		State: []byte(`{"vm":"a1"}`),
	}, nil
}

func listenAndDial(g Gomega, v *fakeControl, log logs.Logger) (*admin.Client, *admin.Server) {
	srv, err := admin.Listen(context.Background(), "127.0.0.1:0", v, log)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := admin.Dial(srv.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	return c, srv
}

func plotsSpec() svcdef.Spec {
	verifier, _ := scram.Verifier("gate-7")
	return svcdef.Spec{
		Name: "plots", Database: "plots", Ack: svcdef.AckQuorum, Timeout: time.Minute, MaxWait: 2 * time.Second,
		Login:      svcdef.LoginSpec{User: "gate", Password: "hidden"},
		Servers:    []svcdef.ServerSpec{{Address: "10.1.0.1:5432", DataCentre: "a", Slots: 5, Connections: 35}},
		Callers:    []svcdef.CallerSpec{{User: "clerk", Verifier: verifier}},
		StaleReads: []svcdef.StaleReadSpec{{User: "clerk", Table: "t", Statement: "s", MaxAge: time.Second}},
		Once:       []svcdef.OnceRuleSpec{{Statement: "insert", Key: []int{1, 3}, Keep: time.Hour}},
	}
}

func ExampleClient() {
	srv, err := admin.Listen(context.Background(), "127.0.0.1:0", &fakeControl{}, logs.Nop())
	if err != nil {
		panic(err)
	}
	defer srv.Close()
	c, err := admin.Dial(srv.Addr().String())
	if err != nil {
		panic(err)
	}
	defer c.Close()
	rev, _, err := c.Apply(context.Background(), plotsSpec(), 0, "ann")
	fmt.Println(rev.Number(), err)
	_, err = c.Remove(context.Background(), "plots", 0, "ben")
	current, _ := revlog.CurrentRevision(err)
	fmt.Println(result.CodeOf(err), current)
	// Output:
	// 1 <nil>
	// revision_conflict 1
}

// Guards against fields that are lost on the way to the VM or back, secrets in responses, and calls that are not logged.
func TestCalls(t *testing.T) {
	g := NewWithT(t)
	v, log := &fakeControl{}, &logs.Recorder{}
	c, srv := listenAndDial(g, v, log)
	defer srv.Close()
	defer c.Close()
	spec := plotsSpec()
	spec.Servers = append(spec.Servers, svcdef.ServerSpec{Address: "10.1.0.2:5432", DataCentre: "b", Slots: 1, Connections: 5})
	rev, warnings, err := c.Apply(t.Context(), spec, 0, "ann")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(warnings).To(ConsistOf(HaveField("Path()", "servers")))
	g.Expect([]any{rev.Number(), rev.Author(), rev.Removal()}).To(Equal([]any{uint64(1), "ann", false}))
	stored, _ := v.catalog.Service("plots")
	g.Expect(stored.Spec()).To(Equal(spec))

	state, current, err := c.Get(t.Context(), "plots")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state).To(Equal(admin.ServiceState{Revision: 1, Spec: spec.Masked()}))
	g.Expect(current).To(Equal(uint64(1)))
	_, _, err = c.Get(t.Context(), "maps")
	g.Expect(result.CodeOf(err)).To(Equal(result.NotFound))
	all, _, err := c.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(Equal([]admin.ServiceState{state}))

	_, err = c.Remove(t.Context(), "plots", 1, "ben")
	g.Expect(err).NotTo(HaveOccurred())
	revs, err := c.History(t.Context(), "plots")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revs).To(HaveLen(2))
	g.Expect(fmt.Sprintf("%+v", revs)).NotTo(Or(ContainSubstring("hidden"), ContainSubstring("SCRAM")))
	g.Expect(revs[1].Removal()).To(BeTrue())

	vms, err := c.VMs(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	sent, _ := v.VMs(t.Context())
	g.Expect(vms).To(Equal([]admin.VM{sent[1], sent[0]}))
	g.Expect(c.Drain(t.Context(), "a1")).To(Succeed())
	g.Expect(v.drained).To(Equal([]string{"a1"}))
	g.Expect(result.CodeOf(c.Drain(t.Context(), "z9"))).To(Equal(result.NotFound))
	d, err := c.Dump(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	sentDump, _ := v.Dump(t.Context())
	g.Expect(d).To(Equal(sentDump))
	g.Expect(log.Events()).To(And(HaveLen(10), HaveEach(event.AdminCall)))
}

// Guards against an error that reaches the client without its code, the current revision or some of the problems.
func TestErrorsCarryCodes(t *testing.T) {
	g := NewWithT(t)
	v := &fakeControl{}
	c, srv := listenAndDial(g, v, logs.Nop())
	defer srv.Close()
	defer c.Close()
	bad := plotsSpec()
	bad.Database, bad.Servers[0].Slots = "", math.MaxInt64
	_, _, err := c.Apply(t.Context(), bad, 0, "ann")
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	g.Expect(revlog.Problems(err)).To(HaveLen(2))
	g.Expect(result.Message(err)).To(ContainSubstring("database: is required"))
	_, _, err = c.Apply(t.Context(), plotsSpec(), 8, "ann")
	current, ok := revlog.CurrentRevision(err)
	g.Expect(result.CodeOf(err)).To(Equal(result.RevisionConflict))
	g.Expect([]any{current, ok}).To(Equal([]any{uint64(0), true}))
	for _, code := range []result.Code{result.StoreUnavailable, result.AnswerLost, result.StoreOlder, result.Internal} {
		v.beforeChange = func(context.Context) error { return result.New(code, "cause %d", code) }
		_, _, err = c.Apply(t.Context(), plotsSpec(), 0, "ann")
		g.Expect(result.CodeOf(err)).To(Equal(code))
		g.Expect(result.Message(err)).To(ContainSubstring(fmt.Sprintf("cause %d", code)))
	}
}

// Guards against a change that is reported as not run although only its response was lost, and against one that is
// reported as unknown although there was no connection.
func TestLostConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	c, err := admin.Dial(address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, _, err = c.Apply(t.Context(), plotsSpec(), 0, "ann")
	g.Expect(result.CodeOf(err)).To(Equal(result.ConnectFailed))

	ctx, cancel := context.WithCancel(t.Context())
	v := &fakeControl{beforeChange: func(call context.Context) error {
		cancel()
		<-call.Done()
		return nil
	}}
	c, srv := listenAndDial(g, v, logs.Nop())
	defer srv.Close()
	defer c.Close()
	_, _, err = c.Apply(ctx, plotsSpec(), 0, "ann")
	g.Expect(result.CodeOf(err)).To(Equal(result.AnswerLost))
}

// Guards against a panic in the VM when an operator's own client sends a message without required parts.
func TestIncompleteMessage(t *testing.T) {
	g := NewWithT(t)
	_, srv := listenAndDial(g, &fakeControl{}, logs.Nop())
	defer srv.Close()
	conn, err := grpc.NewClient("passthrough:///"+srv.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	raw := operatorspb.NewOperatorsClient(conn)
	for _, req := range []*operatorspb.ApplyServiceRequest{
		{},
		{Spec: &operatorspb.Spec{}},
		{Spec: &operatorspb.Spec{Login: &operatorspb.Login{}}},
		{Spec: &operatorspb.Spec{Login: &operatorspb.Login{}, Servers: []*operatorspb.Server{{}}}},
	} {
		_, err := raw.ApplyService(t.Context(), req)
		g.Expect(status.Code(err)).To(BeElementOf(codes.InvalidArgument, codes.FailedPrecondition))
	}
}

// Guards against a log level that does not change, and against a change to a layer that does not exist.
func TestLogLevels(t *testing.T) {
	g := NewWithT(t)
	c, srv := listenAndDial(g, &fakeControl{routeSwitch: "default"}, logs.Nop())
	defer srv.Close()
	defer c.Close()
	g.Expect(c.SetLogLevel(t.Context(), "route", "debug")).To(Succeed())
	level, layers, err := c.LogLevels(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(level).To(Equal("info"))
	g.Expect(layers).To(Equal(map[string]logs.Switch{"caller": "default", "route": "debug"}))
	g.Expect(result.CodeOf(c.SetLogLevel(t.Context(), "nosuch", "debug"))).To(Equal(result.InvalidConfig))
}

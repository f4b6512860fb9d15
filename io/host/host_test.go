package host

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/failov"
	"verbenagate/core/once"
	"verbenagate/core/port"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/group"
	"verbenagate/lab/server"
)

var errDown = errors.New("server is down")

// deadServer is a group.Server that does not answer.
type deadServer struct{}

func (deadServer) Status(context.Context) (port.Status, error) { return port.Status{}, errDown }
func (deadServer) Promote(context.Context, uint64) (port.Status, error) {
	return port.Status{}, errDown
}

func (deadServer) Follow(context.Context, uint64, string) (port.Status, error) {
	return port.Status{}, errDown
}
func (deadServer) Close() {}

// Guards against a drain timeout that cuts off a unit which is still within the time limit of its service.
func TestDrainLastsAsLongAsUnits(t *testing.T) {
	g := gomega.NewWithT(t)
	minutes := svcdef.New(svcdef.Spec{Timeout: 5 * time.Minute})
	g.Expect(drainTimeout(minutes)).To(gomega.BeNumerically(">=", minutes.Timeout()))
	g.Expect(drainTimeout(svcdef.New(svcdef.Spec{Timeout: time.Second}))).To(gomega.Equal(minDrainTimeout))
}

// Guards against transactions that continue after the time limit of a shutdown.
func TestCloseEndsDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	db, err := server.New(server.Config{User: "vg", Password: "secret", Primary: true, Term: 1, Slots: 3, MaxConnections: 35})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(db.Close)
	h := newHost()
	spec := svcdef.Spec{
		Name: "dues", Database: "db", Login: svcdef.LoginSpec{User: "vg", Password: "secret"}, Timeout: 24 * time.Hour,
		Servers: []svcdef.ServerSpec{{Address: db.Addr(), DataCentre: "east", Slots: 3, Connections: 35}},
	}
	h.Assign([]svcdef.Service{svcdef.New(spec)}, singleVM{})
	begin := work.Unit{Service: "dues", Server: db.Addr(), Caller: "ann", Class: stmt.Begin, Remaining: time.Minute}
	begin.Frames, err = (&pgproto3.Query{String: "BEGIN"}).Encode(nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	st, err := h.Open(begin)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f := st.Run(context.Background(), begin, func([]byte) error { return nil })
	g.Expect(f.Status).To(gomega.Equal(work.TxActive), f.Message)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.Close(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.wg.Wait()
	}()
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
}

// singleVM is a membership view of a deployment with one VM.
type singleVM struct{}

func (singleVM) Live() []string         { return []string{"vm1"} }
func (singleVM) LiveIn(string) []string { return []string{"vm1"} }

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

func newHost() *Host {
	return New(Config{
		VM: "vm1", Settings: group.Settings{Interval: time.Second, StatusTimeout: time.Second}, Now: time.Now, Logger: discardLogger{},
		Dial:            func(svcdef.Service, string) group.Server { return deadServer{} },
		IsRefused:       func(error) bool { return false },
		PeerAssessments: func(context.Context, svcdef.Service, []string) []failov.Health { return nil },
		Once:            func(svcdef.Service) *once.Rules { return nil },
	})
}

// Guards against a changed max_wait that does not take effect on servers which their owner already runs.
func TestMaxWaitChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHost()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	defer h.Close(ctx)
	spec := svcdef.Spec{Name: "dues", Servers: []svcdef.ServerSpec{
		{Address: "127.0.0.1:1", DataCentre: "east", Slots: 3, Connections: 35},
	}}
	live := singleVM{}
	h.Assign([]svcdef.Service{svcdef.New(spec)}, live)
	g.Expect(h.State()[0].Owned[0].MaxWait).To(gomega.Equal(time.Second))
	server := h.hosted["dues"].servers["127.0.0.1:1"]
	spec.MaxWait = 7 * time.Second
	h.Assign([]svcdef.Service{svcdef.New(spec)}, live)
	g.Expect(h.State()[0].Owned[0].MaxWait).To(gomega.Equal(spec.MaxWait))
	g.Expect(h.hosted["dues"].servers["127.0.0.1:1"]).To(gomega.BeIdenticalTo(server), "the connections are kept")
}

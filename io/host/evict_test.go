package host

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/owner"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/group"
)

// evictor is the control of a server that notes the VMs whose connections it is asked to end.
type evictor struct {
	deadServer
	mu      sync.Mutex
	asked   []string
	answers []error // of the first requests; the others succeed
}

func (e *evictor) Evict(_ context.Context, vm string) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, vm)
	if n := len(e.asked); n <= len(e.answers) {
		return 0, e.answers[n-1]
	}
	return 3, nil
}

func (e *evictor) vms() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.asked...)
}

var _ port.Evictor = (*evictor)(nil)

// couple is a view of vm1 and vm2, which is in the given state.
type couple struct{ state string }

func (c couple) Live() []string {
	if c.state == "live" {
		return []string{"vm1", "vm2"}
	}
	return []string{"vm1"}
}
func (c couple) LiveIn(string) []string   { return c.Live() }
func (c couple) IsSuspect(id string) bool { return id == "vm2" && c.state == "suspect" }
func (c couple) IsDead(id string) bool    { return id == "vm2" && c.state == "dead" }

// serviceOf returns a service with a server that vm2 owns as long as it is live.
func serviceOf(t *testing.T) svcdef.Service {
	for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"} {
		if id, _ := owner.Of(a, "east", couple{"live"}); id == "vm2" {
			return svcdef.New(svcdef.Spec{Name: "dues", Timeout: time.Second, Servers: []svcdef.ServerSpec{
				{Address: a, DataCentre: "east", Slots: 3, Connections: 35},
			}})
		}
	}
	t.Fatal("vm2 owns none of the servers")
	return svcdef.Service{}
}

// Guards against the locks of a dead VM that stay on the server, and against ending what a VM has in progress that is live,
// leaves, or is suspect only.
func TestConnectionsOfDeadVMEnd(t *testing.T) {
	unreachable := result.New(result.ConnectFailed, "no answer")
	refused := result.New(result.StatementFailed, "must be a superuser")
	for _, c := range []struct {
		name    string
		states  []string // of vm2, one after the other
		answers []error
		want    []string
	}{
		{"dead", []string{"live", "suspect", "dead"}, nil, []string{"vm2"}},
		{"dead at once", []string{"live", "dead"}, nil, []string{"vm2"}},
		{"no answer at first", []string{"live", "suspect", "dead"}, []error{unreachable}, []string{"vm2", "vm2"}},
		{"refused", []string{"live", "suspect", "dead"}, []error{refused}, []string{"vm2"}},
		{"leaving", []string{"live", "leaving"}, nil, nil},
		{"back before it is dead", []string{"live", "suspect", "live", "dead"}, nil, []string{"vm2"}},
		{"not known before", []string{"dead"}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := &evictor{answers: c.answers}
			h := newHost()
			h.cfg.Dial = func(svcdef.Service, string) group.Server { return server }
			svc := serviceOf(t)
			for i, state := range c.states {
				h.Assign([]svcdef.Service{svc}, couple{state})
				if i < len(c.states)-1 {
					g.Expect(server.vms()).To(gomega.BeEmpty(), state)
				}
			}
			g.Eventually(server.vms, 10*time.Second).Should(gomega.HaveLen(len(c.want)))
			h.Close(canceled())
			h.wg.Wait()
			g.Expect(server.vms()).To(gomega.HaveLen(len(c.want)), "once is enough")
		})
	}
}

// Guards against a server that is dialled without end because it is lost together with the VM.
func TestEvictionGivesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &evictor{}
	for range 10 * evictTries {
		server.answers = append(server.answers, result.New(result.ConnectFailed, "no answer"))
	}
	h := newHost()
	h.cfg.Dial = func(svcdef.Service, string) group.Server { return server }
	svc := serviceOf(t)
	h.Assign([]svcdef.Service{svc}, couple{"dead"}) // without a former owner
	h.evict(h.hosted["dues"], svc.Servers()[0].Address(), "vm2", time.Microsecond)
	g.Expect(server.vms()).To(gomega.HaveLen(evictTries))
	h.Close(canceled())
	h.wg.Wait()
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

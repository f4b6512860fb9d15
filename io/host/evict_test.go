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

// evictor is a group.Server that records the VMs whose connections it is asked to end.
type evictor struct {
	deadServer
	mu           sync.Mutex
	requestedVMs []string
	answers      []error // errors of the first requests; later ones succeed
}

func (e *evictor) Evict(_ context.Context, vm string) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestedVMs = append(e.requestedVMs, vm)
	if n := len(e.requestedVMs); n <= len(e.answers) {
		return 0, e.answers[n-1]
	}
	return 3, nil
}

func (e *evictor) requested() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.requestedVMs...)
}

var _ port.Evictor = (*evictor)(nil)

// twoVMs is a membership view of vm1, which is live, and vm2, which is in the given state.
type twoVMs struct{ state string }

func (c twoVMs) Live() []string {
	if c.state == "live" {
		return []string{"vm1", "vm2"}
	}
	return []string{"vm1"}
}
func (c twoVMs) LiveIn(string) []string   { return c.Live() }
func (c twoVMs) IsSuspect(id string) bool { return id == "vm2" && c.state == "suspect" }
func (c twoVMs) IsDead(id string) bool    { return id == "vm2" && c.state == "dead" }

// serviceOwnedByVM2 returns a service with a server that vm2 owns as long as it is live.
func serviceOwnedByVM2(t *testing.T) svcdef.Service {
	for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"} {
		if id, _ := owner.Of(a, "east", twoVMs{"live"}); id == "vm2" {
			return svcdef.New(svcdef.Spec{Name: "dues", Timeout: time.Second, Servers: []svcdef.ServerSpec{
				{Address: a, DataCentre: "east", Slots: 3, Connections: 35},
			}})
		}
	}
	t.Fatal("vm2 owns none of the servers")
	return svcdef.Service{}
}

// Guards against locks of a dead VM that stay on the server, and against ending the transactions of a VM that is live, leaving
// or only suspect.
func TestConnectionsOfDeadVMEnd(t *testing.T) {
	unreachable := result.New(result.ConnectFailed, "no answer")
	refused := result.New(result.StatementFailed, "must be a superuser")
	for _, c := range []struct {
		name    string
		states  []string // successive states of vm2
		answers []error
		want    []string
	}{
		{"dead", []string{"live", "suspect", "dead"}, nil, []string{"vm2"}},
		{"dead at once", []string{"live", "dead"}, nil, []string{"vm2"}},
		{"server does not answer at first", []string{"live", "suspect", "dead"}, []error{unreachable}, []string{"vm2", "vm2"}},
		{"server refuses", []string{"live", "suspect", "dead"}, []error{refused}, []string{"vm2"}},
		{"leaving", []string{"live", "leaving"}, nil, nil},
		{"live again before it counts as dead", []string{"live", "suspect", "live", "dead"}, nil, []string{"vm2"}},
		{"no earlier view", []string{"dead"}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := &evictor{answers: c.answers}
			h := newHost()
			h.cfg.Dial = func(svcdef.Service, string) group.Server { return server }
			svc := serviceOwnedByVM2(t)
			for i, state := range c.states {
				h.Assign([]svcdef.Service{svc}, twoVMs{state})
				if i < len(c.states)-1 {
					g.Expect(server.requested()).To(gomega.BeEmpty(), state)
				}
			}
			g.Eventually(server.requested, 10*time.Second).Should(gomega.HaveLen(len(c.want)))
			h.Close(canceledContext())
			h.wg.Wait()
			g.Expect(server.requested()).To(gomega.HaveLen(len(c.want)), "no further request")
		})
	}
}

// Guards against a server that is dialled without end because it was lost together with the VM.
func TestEvictionGivesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &evictor{}
	for range 10 * maxEvictAttempts {
		server.answers = append(server.answers, result.New(result.ConnectFailed, "no answer"))
	}
	h := newHost()
	h.cfg.Dial = func(svcdef.Service, string) group.Server { return server }
	svc := serviceOwnedByVM2(t)
	h.Assign([]svcdef.Service{svc}, twoVMs{"dead"}) // there is no former owner to evict
	h.evictWhenDead(h.hosted["dues"], svc.Servers()[0].Address(), "vm2", time.Microsecond)
	g.Expect(server.requested()).To(gomega.HaveLen(maxEvictAttempts))
	h.Close(canceledContext())
	h.wg.Wait()
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

package caller_test

import (
	"context"
	"fmt"
	"net"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/parse"
)

// offline is a backend whose servers are all unreachable.
type offline struct{}

func (offline) Service(name string) (svcdef.Service, bool) {
	return svcdef.New(svcdef.Spec{Name: name}), name == "plots"
}

func (offline) Open(context.Context, string, string) (caller.Session, error) { return offline{}, nil }
func (offline) ForwardCancel(uint32, []byte)                                 {}
func (offline) Err() error                                                   { return nil }
func (offline) Cancel()                                                      {}
func (offline) Close()                                                       {}

func (offline) Run(context.Context, caller.Request, work.Sink) work.Final {
	return work.FinalFromError(result.New(result.NoServer, "no server can be reached"))
}

func Example() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	s := caller.New(ln, offline{}, parse.New(), "vm-1", caller.WithMaxCallers(100))
	defer s.Close()
	fmt.Println(s.Len(), "callers; sessions still running after a graceful shutdown:", len(s.Drain(context.Background())))
	// Output: 0 callers; sessions still running after a graceful shutdown: 0
}

package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/onsi/gomega"

	"verbenagate/core/event"
	"verbenagate/core/member"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
	"verbenagate/io/logs"
)

// Guards against lost or mixed units of a stream, and a local stream that outlives the remote one.
func TestStream(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOwner(echo)
	a, b := pair(t, o)
	s := a.Stream("b")
	for i := range 50 {
		var got []byte
		f := s.Run(testContext(t), work.Unit{Frames: fmt.Appendf(nil, "unit %d", i)}, func(p []byte) error {
			got = append(got, p...)
			return nil
		})
		g.Expect(f).To(gomega.Equal(okFinal))
		g.Expect(string(got)).To(gomega.Equal(fmt.Sprintf("unit %d", i)))
	}
	d := b.Dump()
	g.Expect(d.Members).To(gomega.HaveLen(2))
	g.Expect(d.Connections).To(gomega.ContainElement(gomega.HaveField("Inbound", 1)))
	s.Close()
	g.Eventually(o.closed).Should(gomega.BeClosed())
	f := s.Run(testContext(t), work.Unit{}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
}

// Guards against answers and units beyond the size of a message: pieces arrive whole, in order, within the window.
func TestLongAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	sizes := []int{1, 31 << 10, 1, 64 << 10, 3 << 20, 7, 40 << 10, 200}
	a, _ := pair(t, newOwner(func(_ context.Context, u work.Unit, sink work.Sink) work.Final {
		for i, n := range sizes {
			if err := sink(bytes.Repeat([]byte{byte(i)}, n)); err != nil {
				return work.FinalFromError(err)
			}
		}
		return work.Final{Code: result.OK, Position: uint64(len(u.Frames)), Status: work.TxIdle}
	}))
	counts := make([]int, len(sizes))
	f := a.Stream("b").Run(testContext(t), work.Unit{Frames: make([]byte, 5<<20)}, func(p []byte) error {
		for i := range sizes {
			n := bytes.Count(p, []byte{byte(i)})
			if counts[i] += n; n > 0 && counts[i] != sizes[i] {
				return fmt.Errorf("piece %d was cut after %d bytes", i, n)
			}
		}
		return nil
	})
	g.Expect(f.Code).To(gomega.Equal(result.OK))
	g.Expect(f.Position).To(gomega.BeEquivalentTo(5 << 20))
	g.Expect(counts).To(gomega.Equal(sizes))
}

// Guards against a slow caller that makes the owner's answer pile up in memory or delays other streams.
func TestSlowReader(t *testing.T) {
	g := gomega.NewWithT(t)
	var passed atomic.Int64
	a := start(t, Config{ID: "a"}, 0)
	b := start(t, Config{ID: "b", OpenStream: func(_ string, u work.Unit) (work.Stream, error) {
		if u.Service == "short" {
			return newOwner(echo), nil
		}
		return newOwner(func(_ context.Context, _ work.Unit, sink work.Sink) work.Final {
			for range 200 {
				if err := sink(make([]byte, 40<<10)); err != nil {
					return work.FinalFromError(err)
				}
				passed.Add(40 << 10)
			}
			return okFinal
		}), nil
	}}, 0)
	seed(t, a, b)
	release, done := make(chan struct{}), make(chan work.Final, 1)
	go func() {
		done <- a.Stream("b").Run(testContext(t), work.Unit{}, func([]byte) error { <-release; return nil })
	}()
	g.Eventually(passed.Load).Should(gomega.BeNumerically(">=", window-40<<10))
	for range 20 {
		f := a.Stream("b").Run(testContext(t), work.Unit{Service: "short", Frames: []byte("x")}, func([]byte) error { return nil })
		g.Expect(f.Code).To(gomega.Equal(result.OK))
	}
	g.Expect(passed.Load()).To(gomega.BeNumerically("<=", window))
	close(release)
	g.Eventually(done).WithTimeout(10 * time.Second).Should(gomega.Receive(gomega.Equal(okFinal)))
}

// Guards against a peer that takes no bytes and blocks streams to other VMs.
func TestBlockedPeerDelaysNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, Config{ID: "a"}, 0)
	c := start(t, Config{ID: "c", OpenStream: openEcho}, 0)
	seed(t, a, c)
	connect(t, a, "blocked")
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			f := a.Stream("blocked").Run(ctx, work.Unit{Class: stmt.Write, Frames: make([]byte, maxUnitPart)}, nil)
			g.Expect(result.Lookup(f.Code).Outcome()).To(gomega.BeElementOf(result.NotRun, result.Unknown))
		})
	}
	conn := a.current("blocked")
	g.Eventually(func() int {
		conn.qmu.Lock()
		defer conn.qmu.Unlock()
		return conn.bytes
	}).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">", maxQueuedData-2*maxUnitPart))
	for range 20 {
		f := a.Stream("c").Run(testContext(t), work.Unit{Frames: []byte("x")}, func([]byte) error { return nil })
		g.Expect(f.Code).To(gomega.Equal(result.OK))
	}
	cancel()
	wg.Wait()
}

// Guards against a VM that breaks the rules and goes on being served.
func TestBadMessageEndsTheConnection(t *testing.T) {
	window := Unit{Stream: 1, Number: 1}
	for name, frames := range map[string][][]byte{
		"not CBOR":            {[]byte("GET / HTTP/1.1")},
		"unknown type":        {{0x83, version, 0x18, 200, 0xa0}},
		"Hello again":         {encoded(t, Hello{Protocol: version})},
		"two units at a time": {encoded(t, window), encoded(t, window), encoded(t, window)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := newOwner(func(ctx context.Context, _ work.Unit, _ work.Sink) work.Final {
				<-ctx.Done()
				return work.FinalFromError(ctx.Err())
			})
			a := start(t, Config{ID: "a", OpenStream: o.open}, 0)
			ws := connect(t, a, "z")
			for _, f := range frames {
				g.Expect(ws.Write(testContext(t), websocket.MessageBinary, f)).To(gomega.Succeed())
			}
			g.Eventually(func() bool { return a.current("z") == nil }).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
			g.Expect(a.Stats().Bad()).To(gomega.BeNumerically(">=", 1))
		})
	}
}

// Guards against an answer that reaches the wrong unit, or a stream that is closed.
func TestLateAnswerIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, release := make(chan struct{}), make(chan struct{})
	a, _ := pair(t, newOwner(func(_ context.Context, _ work.Unit, sink work.Sink) work.Final {
		close(begun)
		<-release
		_ = sink([]byte("late"))
		return okFinal
	}))
	ctx, cancel := context.WithCancel(testContext(t))
	s := a.Stream("b")
	done := make(chan work.Final, 1)
	called := false
	go func() {
		done <- s.Run(ctx, work.Unit{Class: stmt.Write}, func([]byte) error { called = true; return nil })
	}()
	// Before the owner has the unit, its cancellation withdraws it, and the outcome is "not run".
	g.Eventually(begun).Should(gomega.BeClosed())
	g.Expect(a.current("b").busy()).To(gomega.BeTrue())
	// The owner's answer waits for room in the window of this test: a stream with the same id but another number.
	conn := a.current("b")
	g.Expect(conn.answer(Answer{Stream: 1 << 60, Frames: []byte("x")})).To(gomega.Succeed())
	g.Expect(a.Stats().Late()).To(gomega.BeEquivalentTo(1))
	cancel()
	var f work.Final
	g.Eventually(done).WithTimeout(5 * time.Second).Should(gomega.Receive(&f))
	g.Expect(f.Code).To(gomega.Equal(result.AnswerLost))
	close(release)
	g.Consistently(func() bool { return called }).WithTimeout(100 * time.Millisecond).Should(gomega.BeFalse())
}

// Guards against wrong outcomes when the owner's VM dies in the middle of an answer (P5).
func TestPeerKilledMidAnswer(t *testing.T) {
	for _, c := range []struct {
		class   stmt.Class
		partial bool
		want    result.Code
	}{
		{stmt.Write, false, result.AnswerLost},
		{stmt.Read, true, result.AnswerLost},
		{stmt.Read, false, result.PeerUnreachable},
		{stmt.Unknown, false, result.AnswerLost},
	} {
		t.Run(fmt.Sprintf("%v partial=%v", c.class, c.partial), func(t *testing.T) {
			g := gomega.NewWithT(t)
			begun := make(chan struct{})
			o := newOwner(func(ctx context.Context, _ work.Unit, sink work.Sink) work.Final {
				if c.partial {
					_ = sink(make([]byte, chunk))
				} else {
					close(begun)
				}
				<-ctx.Done()
				return work.FinalFromError(ctx.Err())
			})
			a, b := pair(t, o)
			done := make(chan work.Final, 1)
			s := a.Stream("b")
			go func() {
				done <- s.Run(testContext(t), work.Unit{Class: c.class}, func([]byte) error { close(begun); return nil })
			}()
			g.Eventually(begun).Should(gomega.BeClosed())
			b.stop()
			var f work.Final
			g.Eventually(done).WithTimeout(5 * time.Second).Should(gomega.Receive(&f))
			g.Expect(f.Code).To(gomega.Equal(c.want))
			g.Expect(o.closed).To(gomega.BeClosed())
			f = s.Run(testContext(t), work.Unit{Class: stmt.Write}, nil)
			g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
		})
	}
}

// Guards against a unit that is reported as unknown although it never left this VM.
func TestUnitThatDidNotLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, Config{ID: "a"}, 0)
	f := a.Stream("nobody").Run(testContext(t), work.Unit{Class: stmt.Write}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))

	b := start(t, Config{ID: "b", OpenStream: openEcho}, 0)
	seed(t, a, b)
	b.stop()
	g.Eventually(func() bool { return a.View().IsLive("b") }).WithTimeout(5 * time.Second).Should(gomega.BeFalse())
	f = a.Stream("b").Run(testContext(t), work.Unit{Class: stmt.Write}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
}

// Guards against a graceful stop that waits for units which ended with their connection before they began.
func TestInflightAfterLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	m := start(t, Config{ID: "a", OpenStream: openEcho}, 0)
	c := newConn(m, nil, "b", false)
	c.writing = true // there is no socket to write to
	c.cancel()
	for id := range uint64(50) {
		g.Expect(c.unit(Unit{Stream: id, Number: 1})).To(gomega.Succeed())
	}
	g.Eventually(func() int {
		c.smu.Lock()
		defer c.smu.Unlock()
		return len(c.inbound)
	}).Should(gomega.BeZero())
	g.Expect(m.Quiesce(testContext(t))).To(gomega.Succeed())
}

// Guards against a session that keeps a stream which has ended, or whose owner has lost the server connection.
func TestStreamGone(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := pair(t, newOwner(func(_ context.Context, u work.Unit, _ work.Sink) work.Final {
		return work.Final{Code: result.OK, Status: work.TxActive, StreamLost: u.KeepConnection}
	}))
	s := a.Stream("b")
	g.Expect(s.Run(testContext(t), work.Unit{}, nil).StreamLost).To(gomega.BeFalse())
	g.Expect(s.Run(testContext(t), work.Unit{KeepConnection: true}, nil).StreamLost).To(gomega.BeTrue())
	s.(*remote).end(errCancelled) // as after a cancel request for a unit that has not left yet
	f := s.Run(testContext(t), work.Unit{}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.Cancelled))
	g.Expect(f.StreamLost).To(gomega.BeTrue())
}

// Guards against a cancellation that does not reach the owner.
func TestCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, cancelled := make(chan struct{}), make(chan struct{})
	o := newOwner(func(context.Context, work.Unit, work.Sink) work.Final {
		close(begun)
		<-cancelled
		return work.FinalFromError(result.New(result.Cancelled, "cancelled"))
	})
	o.cancel = func() { close(cancelled) }
	a, _ := pair(t, o)
	s := a.Stream("b")
	done := make(chan work.Final, 1)
	go func() { done <- s.Run(testContext(t), work.Unit{}, nil) }()
	g.Eventually(begun).Should(gomega.BeClosed())
	s.Cancel()
	var f work.Final
	g.Eventually(done).WithTimeout(5 * time.Second).Should(gomega.Receive(&f))
	g.Expect(f.Code).To(gomega.Equal(result.Cancelled))
}

// Guards against requests whose error code is lost on the way.
func TestCall(t *testing.T) {
	g := gomega.NewWithT(t)
	a := start(t, Config{ID: "a"}, 0)
	b := start(t, Config{ID: "b", Serve: func(ctx context.Context, from string, req Request) (Reply, error) {
		switch req := req.(type) {
		case BarrierRequest:
			return BarrierAnswer{Term: 4, Position: uint64(len(req.Service) + len(from))}, nil
		case RevisionRequest:
			return Revisions{Head: 1, List: []Revision{{1, make([]byte, 2<<20)}}}, nil
		case DumpRequest:
			<-ctx.Done()
			return nil, ctx.Err()
		default:
			return nil, result.New(result.NoMajority, "one of three")
		}
	}}, 0)
	seed(t, a, b)
	reply, err := a.Call(testContext(t), "b", BarrierRequest{Service: "dues"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply).To(gomega.Equal(BarrierAnswer{Term: 4, Position: 5}))
	_, err = a.Call(testContext(t), "b", DrainRequest{})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.NoMajority))
	g.Expect(result.Message(err)).To(gomega.Equal("one of three"))
	_, err = a.Call(testContext(t), "b", RevisionRequest{})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.TooLarge))
	ctx, cancel := context.WithTimeout(testContext(t), 100*time.Millisecond)
	defer cancel()
	_, err = a.Call(ctx, "b", DumpRequest{})
	g.Expect(result.CodeOf(err)).NotTo(gomega.Equal(result.OK))
	_, err = a.Call(testContext(t), "nobody", DumpRequest{})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.PeerUnreachable))
}

// Guards against a VM that takes the name of another one, in either direction.
func TestWrongNameIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, other := newAuthority(t), newAuthority(t)
	a := start(t, Config{ID: "a", TLS: ca.config("a")}, 0)
	b := start(t, Config{ID: "b", TLS: ca.config("b")}, 0)
	seed(t, a, b)
	for name, cfg := range map[string]Config{
		"name of another VM": {ID: "c", TLS: ca.config("x")},
		"another CA":         {ID: "c", TLS: other.config("c")},
		"no TLS":             {ID: "c"},
	} {
		c := start(t, cfg, 0)
		c.Seed(list(a))
		a.Seed(list(c))
		_, err := c.connection(testContext(t), "a")
		g.Expect(err != nil || !connected(a, "c")).To(gomega.BeTrue(), name)
		_, err = a.connection(testContext(t), "c")
		g.Expect(err).To(gomega.HaveOccurred(), name)
		g.Expect(connected(a, "c")).To(gomega.BeFalse(), name)
		c.stop()
	}
}

func connected(m *Mesh, vm string) bool { return m.current(vm) != nil }

// Guards against a VM that is paused or cut off and is not suspected, or that does not come back.
func TestSuspicionAndRecovery(t *testing.T) {
	g := gomega.NewWithT(t)
	meshes := []*Mesh{start(t, Config{ID: "a"}, 0), start(t, Config{ID: "b"}, 0), start(t, Config{ID: "c"}, 1)}
	seed(t, meshes...)
	b := meshes[1]
	b.tmu.Lock() // its heartbeats and acknowledgements stop
	g.Eventually(func() member.State {
		m, _ := meshes[0].View().Member("b")
		return m.State()
	}).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">=", member.Suspect))
	b.tmu.Unlock()
	g.Eventually(func() bool {
		return meshes[0].View().IsLive("b") && meshes[2].View().IsLive("b") && len(b.View().Live()) == 3
	}).WithTimeout(20 * time.Second).Should(gomega.BeTrue())
}

// Guards against a read that waits for a suspected VM until that counts as dead, and against a unit that leaves its stream
// although a transaction or its outcome binds it to that.
func TestReadsLeaveSuspectedVM(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	began := make(chan struct{}, 10)
	a := start(t, Config{ID: "a"}, 0)
	b := start(t, Config{ID: "b", OpenStream: func(string, work.Unit) (work.Stream, error) {
		return newOwner(func(_ context.Context, u work.Unit, sink work.Sink) work.Final {
			if string(u.Frames) == "begin" {
				return okFinal
			}
			if string(u.Frames) == "part" {
				_ = sink(make([]byte, 2*chunk)) // smaller parts are collected
			}
			began <- struct{}{}
			<-release
			return okFinal
		}), nil
	}}, 0)
	seed(t, a, b)
	type unit struct {
		u     work.Unit
		begin bool
	}
	bound := []unit{
		{work.Unit{Class: stmt.Write}, false},
		{work.Unit{Class: stmt.Read, KeepConnection: true}, false},
		{work.Unit{Class: stmt.Read}, true},
		{work.Unit{Class: stmt.Read, Frames: []byte("part")}, false},
	}
	ends := make([]chan work.Final, len(bound)+1)
	parts := make(chan []byte, 10)
	for i, one := range append(bound, unit{work.Unit{Class: stmt.Read}, false}) {
		ends[i] = make(chan work.Final, 1)
		s := a.Stream("b")
		if one.begin {
			f := s.Run(testContext(t), work.Unit{Class: stmt.Begin, Frames: []byte("begin")}, nil)
			g.Expect(f.Code).To(gomega.Equal(result.OK))
		}
		go func() {
			ends[i] <- s.Run(testContext(t), one.u, func(frames []byte) error { parts <- frames; return nil })
		}()
		<-began
	}
	<-parts
	a.current("b").leave(errors.New("VM b is suspected"))
	f := <-ends[len(bound)]
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
	free()
	for i := range bound {
		f = <-ends[i]
		g.Expect(f.Code).To(gomega.Equal(result.OK), "unit %d", i)
	}
}

// Guards against streams of a suspected VM that are not left when its silence is noticed.
func TestSuspicionEndsReads(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	a, b := pair(t, newOwner(func(context.Context, work.Unit, work.Sink) work.Final {
		began <- struct{}{}
		<-release
		return okFinal
	}))
	defer close(release)
	ended := make(chan work.Final, 1)
	go func() { ended <- a.Stream("b").Run(testContext(t), work.Unit{Class: stmt.Read}, nil) }()
	<-began
	b.tmu.Lock() // its heartbeats and acknowledgements stop
	defer b.tmu.Unlock()
	var f work.Final
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(gomega.Receive(&f))
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
	g.Expect(f.Message).To(gomega.ContainSubstring("is suspected"), "the VM counted as dead before the read left it")
}

// Guards against a crash that is noticed only by silence although the address refuses connections, and a final heartbeat
// or a restart that goes unnoticed.
func TestCrashAndRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &logs.Record{}
	a, b, c := start(t, Config{ID: "a", Logger: log}, 0), start(t, Config{ID: "b"}, 0), start(t, Config{ID: "c"}, 0)
	seed(t, a, b, c)
	state := func() member.State {
		m, _ := a.View().Member("b")
		return m.State()
	}
	b.stop()
	g.Eventually(state).WithTimeout(time.Second).Should(gomega.Equal(member.Dead))
	b = start(t, Config{ID: "b"}, 0)
	seed(t, b, a, c)
	b.Leave()
	g.Eventually(state).WithTimeout(5 * time.Second).Should(gomega.Equal(member.Leaving))
	g.Eventually(log.Events).Should(gomega.ContainElement(event.MemberLeaving))
	b.Close()
	g.Eventually(state).WithTimeout(time.Second).Should(gomega.Equal(member.Dead))
}

// Guards against a new revision that spreads only with the next heartbeat, or is never heard of.
func TestRevisionNews(t *testing.T) {
	g := gomega.NewWithT(t)
	news := make(chan string, 100)
	a := start(t, Config{ID: "a", OnRevision: func(from string, n uint64) { news <- fmt.Sprint(from, n) }}, 0)
	b := start(t, Config{ID: "b"}, 0)
	seed(t, a, b)
	b.SetRevision(7)
	g.Eventually(news).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.Equal("b7")))
	a.SetRevision(7)
}

// Guards against connections that stay open without use, and heartbeat partners that are disconnected.
func TestIdleConnectionCloses(t *testing.T) {
	g := gomega.NewWithT(t)
	var meshes []*Mesh
	for i := range 15 { // two more than a VM has partners
		meshes = append(meshes, start(t, Config{ID: fmt.Sprint("vm", i), Idle: 300 * time.Millisecond}, 0))
	}
	seed(t, meshes...)
	a := meshes[0]
	for _, m := range meshes[1:] {
		_, _ = a.Call(testContext(t), m.cfg.ID, DumpRequest{})
	}
	g.Eventually(func() error {
		for _, m := range meshes[1:] {
			want := 0
			a.tmu.Lock()
			if a.table.IsHeartbeatPeer(m.cfg.ID) {
				want = 1
			}
			a.tmu.Unlock()
			if got := a.connections(m.cfg.ID); got != want {
				return fmt.Errorf("%d connections with %s, want %d", got, m.cfg.ID, want)
			}
		}
		return nil
	}).WithTimeout(20 * time.Second).Should(gomega.Succeed())
}

// Guards against observers that miss changes.
func TestOnChange(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := start(t, Config{ID: "a"}, 0), start(t, Config{ID: "b"}, 0)
	views := make(chan member.View, 100)
	a.OnChange(func(v member.View) { views <- v })
	seed(t, a, b)
	g.Eventually(func() int { return len((<-views).Live()) }).Should(gomega.Equal(2))
}

// Guards against errors that lose their cause.
func TestNotRunKeepsCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &remote{vm: "b"}
	g.Expect(s.notRun(errors.New("x")).Code).To(gomega.Equal(result.PeerUnreachable))
	g.Expect(s.notRun(result.New(result.TooLarge, "x")).Code).To(gomega.Equal(result.TooLarge))
}

func ExampleMesh() {
	a, err := New(Config{ID: "vm-a", DataCentre: "north", Listen: "127.0.0.1:0"})
	if err != nil {
		panic(err)
	}
	defer a.Close()
	b, err := New(Config{
		ID: "vm-b", DataCentre: "north", Listen: "127.0.0.1:0",
		Serve: func(context.Context, string, Request) (Reply, error) {
			return BarrierAnswer{Term: 2, Position: 40}, nil
		},
	})
	if err != nil {
		panic(err)
	}
	defer b.Close()
	a.Seed([]port.VM{{ID: "vm-b", DataCentre: "north", PeerAddr: b.Addr()}})
	reply, err := a.Call(context.Background(), "vm-b", BarrierRequest{Service: "dues"})
	fmt.Println(reply.(BarrierAnswer).Position, err)
	// Output: 40 <nil>
}

// Guards against news that miss a VM with which this one exchanges units.
func TestConnected(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := pair(t, newOwner(echo))
	g.Expect(a.Stream("b").Run(testContext(t), work.Unit{}, func([]byte) error { return nil }).Code).To(gomega.Equal(result.OK))
	g.Expect(a.Connected()).To(gomega.ConsistOf("b"))
	g.Expect(b.Connected()).To(gomega.ConsistOf("a"))
}

// Guards against a report of a suspected VM whenever a VM starts, because a VM of the platform's list counts as suspected
// until it has been heard.
func TestUnheardVMIsNotReportedAsSuspected(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &logs.Record{}
	a := start(t, Config{ID: "a", Logger: log}, 0)
	a.Seed([]port.VM{{ID: "x", DataCentre: "dc0", PeerAddr: "127.0.0.1:1"}})
	g.Eventually(log.Events).WithTimeout(20 * time.Second).Should(gomega.ContainElement(event.MemberDead))
	g.Expect(log.Events()).NotTo(gomega.ContainElement(event.MemberSuspect))
}

// Guards against a writer that stays after its last message: its stack would be a quarter of the memory of a connection.
func TestWriterEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := start(t, Config{ID: "a"}, 0), start(t, Config{ID: "b"}, 0)
	seed(t, a, b)
	g.Eventually(func() bool {
		conns := a.conns()
		return len(conns) > 0 && !slices.ContainsFunc(conns, func(c *conn) bool {
			c.qmu.Lock()
			defer c.qmu.Unlock()
			return c.writing
		})
	}).WithTimeout(20 * time.Second).Should(gomega.BeTrue())
}

// Guards against a VM that starts during an outage of the platform's list and finds nobody, and against members that it
// does not learn of from the one VM that it finds.
func TestContact(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newAuthority(t)
	a := start(t, Config{ID: "a", TLS: ca.config("a")}, 0)
	b := start(t, Config{ID: "b", TLS: ca.config("b")}, 0)
	far := start(t, Config{ID: "far", TLS: ca.config("far")}, 1)
	seed(t, a, b, far)
	c := start(t, Config{ID: "c", TLS: ca.config("c")}, 1)
	for range 2 {
		id, err := c.Contact(testContext(t), a.Addr())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(id).To(gomega.Equal("a"))
	}
	g.Eventually(func() int { return a.connections("c") }).WithTimeout(20*time.Second).
		Should(gomega.Equal(1), "the second contact needs no connection")
	for _, m := range []*Mesh{a, b, far, c} {
		g.Eventually(func() []string { return m.View().Live() }).WithTimeout(20*time.Second).
			Should(gomega.Equal([]string{"a", "b", "c", "far"}), m.cfg.ID)
	}
}

// Guards against a contact with a host that is no VM of the deployment: without a name to expect, the authority and the
// name that the certificate carries must decide.
func TestContactChecksCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, other := newAuthority(t), newAuthority(t)
	c := start(t, Config{ID: "c", TLS: ca.config("c")}, 0)
	for name, cfg := range map[string]Config{
		"another CA":         {ID: "a", TLS: other.config("a")},
		"name of another VM": {ID: "a", TLS: ca.config("b")},
		"no TLS":             {ID: "a"},
		"own id":             {ID: "c", TLS: ca.config("c")},
	} {
		m := start(t, cfg, 0)
		_, err := c.Contact(testContext(t), m.Addr())
		g.Expect(err).To(gomega.HaveOccurred(), name)
		g.Expect(c.View().Live()).To(gomega.Equal([]string{"c"}), name)
		m.stop()
	}
	stranger := start(t, Config{ID: "x", TLS: other.config("x")}, 0)
	a := start(t, Config{ID: "a", TLS: ca.config("a")}, 0)
	_, _ = stranger.Contact(testContext(t), a.Addr()) // TLS 1.3 may tell the client later than it has connected
	g.Expect(connected(a, "x")).To(gomega.BeFalse())
}

// Guards against a VM that is told to others under the address that it listens on instead of the announced one, and
// against connections whose VM a proxy cannot tell.
func TestAnnouncedAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	announced, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = announced.Close() })
	a := start(t, Config{ID: "a", Addr: announced.Addr().String()}, 1)
	b := start(t, Config{ID: "b"}, 1)
	names := make(chan string, 1)
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: a.listener.Addr().String()})
		select {
		case names <- r.In.Header.Get(VMHeader):
		default:
		}
	}}
	go func() { _ = http.Serve(announced, proxy) }() // ends with the listener
	g.Expect(a.Addr()).To(gomega.Equal(announced.Addr().String()))
	b.Seed(list(a))
	c, err := b.connection(testContext(t), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.alive()).To(gomega.BeTrue())
	g.Expect(<-names).To(gomega.Equal("b"))
	b.tmu.Lock()
	record, _ := b.table.Record("a")
	b.tmu.Unlock()
	g.Expect(record.Incarnation).NotTo(gomega.BeZero()) // from Hello
	g.Expect(record.Addr).To(gomega.Equal(announced.Addr().String()))
}

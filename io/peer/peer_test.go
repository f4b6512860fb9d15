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

// Guards against units of a stream that are lost or confused with each other, and against a local stream that stays open
// after the remote stream is closed.
func TestStream(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOwnerStream(runEcho)
	a, b := startPair(t, o)
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
	g.Expect(d.Connections).To(gomega.ContainElement(gomega.HaveField("InboundStreams", 1)))
	s.Close()
	g.Eventually(o.closed).Should(gomega.BeClosed())
	f := s.Run(testContext(t), work.Unit{}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
}

// Guards against units and answers that fail or are cut because they exceed the size of one message. Each piece of the
// answer must arrive whole and in order, also if it exceeds the window.
func TestLongAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	sizes := []int{1, 31 << 10, 1, 64 << 10, 3 << 20, 7, 40 << 10, 200}
	a, _ := startPair(t, newOwnerStream(func(_ context.Context, u work.Unit, sink work.Sink) work.Final {
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

// Guards against a slow caller whose answer is buffered in memory beyond the window, or delays other streams of the
// connection.
func TestSlowReader(t *testing.T) {
	g := gomega.NewWithT(t)
	var sentBytes atomic.Int64
	a := startMesh(t, Config{ID: "a"}, 0)
	b := startMesh(t, Config{ID: "b", OpenStream: func(_ string, u work.Unit) (work.Stream, error) {
		if u.Service == "short" {
			return newOwnerStream(runEcho), nil
		}
		return newOwnerStream(func(_ context.Context, _ work.Unit, sink work.Sink) work.Final {
			for range 200 {
				if err := sink(make([]byte, 40<<10)); err != nil {
					return work.FinalFromError(err)
				}
				sentBytes.Add(40 << 10)
			}
			return okFinal
		}), nil
	}}, 0)
	seedAndWait(t, a, b)
	release, done := make(chan struct{}), make(chan work.Final, 1)
	go func() {
		done <- a.Stream("b").Run(testContext(t), work.Unit{}, func([]byte) error { <-release; return nil })
	}()
	g.Eventually(sentBytes.Load).Should(gomega.BeNumerically(">=", windowBytes-40<<10))
	for range 20 {
		f := a.Stream("b").Run(testContext(t), work.Unit{Service: "short", Frames: []byte("x")}, func([]byte) error { return nil })
		g.Expect(f.Code).To(gomega.Equal(result.OK))
	}
	g.Expect(sentBytes.Load()).To(gomega.BeNumerically("<=", windowBytes))
	close(release)
	g.Eventually(done).WithTimeout(10 * time.Second).Should(gomega.Receive(gomega.Equal(okFinal)))
}

// Guards against a VM that reads nothing from its connection and thereby blocks streams to other VMs.
func TestBlockedPeerDelaysNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startMesh(t, Config{ID: "a"}, 0)
	c := startMesh(t, Config{ID: "c", OpenStream: openEchoStream}, 0)
	seedAndWait(t, a, c)
	connectFakeVM(t, a, "blocked")
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			f := a.Stream("blocked").Run(ctx, work.Unit{Class: stmt.Write, Frames: make([]byte, maxUnitPartBytes)}, nil)
			g.Expect(result.Lookup(f.Code).Outcome()).To(gomega.BeElementOf(result.NotRun, result.Unknown))
		})
	}
	conn := a.currentConn("blocked")
	g.Eventually(func() int {
		conn.queueMu.Lock()
		defer conn.queueMu.Unlock()
		return conn.queuedDataBytes
	}).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">", maxQueuedData-2*maxUnitPartBytes))
	for range 20 {
		f := a.Stream("c").Run(testContext(t), work.Unit{Frames: []byte("x")}, func([]byte) error { return nil })
		g.Expect(f.Code).To(gomega.Equal(result.OK))
	}
	cancel()
	wg.Wait()
}

// Guards against a connection that stays open after the other VM has violated the protocol.
func TestBadMessageEndsTheConnection(t *testing.T) {
	unit := Unit{Stream: 1, Number: 1}
	for name, frames := range map[string][][]byte{
		"not CBOR":          {[]byte("GET / HTTP/1.1")},
		"unknown type":      {{0x83, protocolVersion, 0x18, 200, 0xa0}},
		"second Hello":      {mustEncode(t, Hello{Protocol: protocolVersion})},
		"overlapping units": {mustEncode(t, unit), mustEncode(t, unit), mustEncode(t, unit)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := newOwnerStream(func(ctx context.Context, _ work.Unit, _ work.Sink) work.Final {
				<-ctx.Done()
				return work.FinalFromError(ctx.Err())
			})
			a := startMesh(t, Config{ID: "a", OpenStream: o.openStream}, 0)
			ws := connectFakeVM(t, a, "z")
			for _, f := range frames {
				g.Expect(ws.Write(testContext(t), websocket.MessageBinary, f)).To(gomega.Succeed())
			}
			g.Eventually(func() bool { return a.currentConn("z") == nil }).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
			g.Expect(a.Stats().RefusedMessages()).To(gomega.BeNumerically(">=", 1))
		})
	}
}

// Guards against an answer that is delivered to the wrong unit or to a closed stream. Two VMs that dial each other at the same
// time have two connections, and a stream stays on the one that was preferred when it was opened.
func TestLateAnswerIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, release := make(chan struct{}), make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	a, _ := startPair(t, newOwnerStream(func(_ context.Context, _ work.Unit, sink work.Sink) work.Final {
		close(begun)
		<-release
		_ = sink([]byte("late"))
		return okFinal
	}))
	t.Cleanup(releaseOnce) // the meshes wait for the unit when they stop
	ctx, cancel := context.WithCancel(testContext(t))
	s := a.Stream("b")
	done := make(chan work.Final, 1)
	called := false
	go func() {
		done <- s.Run(ctx, work.Unit{Class: stmt.Write}, func([]byte) error { called = true; return nil })
	}()
	// Wait until the owner runs the unit: a cancellation before that withdraws the unit, and the outcome is "not run".
	g.Eventually(begun).Should(gomega.BeClosed())
	conn := s.(*remoteStream).currentConn()
	g.Expect(conn.inUse()).To(gomega.BeTrue())
	_, err := a.openConn(ctx, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.currentConn("b")).NotTo(gomega.BeIdenticalTo(conn))
	g.Expect(conn.inUse()).To(gomega.BeTrue())
	// An answer to a stream id that is not open is counted as late and dropped.
	g.Expect(conn.handleAnswer(Answer{Stream: 1 << 60, Frames: []byte("x")})).To(gomega.Succeed())
	g.Expect(a.Stats().LateAnswers()).To(gomega.BeEquivalentTo(1))
	cancel()
	var f work.Final
	g.Eventually(done).WithTimeout(5 * time.Second).Should(gomega.Receive(&f))
	g.Expect(f.Code).To(gomega.Equal(result.AnswerLost))
	releaseOnce()
	g.Consistently(func() bool { return called }).WithTimeout(100 * time.Millisecond).Should(gomega.BeFalse())
}

// Guards against wrong result codes when the owner's VM crashes before or during its answer to a unit (P5).
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
			o := newOwnerStream(func(ctx context.Context, _ work.Unit, sink work.Sink) work.Final {
				if c.partial {
					_ = sink(make([]byte, minPartBytes))
				} else {
					close(begun)
				}
				<-ctx.Done()
				return work.FinalFromError(ctx.Err())
			})
			a, b := startPair(t, o)
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

// Guards against a unit whose outcome is reported as unknown although it was never sent from this VM.
func TestUnitThatDidNotLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startMesh(t, Config{ID: "a"}, 0)
	f := a.Stream("nobody").Run(testContext(t), work.Unit{Class: stmt.Write}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))

	b := startMesh(t, Config{ID: "b", OpenStream: openEchoStream}, 0)
	seedAndWait(t, a, b)
	b.stop()
	g.Eventually(func() bool { return a.View().IsLive("b") }).WithTimeout(5 * time.Second).Should(gomega.BeFalse())
	f = a.Stream("b").Run(testContext(t), work.Unit{Class: stmt.Write}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
}

// Guards against a graceful shutdown that waits forever for units whose connection was lost before they started.
func TestInflightAfterLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	m := startMesh(t, Config{ID: "a", OpenStream: openEchoStream}, 0)
	c := newConn(m, nil, "b", false)
	c.writerRunning = true // prevents a writer, since there is no socket
	c.cancel()
	for id := range uint64(50) {
		g.Expect(c.handleUnit(Unit{Stream: id, Number: 1})).To(gomega.Succeed())
	}
	g.Eventually(func() int {
		c.streamsMu.Lock()
		defer c.streamsMu.Unlock()
		return len(c.inboundStreams)
	}).Should(gomega.BeZero())
	g.Expect(m.Quiesce(testContext(t))).To(gomega.Succeed())
}

// Guards against a session that goes on using a stream after it has ended, or after the owner has lost the server
// connection: the final must have StreamLost set.
func TestStreamGone(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, newOwnerStream(func(_ context.Context, u work.Unit, _ work.Sink) work.Final {
		return work.Final{Code: result.OK, Status: work.TxActive, StreamLost: u.KeepConnection}
	}))
	s := a.Stream("b")
	g.Expect(s.Run(testContext(t), work.Unit{}, nil).StreamLost).To(gomega.BeFalse())
	g.Expect(s.Run(testContext(t), work.Unit{KeepConnection: true}, nil).StreamLost).To(gomega.BeTrue())
	s.(*remoteStream).end(errCancelled) // as after a cancel request for a unit that is still queued
	f := s.Run(testContext(t), work.Unit{}, nil)
	g.Expect(f.Code).To(gomega.Equal(result.Cancelled))
	g.Expect(f.StreamLost).To(gomega.BeTrue())
}

// Guards against a cancellation that is not forwarded to the owner's local stream.
func TestCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, cancelled := make(chan struct{}), make(chan struct{})
	o := newOwnerStream(func(context.Context, work.Unit, work.Sink) work.Final {
		close(begun)
		<-cancelled
		return work.FinalFromError(result.New(result.Cancelled, "cancelled"))
	})
	o.cancel = func() { close(cancelled) }
	a, _ := startPair(t, o)
	s := a.Stream("b")
	done := make(chan work.Final, 1)
	go func() { done <- s.Run(testContext(t), work.Unit{}, nil) }()
	g.Eventually(begun).Should(gomega.BeClosed())
	s.Cancel()
	var f work.Final
	g.Eventually(done).WithTimeout(5 * time.Second).Should(gomega.Receive(&f))
	g.Expect(f.Code).To(gomega.Equal(result.Cancelled))
}

// Guards against a request whose reply, error code or error message is lost between the VMs.
func TestCall(t *testing.T) {
	g := gomega.NewWithT(t)
	a := startMesh(t, Config{ID: "a"}, 0)
	b := startMesh(t, Config{ID: "b", HandleRequest: func(ctx context.Context, from string, req Request) (Reply, error) {
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
	seedAndWait(t, a, b)
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

// Guards against a VM that connects, or accepts a connection, under an id that its certificate does not contain.
func TestWrongNameIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, other := newTestCA(t), newTestCA(t)
	a := startMesh(t, Config{ID: "a", TLS: ca.tlsConfig("a")}, 0)
	b := startMesh(t, Config{ID: "b", TLS: ca.tlsConfig("b")}, 0)
	seedAndWait(t, a, b)
	for name, cfg := range map[string]Config{
		"name of another VM": {ID: "c", TLS: ca.tlsConfig("x")},
		"another CA":         {ID: "c", TLS: other.tlsConfig("c")},
		"no TLS":             {ID: "c"},
	} {
		c := startMesh(t, cfg, 0)
		c.Seed(platformVMs(a))
		a.Seed(platformVMs(c))
		_, err := c.connectionTo(testContext(t), "a")
		g.Expect(err != nil || !isConnected(a, "c")).To(gomega.BeTrue(), name)
		_, err = a.connectionTo(testContext(t), "c")
		g.Expect(err).To(gomega.HaveOccurred(), name)
		g.Expect(isConnected(a, "c")).To(gomega.BeFalse(), name)
		c.stop()
	}
}

func isConnected(m *Mesh, vm string) bool { return m.currentConn(vm) != nil }

// Guards against a paused or disconnected VM that is not suspected, or that does not become live again afterwards.
func TestSuspicionAndRecovery(t *testing.T) {
	g := gomega.NewWithT(t)
	meshes := []*Mesh{startMesh(t, Config{ID: "a"}, 0), startMesh(t, Config{ID: "b"}, 0), startMesh(t, Config{ID: "c"}, 1)}
	seedAndWait(t, meshes...)
	b := meshes[1]
	b.tableMu.Lock() // its heartbeats and acknowledgements stop
	g.Eventually(func() member.State {
		m, _ := meshes[0].View().Member("b")
		return m.State()
	}).WithTimeout(10 * time.Second).Should(gomega.BeNumerically(">=", member.Suspect))
	b.tableMu.Unlock()
	g.Eventually(func() bool {
		return meshes[0].View().IsLive("b") && meshes[2].View().IsLive("b") && len(b.View().Live()) == 3
	}).WithTimeout(20 * time.Second).Should(gomega.BeTrue())
}

// Guards against a read that waits for a suspected VM until the VM has state dead. Also guards against abandoning units
// that must stay: writes, reads in a transaction or pinned session, and reads that already have a part of their answer.
func TestReadsLeaveSuspectedVM(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	defer releaseAll()
	began := make(chan struct{}, 10)
	a := startMesh(t, Config{ID: "a"}, 0)
	b := startMesh(t, Config{ID: "b", OpenStream: func(string, work.Unit) (work.Stream, error) {
		return newOwnerStream(func(_ context.Context, u work.Unit, sink work.Sink) work.Final {
			if string(u.Frames) == "begin" {
				return okFinal
			}
			if string(u.Frames) == "part" {
				_ = sink(make([]byte, 2*minPartBytes)) // smaller parts are collected, not sent
			}
			began <- struct{}{}
			<-release
			return okFinal
		}), nil
	}}, 0)
	seedAndWait(t, a, b)
	type unit struct {
		u     work.Unit
		begin bool
	}
	boundUnits := []unit{
		{work.Unit{Class: stmt.Write}, false},
		{work.Unit{Class: stmt.Read, KeepConnection: true}, false},
		{work.Unit{Class: stmt.Read}, true},
		{work.Unit{Class: stmt.Read, Frames: []byte("part")}, false},
	}
	finals := make([]chan work.Final, len(boundUnits)+1)
	parts := make(chan []byte, 10)
	for i, tc := range append(boundUnits, unit{work.Unit{Class: stmt.Read}, false}) {
		finals[i] = make(chan work.Final, 1)
		s := a.Stream("b")
		if tc.begin {
			f := s.Run(testContext(t), work.Unit{Class: stmt.Begin, Frames: []byte("begin")}, nil)
			g.Expect(f.Code).To(gomega.Equal(result.OK))
		}
		go func() {
			finals[i] <- s.Run(testContext(t), tc.u, func(frames []byte) error { parts <- frames; return nil })
		}()
		<-began
	}
	<-parts
	for _, c := range a.conns() { // streams may be on two connections if both VMs dialled
		c.abandonReads(errors.New("VM b is suspected"))
	}
	f := <-finals[len(boundUnits)]
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
	releaseAll()
	for i := range boundUnits {
		f = <-finals[i]
		g.Expect(f.Code).To(gomega.Equal(result.OK), "unit %d", i)
	}
}

// Guards against reads that are not abandoned when their VM becomes suspected because its heartbeats stop.
func TestSuspicionEndsReads(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	a, b := startPair(t, newOwnerStream(func(context.Context, work.Unit, work.Sink) work.Final {
		began <- struct{}{}
		<-release
		return okFinal
	}))
	defer close(release)
	final := make(chan work.Final, 1)
	go func() { final <- a.Stream("b").Run(testContext(t), work.Unit{Class: stmt.Read}, nil) }()
	<-began
	b.tableMu.Lock() // its heartbeats and acknowledgements stop
	defer b.tableMu.Unlock()
	var f work.Final
	g.Eventually(final).WithTimeout(20 * time.Second).Should(gomega.Receive(&f))
	g.Expect(f.Code).To(gomega.Equal(result.PeerUnreachable))
	g.Expect(f.Message).To(gomega.ContainSubstring("is suspected"), "the VM had state dead before the read was abandoned")
}

// Guards against a crash that is detected only by missing heartbeats although the address refuses connections. Also guards
// against a restart or a final heartbeat that has no effect on the member's state.
func TestCrashAndRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &logs.Recorder{}
	a, b, c := startMesh(t, Config{ID: "a", Logger: log}, 0), startMesh(t, Config{ID: "b"}, 0), startMesh(t, Config{ID: "c"}, 0)
	seedAndWait(t, a, b, c)
	state := func() member.State {
		m, _ := a.View().Member("b")
		return m.State()
	}
	b.stop()
	g.Eventually(state).WithTimeout(time.Second).Should(gomega.Equal(member.Dead))
	b = startMesh(t, Config{ID: "b"}, 0)
	seedAndWait(t, b, a, c)
	b.Leave()
	g.Eventually(state).WithTimeout(5 * time.Second).Should(gomega.Equal(member.Leaving))
	g.Eventually(log.Events).Should(gomega.ContainElement(event.MemberLeaving))
	b.Close()
	g.Eventually(state).WithTimeout(time.Second).Should(gomega.Equal(member.Dead))
}

// Guards against a new revision number that reaches OnRevision of other VMs only with the next due heartbeat, or never.
func TestRevisionNews(t *testing.T) {
	g := gomega.NewWithT(t)
	heard := make(chan string, 100)
	a := startMesh(t, Config{ID: "a", OnRevision: func(from string, n uint64) { heard <- fmt.Sprint(from, n) }}, 0)
	b := startMesh(t, Config{ID: "b"}, 0)
	seedAndWait(t, a, b)
	b.SetRevision(7)
	g.Eventually(heard).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.Equal("b7")))
	a.SetRevision(7)
}

// Guards against idle connections that stay open, and against idle connections to heartbeat partners that are closed.
func TestIdleConnectionCloses(t *testing.T) {
	g := gomega.NewWithT(t)
	var meshes []*Mesh
	for i := range 15 { // two more than a VM has heartbeat partners
		meshes = append(meshes, startMesh(t, Config{ID: fmt.Sprint("vm", i), IdleTimeout: 300 * time.Millisecond}, 0))
	}
	seedAndWait(t, meshes...)
	a := meshes[0]
	for _, m := range meshes[1:] {
		_, _ = a.Call(testContext(t), m.cfg.ID, DumpRequest{})
	}
	g.Eventually(func() error {
		for _, m := range meshes[1:] {
			want := 0
			a.tableMu.Lock()
			if a.table.IsHeartbeatPeer(m.cfg.ID) {
				want = 1
			}
			a.tableMu.Unlock()
			if got := a.connCount(m.cfg.ID); got != want {
				return fmt.Errorf("%d connections with %s, want %d", got, m.cfg.ID, want)
			}
		}
		return nil
	}).WithTimeout(20 * time.Second).Should(gomega.Succeed())
}

// Guards against observers that are not called for a changed view.
func TestOnChange(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startMesh(t, Config{ID: "a"}, 0), startMesh(t, Config{ID: "b"}, 0)
	views := make(chan member.View, 100)
	a.OnChange(func(v member.View) { views <- v })
	seedAndWait(t, a, b)
	g.Eventually(func() int { return len((<-views).Live()) }).Should(gomega.Equal(2))
}

// Guards against a unit that was not sent and whose error loses its result code.
func TestNotRunKeepsCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &remoteStream{vm: "b"}
	g.Expect(s.notRunFinal(errors.New("x")).Code).To(gomega.Equal(result.PeerUnreachable))
	g.Expect(s.notRunFinal(result.New(result.TooLarge, "x")).Code).To(gomega.Equal(result.TooLarge))
}

func ExampleMesh() {
	a, err := New(Config{ID: "vm-a", DataCentre: "north", Listen: "127.0.0.1:0"})
	if err != nil {
		panic(err)
	}
	defer a.Close()
	b, err := New(Config{
		ID: "vm-b", DataCentre: "north", Listen: "127.0.0.1:0",
		HandleRequest: func(context.Context, string, Request) (Reply, error) {
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

// Guards against announcements of a new primary that miss a VM with which this one exchanges units.
func TestConnected(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startPair(t, newOwnerStream(runEcho))
	g.Expect(a.Stream("b").Run(testContext(t), work.Unit{}, func([]byte) error { return nil }).Code).To(gomega.Equal(result.OK))
	g.Expect(a.ConnectedVMs()).To(gomega.ConsistOf("b"))
	g.Expect(b.ConnectedVMs()).To(gomega.ConsistOf("a"))
}

// Guards against an event MemberSuspect for each VM of the platform's list whenever a VM starts: such a VM has the state
// suspect until its first heartbeat.
func TestUnheardVMIsNotReportedAsSuspected(t *testing.T) {
	g := gomega.NewWithT(t)
	log := &logs.Recorder{}
	a := startMesh(t, Config{ID: "a", Logger: log}, 0)
	a.Seed([]port.VM{{ID: "x", DataCentre: "dc0", PeerAddr: "127.0.0.1:1"}})
	g.Eventually(log.Events).WithTimeout(20 * time.Second).Should(gomega.ContainElement(event.MemberDead))
	g.Expect(log.Events()).NotTo(gomega.ContainElement(event.MemberSuspect))
}

// Guards against a writer goroutine that keeps running without messages. Its stack would be a quarter of the memory of a
// connection.
func TestWriterEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startMesh(t, Config{ID: "a"}, 0), startMesh(t, Config{ID: "b"}, 0)
	seedAndWait(t, a, b)
	g.Eventually(func() bool {
		conns := a.conns()
		return len(conns) > 0 && !slices.ContainsFunc(conns, func(c *conn) bool {
			c.queueMu.Lock()
			defer c.queueMu.Unlock()
			return c.writerRunning
		})
	}).WithTimeout(20 * time.Second).Should(gomega.BeTrue())
}

// Guards against a VM that starts while the platform's list is unavailable and cannot join. Connecting to the address
// of one VM must be enough to learn of all members.
func TestConnectToAddr(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newTestCA(t)
	a := startMesh(t, Config{ID: "a", TLS: ca.tlsConfig("a")}, 0)
	b := startMesh(t, Config{ID: "b", TLS: ca.tlsConfig("b")}, 0)
	far := startMesh(t, Config{ID: "far", TLS: ca.tlsConfig("far")}, 1)
	seedAndWait(t, a, b, far)
	c := startMesh(t, Config{ID: "c", TLS: ca.tlsConfig("c")}, 1)
	for range 2 {
		id, err := c.ConnectToAddr(testContext(t), a.Addr())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(id).To(gomega.Equal("a"))
	}
	g.Eventually(func() int { return a.connCount("c") }).WithTimeout(20*time.Second).
		Should(gomega.Equal(1), "the second ConnectToAddr must not add a connection")
	for _, m := range []*Mesh{a, b, far, c} {
		g.Eventually(func() []string { return m.View().Live() }).WithTimeout(20*time.Second).
			Should(gomega.Equal([]string{"a", "b", "c", "far"}), m.cfg.ID)
	}
}

// Guards against a second connection with a VM that has just connected: the membership must not hear of the VM, and dial it for a
// heartbeat, before its connection is registered.
func TestConnectionIsRegisteredBeforeItsVM(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startMesh(t, Config{ID: "a"}, 0), startMesh(t, Config{ID: "b"}, 0)
	ws, _, err := websocket.Dial(testContext(t), "ws://"+b.Addr()+webSocketPath, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := newConn(a, ws, "b", true)
	added := make(chan bool, 1)
	a.tableMu.Lock()
	unlock := sync.OnceFunc(a.tableMu.Unlock)
	defer unlock()
	go func() {
		added <- a.addConn(c, Hello{protocolVersion, member.Record{ID: "b", DataCentre: "dc0", Addr: b.Addr(), Incarnation: 1}})
	}()
	g.Eventually(func() *conn { return a.currentConn("b") }).Should(gomega.BeIdenticalTo(c))
	unlock()
	g.Eventually(added).Should(gomega.Receive(gomega.BeTrue()))
}

// Guards against a ConnectToAddr that accepts a host outside the deployment. The id is not known beforehand, so the CA
// and the DNS name in the certificate must be checked.
func TestConnectToAddrChecksCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, other := newTestCA(t), newTestCA(t)
	c := startMesh(t, Config{ID: "c", TLS: ca.tlsConfig("c")}, 0)
	for name, cfg := range map[string]Config{
		"another CA":         {ID: "a", TLS: other.tlsConfig("a")},
		"name of another VM": {ID: "a", TLS: ca.tlsConfig("b")},
		"no TLS":             {ID: "a"},
		"own id":             {ID: "c", TLS: ca.tlsConfig("c")},
	} {
		m := startMesh(t, cfg, 0)
		_, err := c.ConnectToAddr(testContext(t), m.Addr())
		g.Expect(err).To(gomega.HaveOccurred(), name)
		g.Expect(c.View().Live()).To(gomega.Equal([]string{"c"}), name)
		m.stop()
	}
	stranger := startMesh(t, Config{ID: "x", TLS: other.tlsConfig("x")}, 0)
	a := startMesh(t, Config{ID: "a", TLS: ca.tlsConfig("a")}, 0)
	_, _ = stranger.ConnectToAddr(testContext(t), a.Addr()) // with TLS 1.3 the client may see the refusal only after its handshake
	g.Expect(isConnected(a, "x")).To(gomega.BeFalse())
}

// Guards against a VM that announces its listening address instead of the configured address, and against upgrade requests
// without the header that names the VM for a proxy.
func TestAnnouncedAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	announced, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = announced.Close() })
	a := startMesh(t, Config{ID: "a", Addr: announced.Addr().String()}, 1)
	b := startMesh(t, Config{ID: "b"}, 1)
	headers := make(chan string, 1)
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: a.listener.Addr().String()})
		select {
		case headers <- r.In.Header.Get(VMHeader):
		default:
		}
	}}
	go func() { _ = http.Serve(announced, proxy) }() // ends with the listener
	g.Expect(a.Addr()).To(gomega.Equal(announced.Addr().String()))
	b.Seed(platformVMs(a))
	c, err := b.connectionTo(testContext(t), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.isOpen()).To(gomega.BeTrue())
	g.Expect(<-headers).To(gomega.Equal("b"))
	b.tableMu.Lock()
	record, _ := b.table.Record("a")
	b.tableMu.Unlock()
	g.Expect(record.Incarnation).NotTo(gomega.BeZero()) // set by the Hello
	g.Expect(record.Addr).To(gomega.Equal(announced.Addr().String()))
}

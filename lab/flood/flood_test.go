package flood

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The settings of the VM, which are also the bounds that the tests check, and the number of callers of a crowd. 200 of the descriptors
// are for files, the others for sockets and pipes. The crowd is smaller than the number of sockets.
const (
	memoryMB    = 128
	descriptors = 500
	maxSockets  = descriptors - 200
	crowd       = 200
)

const (
	mebibyte = 1 << 20
	// maxMessage is the length of a legal message, line end included.
	maxMessage = mebibyte
	// half is the part of a message that the callers send that stop half-way.
	half = 900 << 10
)

var program = sync.OnceValues(func() (string, error) { return build() })

// play starts a deployment, opens an ordinary session, and runs f, which acts as many callers at once. Then the process must still run,
// must have kept its bounds, and must answer a request of the ordinary session (opened anew if it was closed, as callers do) and one of a
// new session, while the connections that f has left open are still there.
func play(t *testing.T, f func(s *Site)) {
	g := gomega.NewWithT(t)
	path, err := program()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := Start(t.TempDir(), path, memoryMB, descriptors)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer s.Close()
	var ordinary *caller
	g.Eventually(func() (err error) {
		ordinary, err = s.open()
		if err != nil {
			return err
		}
		if err = ordinary.ask("WRITE large " + strings.Repeat("d", maxMessage-100)); err != nil {
			_ = ordinary.Close()
		}
		return err
	}).WithTimeout(time.Minute).Should(gomega.Succeed(), "an ordinary session before the crowd")
	before, _ := s.Peak()
	f(s)
	request := func(c *caller) error {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		return c.ask("READ ordinary")
	}
	g.Eventually(func() error {
		err := request(ordinary)
		if err != nil {
			_ = ordinary.Close()
			if c, e := s.open(); e == nil {
				ordinary = c
			}
		}
		return err
	}).WithTimeout(time.Minute).WithPolling(100*time.Millisecond).Should(gomega.Succeed(), "a request of the ordinary session")
	g.Eventually(func() error {
		c, err := s.open()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		return request(c)
	}).WithTimeout(time.Minute).WithPolling(100*time.Millisecond).Should(gomega.Succeed(), "a request of a new session")
	memory, sockets := s.Peak()
	t.Logf("memory %d MB, before the crowd %d MB; %d sockets", memory>>20, before>>20, sockets)
	g.Expect(s.Alive()).To(gomega.BeTrue(), "the process lives")
	g.Expect(memory>>20).To(gomega.BeNumerically("<=", memoryMB), "memory in MB")
	g.Expect(sockets).To(gomega.BeNumerically("<=", maxSockets), "sockets and pipes")
}

// each runs f for each caller of a crowd of n, all at the same time, and waits until all have returned.
func each(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// sessions opens n sessions one after the other. Those that are refused are left out.
func (s *Site) sessions(n int) []*caller {
	var all []*caller
	for range n {
		if c, err := s.open(); err == nil {
			all = append(all, c)
		}
	}
	return all
}

func closeAll(callers []*caller) {
	for _, c := range callers {
		_ = c.Close()
	}
}

// query returns a legal message of length n that reads an item.
func query(n int) string {
	const start, end = "QUERY 7 READ ", "\r\n"
	return start + strings.Repeat("i", n-len(start)-len(end)) + end
}

// pieces writes text in pieces of n bytes.
func pieces(w io.Writer, text string, n int) error {
	for len(text) > 0 {
		k := min(n, len(text))
		if _, err := io.WriteString(w, text[:k]); err != nil {
			return err
		}
		text = text[k:]
	}
	return nil
}

// Guards against running out of memory by messages of legal size that arrive at the same time, each in one piece or in small pieces.
func TestLegalMessagesAtOnce(t *testing.T) {
	for _, size := range []int{maxMessage, 4 << 10} {
		t.Run(fmt.Sprintf("pieces of %d", size), func(t *testing.T) {
			play(t, func(s *Site) {
				callers, text := s.sessions(crowd), query(maxMessage)
				defer closeAll(callers)
				each(len(callers), func(i int) {
					_ = callers[i].SetDeadline(time.Now().Add(20 * time.Second))
					for range 2 {
						if pieces(callers[i], text, size) != nil || callers[i].answer() != nil {
							return
						}
					}
				})
			})
		})
	}
}

// Guards against limits that refuse a single legal message of the greatest length while nothing else happens.
func TestGreatestMessageInCalm(t *testing.T) {
	play(t, func(s *Site) {
		g := gomega.NewWithT(t)
		for _, text := range []string{"READ ", "WRITE i ", "SET v ", "PREPARE p READ "} {
			c, err := s.open()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			text += strings.Repeat("c", maxMessage-len("QUERY 1 ")-len(text)-len("\r\n"))
			g.Expect(c.ask(text)).To(gomega.Succeed())
			if strings.HasPrefix(text, "PREPARE") {
				g.Expect(c.ask("EXEC p i")).To(gomega.Succeed())
			}
			g.Expect(c.Close()).To(gomega.Succeed())
		}
	})
}

// Guards against running out of memory by values and prepared statements of sessions, all set by messages of legal size.
func TestSessionState(t *testing.T) {
	for _, format := range []string{"SET v%d %s", "PREPARE p%d READ %s"} {
		t.Run(strings.Fields(format)[0], func(t *testing.T) {
			play(t, func(s *Site) {
				callers, value := s.sessions(crowd), strings.Repeat("s", 64<<10)
				defer closeAll(callers)
				each(len(callers), func(i int) {
					_ = callers[i].SetDeadline(time.Now().Add(20 * time.Second))
					for n := range 32 {
						if callers[i].ask(fmt.Sprintf(format, n, value)) != nil {
							return
						}
					}
				})
			})
		})
	}
}

// Guards against sessions that keep the whole message that opened them.
func TestLongStarts(t *testing.T) {
	play(t, func(s *Site) {
		callers := make([]*caller, crowd)
		t.Cleanup(func() {
			for _, c := range callers {
				if c != nil {
					_ = c.Close()
				}
			}
		})
		start := "START " + database + " "
		start += strings.Repeat("u", maxMessage-len(start)-2) + "\r\n"
		for i := range callers { // One after the other, so that each is served while no other is.
			c, err := s.connect()
			if err != nil {
				continue
			}
			callers[i] = c
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(c, start); err == nil {
				_, _ = c.r.ReadString('\n')
			}
		}
	})
}

// Guards against running out of memory by messages far over the limit.
func TestMessagesOverTheLimit(t *testing.T) {
	play(t, func(s *Site) {
		callers, part := s.sessions(crowd), strings.Repeat("o", 64<<10)
		defer closeAll(callers)
		each(len(callers), func(i int) {
			_ = callers[i].SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(callers[i], "QUERY 7 READ ")
			for range 8 * mebibyte / len(part) {
				if _, err := io.WriteString(callers[i], part); err != nil {
					return
				}
			}
		})
	})
}

// Guards against running out of memory by requests that are sent ahead on connections whose callers do not read the answers.
func TestMessagesSentAhead(t *testing.T) {
	play(t, func(s *Site) {
		callers := s.sessions(crowd)
		t.Cleanup(func() { closeAll(callers) })
		text := strings.Repeat("QUERY 7 READ large\r\n", 400_000)
		each(len(callers), func(i int) {
			_ = callers[i].SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(callers[i], text)
		})
	})
}

// trickle writes (if w is true) or reads one byte at a time on the connections until the end of the test.
func trickle(t *testing.T, callers []*caller, write bool) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	t.Cleanup(func() {
		close(done)
		closeAll(callers)
		wg.Wait()
	})
	for _, c := range callers {
		_ = c.SetDeadline(time.Time{})
		wg.Go(func() {
			b := []byte{'t'}
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				var err error
				if write {
					_, err = c.Write(b)
				} else {
					_, err = c.Read(b)
				}
				if err != nil {
					return
				}
			}
		})
	}
}

// Guards against running out of memory by many callers that send their messages very slowly.
func TestSlowSenders(t *testing.T) {
	play(t, func(s *Site) {
		callers := s.sessions(crowd)
		each(len(callers), func(i int) {
			_ = callers[i].SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(callers[i], query(maxMessage)[:half])
		})
		trickle(t, callers, true)
		time.Sleep(2 * time.Second)
	})
}

// Guards against running out of memory by many callers that read their answers very slowly.
func TestSlowReaders(t *testing.T) {
	play(t, func(s *Site) {
		callers := s.sessions(crowd)
		each(len(callers), func(i int) {
			_ = callers[i].SetDeadline(time.Now().Add(5 * time.Second))
			_ = pieces(callers[i], strings.Repeat("QUERY 7 READ large\r\n", 8), 1<<10)
		})
		trickle(t, callers, false)
		time.Sleep(2 * time.Second)
	})
}

// Guards against running out of memory by many callers that stop half-way: in the message that opens the session, in a request, and in a
// request of a transaction.
func TestCrowdStopsHalfWay(t *testing.T) {
	for name, f := range map[string]func(s *Site) *caller{
		"start": func(s *Site) *caller {
			c, err := s.connect()
			if err != nil {
				return nil
			}
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(c, "START "+strings.Repeat("s", half))
			return c
		},
		"message": func(s *Site) *caller {
			c, err := s.open()
			if err != nil {
				return nil
			}
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(c, query(maxMessage)[:half])
			return c
		},
		"transaction": func(s *Site) *caller {
			c, err := s.open()
			if err != nil {
				return nil
			}
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if c.ask("BEGIN READ") == nil {
				_ = c.ask("READ ordinary")
			}
			_, _ = io.WriteString(c, query(maxMessage)[:half])
			return c
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *Site) {
				callers := make([]*caller, crowd)
				t.Cleanup(func() {
					for _, c := range callers {
						if c != nil {
							_ = c.Close()
						}
					}
				})
				each(crowd, func(i int) { callers[i] = f(s) })
			})
		})
	}
}

// Guards against sessions that are opened and not used, and shut out all later callers.
func TestTooManySessions(t *testing.T) {
	play(t, func(s *Site) {
		callers := s.sessions(3 * crowd)
		time.Sleep(2 * time.Second) // until the statements of callers that have disconnected have ended
		callers = append(callers, s.sessions(crowd/10)...)
		t.Cleanup(func() { closeAll(callers) })
	})
}

// Guards against running out of descriptors by connections, of which half never open a session.
func TestTooManyConnections(t *testing.T) {
	play(t, func(s *Site) {
		var callers []*caller
		t.Cleanup(func() { closeAll(callers) })
		for i := range 3 * crowd {
			open := s.open
			if i%2 == 0 {
				open = s.connect
			}
			if c, err := open(); err == nil {
				callers = append(callers, c)
			}
		}
	})
}

// Guards against open sessions that take more memory, for instance as the stack of the goroutine that waits for a request no longer fits
// 4 KiB. Measured: 8.5 KB a session without bounds, 9.0 KB with them, 13.1 KB with a stack of 8 KiB.
func TestIdleSessionsAreCheap(t *testing.T) {
	const sessions, maxBytesEach = 4000, 11_000
	g := gomega.NewWithT(t)
	path, err := program()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := Start(t.TempDir(), path, 1024, 2*sessions)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer s.Close()
	before, _ := s.resident()
	callers := s.sessions(sessions)
	defer closeAll(callers)
	g.Expect(callers).To(gomega.HaveLen(sessions))
	after, _ := s.resident()
	each := (after - before) / sessions
	t.Logf("%d bytes a session", each)
	g.Expect(each).To(gomega.BeNumerically("<=", maxBytesEach))
}

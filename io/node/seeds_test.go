package node

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/config"
	"verbenagate/io/logs"
	"verbenagate/lab/fault"
)

// logBuffer is a log output that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// startWithoutPlatform starts a VM whose platform URL does not answer.
func startWithoutPlatform(t *testing.T, id string, seeds ...string) (*Node, *logBuffer) {
	cfg := config.Default()
	cfg.VM = config.VM{ID: id, DataCentre: "north"}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://127.0.0.1:1"
	cfg.Peers.Seeds = seeds
	out := &logBuffer{}
	log, err := logs.New(out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n, out
}

// Guards against a VM that stops contacting seeds after none answered, that stays alone because a dead seed precedes a live
// one, that contacts seeds only at its start, or that logs every failed round.
func TestSeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	const dead = "127.0.0.1:1"
	live := func(n *Node) func() []string { return func() []string { return n.mesh.View().Live() } }
	const limit = 30 * time.Second

	alone, out := startWithoutPlatform(t, "alone", dead)
	g.Eventually(func() int { return out.count("no seed answers") }, limit).Should(gomega.Equal(1))
	a, _ := startWithoutPlatform(t, "a")
	link, err := fault.New(a.PeerAddr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(link.Close)
	b, _ := startWithoutPlatform(t, "b", dead, link.Addr())
	g.Eventually(live(b), limit).Should(gomega.Equal([]string{"a", "b"}))
	g.Eventually(live(a), limit).Should(gomega.Equal([]string{"a", "b"}))

	a.Close()
	g.Eventually(live(b), limit).Should(gomega.Equal([]string{"b"}))
	c, _ := startWithoutPlatform(t, "c")
	link.SetTarget(c.PeerAddr())
	g.Eventually(live(b), limit).Should(gomega.Equal([]string{"b", "c"}))
	g.Eventually(live(c), limit).Should(gomega.Equal([]string{"b", "c"}))

	time.Sleep(2 * seedInterval) // more rounds
	g.Expect(live(alone)()).To(gomega.Equal([]string{"alone"}))
	g.Expect(out.count("no seed answers")).To(gomega.Equal(1))
}

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

// lines is a log that a test reads while it is written.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// withoutPlatform starts a VM at which no platform answers.
func withoutPlatform(t *testing.T, id string, seeds ...string) (*Node, *lines) {
	cfg := config.Default()
	cfg.VM = config.VM{ID: id, DataCentre: "north"}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://127.0.0.1:1"
	cfg.Peers.Seeds = seeds
	out := &lines{}
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

// Guards against a VM that gives up on its seeds when none answers at first, that stays alone with a dead seed before a
// live one, that looks for seeds only at its start, or that fills the log while it waits.
func TestSeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	const dead = "127.0.0.1:1"
	live := func(n *Node) func() []string { return func() []string { return n.mesh.View().Live() } }
	const limit = 30 * time.Second

	alone, out := withoutPlatform(t, "alone", dead)
	g.Eventually(func() int { return out.count("no seed answers") }, limit).Should(gomega.Equal(1))
	a, _ := withoutPlatform(t, "a")
	link, err := fault.New(a.PeerAddr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(link.Close)
	b, _ := withoutPlatform(t, "b", dead, link.Addr())
	g.Eventually(live(b), limit).Should(gomega.Equal([]string{"a", "b"}))
	g.Eventually(live(a), limit).Should(gomega.Equal([]string{"a", "b"}))

	a.Close()
	g.Eventually(live(b), limit).Should(gomega.Equal([]string{"b"}))
	c, _ := withoutPlatform(t, "c")
	link.SetTarget(c.PeerAddr())
	g.Eventually(live(b), limit).Should(gomega.Equal([]string{"b", "c"}))
	g.Eventually(live(c), limit).Should(gomega.Equal([]string{"b", "c"}))

	time.Sleep(2 * seedsInterval) // more rounds
	g.Expect(live(alone)()).To(gomega.Equal([]string{"alone"}))
	g.Expect(out.count("no seed answers")).To(gomega.Equal(1))
}

package proof

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/logs"
)

// Without flags the seeds 2 and 3 run: of 1 and 2, both choose `primary`.
const firstSeed, seedCount = 2, 2

var (
	seeds  = flag.Int("proof.seeds", seedCount, "number of seeds of randomised runs")
	first  = flag.Uint64("proof.first", firstSeed, "first seed")
	until  = flag.Duration("proof.time", 0, "go on with further seeds for this time")
	faulty = flag.Duration("proof.length", 5*time.Second, "time with faults in one randomised run")
	level  = flag.String("proof.log", "error", "least level of the VMs' log lines")
)

func open(t *testing.T) *logs.Log {
	t.Helper()
	log, err := logs.New(os.Stderr, "console", *level)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// Guards against a broken promise under several faults at once.
func TestRandom(t *testing.T) {
	begin := time.Now()
	for n := 0; n < *seeds || time.Since(begin) < *until; n++ {
		seed := *first + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { random(t, seed, Options{VMs: 4}) })
	}
}

// Guards against a broken promise under faults that include cuts of whole data centres and faults between VMs.
func TestRandomLinks(t *testing.T) {
	begin := time.Now()
	for n := 0; n < *seeds || time.Since(begin) < *until; n++ {
		seed := *first + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { random(t, seed, Options{VMs: 6, Links: true}) })
	}
}

func random(t *testing.T, seed uint64, o Options) {
	g := gomega.NewWithT(t)
	o.Length, o.Servers, o.Rate, o.Log = *faulty, 3, 200, open(t)
	res, err := Run(context.Background(), seed, o)
	t.Log(Choose(seed))
	for _, f := range o.schedule(seed) {
		t.Log(f)
	}
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("looked %v, accepted changes %d, changes of term %d, count %v", res.Audit.Looked, res.Accepted, res.Changes,
		res.Load.Count)
	g.Expect(res.Audit.Findings).To(gomega.BeEmpty())
}

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

// The default seeds are 2 and 3, which use different acknowledgement modes; seeds 1 and 2 both choose `primary`.
const firstSeed, seedCount = 2, 2

var (
	seedsFlag  = flag.Int("proof.seeds", seedCount, "number of seeds of randomised runs")
	firstFlag  = flag.Uint64("proof.first", firstSeed, "first seed")
	timeFlag   = flag.Duration("proof.time", 0, "start further seeds until this time has passed")
	lengthFlag = flag.Duration("proof.length", 5*time.Second, "length of the time with faults in one randomised run")
	logFlag    = flag.String("proof.log", "error", "minimum level of the VMs' log lines")
)

func openLog(t *testing.T) *logs.Log {
	t.Helper()
	log, err := logs.New(os.Stderr, "console", *logFlag)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// Guards against promises to callers that are broken only while several faults overlap. Each seed stages other faults.
func TestRandom(t *testing.T) {
	begin := time.Now()
	for n := 0; n < *seedsFlag || time.Since(begin) < *timeFlag; n++ {
		seed := *firstFlag + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed, Options{VMs: 4}) })
	}
}

// Guards against promises to callers that are broken only under overlapping faults of which some isolate a whole data centre or
// affect the links between VMs.
func TestRandomLinks(t *testing.T) {
	begin := time.Now()
	for n := 0; n < *seedsFlag || time.Since(begin) < *timeFlag; n++ {
		seed := *firstFlag + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, seed, Options{VMs: 6, Links: true}) })
	}
}

func runSeed(t *testing.T, seed uint64, o Options) {
	g := gomega.NewWithT(t)
	o.Length, o.Servers, o.Rate, o.Log = *lengthFlag, 3, 200, openLog(t)
	res, err := Run(context.Background(), seed, o)
	t.Log(Choose(seed))
	for _, f := range o.schedule(seed) {
		t.Log(f)
	}
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("checked %v, accepted configuration changes %d, term changes %d, count %v", res.Audit.Looked,
		res.AcceptedChanges, res.TermChanges, res.Load.Count)
	g.Expect(res.Audit.Findings).To(gomega.BeEmpty())
}

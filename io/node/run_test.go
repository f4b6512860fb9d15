package node

import (
	"context"
	"runtime/debug"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/config"
)

// Guards against a garbage collector setting that Run does not apply to the process.
func TestRunSetsCollector(t *testing.T) {
	g := gomega.NewWithT(t)
	before := debug.SetGCPercent(100)
	defer debug.SetGCPercent(before)
	cfg := config.Default()
	cfg.VM = config.VM{ID: "a", DataCentre: "dc0"}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://127.0.0.1:1"
	cfg.Log.Level = "error"
	cfg.Limits.GCPercent = 70
	cfg.Timing.DrainLimit = time.Second
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(Run(ctx, cfg)).To(gomega.Succeed())
	g.Expect(debug.SetGCPercent(100)).To(gomega.Equal(70))
}

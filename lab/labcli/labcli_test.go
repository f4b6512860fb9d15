package labcli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// startCommand starts a command and reads its first two lines. It returns the address and the URL of the control interface from
// them, and a function that stops the command and returns its exit code.
func startCommand(t *testing.T, args ...string) (addr, control string, stop func() int) {
	t.Helper()
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- New(w, w).Run(ctx, args)
		_ = w.Close()
	}()
	lines := bufio.NewScanner(r)
	g.Expect(lines.Scan()).To(gomega.BeTrue())
	addr = lines.Text()
	g.Expect(lines.Scan()).To(gomega.BeTrue())
	control = strings.TrimPrefix(lines.Text(), "control ")
	return addr, control, func() int {
		cancel()
		for lines.Scan() {
			continue
		}
		return <-code
	}
}

func post(t *testing.T, url string) (int, string) {
	t.Helper()
	res, err := http.Post(url, "", nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// Guards against a stand-in server whose address tests of real processes cannot read, or in which they cannot inject faults, or that
// does not accept load or does not stop.
func TestEndpointAndLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	config := filepath.Join(dir, "endpoint.yaml")
	g.Expect(os.WriteFile(config, []byte("primary: true\nload_schema: true\nopen_delay: 1ms\n"), 0o600)).To(gomega.Succeed())
	addr, control, stop := startCommand(t, "endpoint", "--config", config)
	code, body := post(t, control+"/faults/leaving?value=true")
	g.Expect(code).To(gomega.Equal(http.StatusOK))
	g.Expect(body).To(gomega.ContainSubstring(`"Leaving":true`))
	for _, path := range []string{"lag?value=soon", "lag"} {
		code, _ = post(t, control+"/faults/"+path)
		g.Expect(code).To(gomega.Equal(http.StatusBadRequest))
	}
	code, _ = post(t, control+"/faults/fire")
	g.Expect(code).To(gomega.Equal(http.StatusNotFound))

	profile, out := filepath.Join(dir, "profile.yaml"), filepath.Join(dir, "load.json")
	g.Expect(os.WriteFile(profile, []byte("duration: 300ms\nrate: 100\ncallers: 3\npay: 0.5\n"), 0o600)).To(gomega.Succeed())
	g.Expect(New(io.Discard, io.Discard).Run(context.Background(), []string{
		"load", profile, "--vm", addr, "--database", "any", "--user", "verbenagate", "--out", out,
	})).To(gomega.Equal(exitOK))
	result, err := os.ReadFile(out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(result)).To(gomega.ContainSubstring(`"hdr"`))

	for _, name := range []string{"freeze", "unfreeze", "crash", "restart"} {
		code, body = post(t, control+"/faults/"+name)
		g.Expect(code).To(gomega.Equal(http.StatusOK), body)
	}
	g.Expect(stop()).To(gomega.Equal(exitOK))
}

// Guards against faults of the platform that cannot be injected through the control interface of its process.
func TestPlatform(t *testing.T) {
	g := gomega.NewWithT(t)
	_, control, stop := startCommand(t, "platform", "--list-lag", "1s")
	for _, f := range []string{"down?value=true", "delay?value=10ms", "lose-answers?value=2", "loss?value=0.5", "list-lag?value=1s"} {
		code, body := post(t, control+"/faults/"+f)
		g.Expect(code).To(gomega.Equal(http.StatusOK), f+": "+body)
	}
	g.Expect(stop()).To(gomega.Equal(exitOK))
}

// fakeBuild writes a program that accepts the arguments of `verbenalab run`, appends its name and seed to the file order and writes
// a result with the given median read latency.
func fakeBuild(t *testing.T, dir, name string, p50Micros int) string {
	t.Helper()
	path := filepath.Join(dir, name)
	text := fmt.Sprintf(`#!/bin/sh
echo "%s $4" >> %s
echo '{"name":"pairs","seed":'$4',"stages":[{"name":"steady","loads":[{"service":"dues","summary":{"latency":{"all":{"read":{"count":100,"p50_us":%d}}}}}]}]}' > "$6"
`, name, filepath.Join(dir, "order"), p50Micros)
	gomega.NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o700)).To(gomega.Succeed())
	return path
}

// Guards against paired runs that favour one build by always running it first, mix the results of two calls, or hide a regression.
func TestPairs(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	fast, slow := fakeBuild(t, dir, "fast", 1000), fakeBuild(t, dir, "slow", 2000)
	pairs := func(oldBuild, newBuild, out string) int {
		return New(io.Discard, io.Discard).Run(context.Background(), []string{
			"pairs", "../../_fixtures/experiments/pairs.yaml", "--old", oldBuild, "--new", newBuild, "--count", "3", "--seed", "7",
			"--out", filepath.Join(dir, out), "--html", filepath.Join(dir, out+".html"),
		})
	}
	g.Expect(pairs(fast, slow, "worse")).To(gomega.Equal(exitFailed))
	order, err := os.ReadFile(filepath.Join(dir, "order"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(order)).To(gomega.Equal("fast 7\nslow 7\nslow 8\nfast 8\nfast 9\nslow 9\n"))
	g.Expect(filepath.Join(dir, "worse.html")).To(gomega.BeARegularFile())
	g.Expect(pairs(fast, fast, "same")).To(gomega.Equal(exitOK))
	g.Expect(pairs(slow, fast, "better")).To(gomega.Equal(exitOK))
	g.Expect(pairs(fast, fast, "same")).To(gomega.Equal(exitUsage))
	g.Expect(pairs(fast, filepath.Join(dir, "none"), "missing")).To(gomega.Equal(exitFailed))
}

// Guards against usage errors that end with another exit code than scripts expect.
func TestExitCodes(t *testing.T) {
	for _, args := range [][]string{{"dance"}, {"run", "none.yaml"}, {"report", "none.json"}, {"compare", "a", "b"}} {
		code := New(io.Discard, io.Discard).Run(context.Background(), args)
		gomega.NewWithT(t).Expect(code).To(gomega.Equal(exitUsage), strings.Join(args, " "))
	}
}

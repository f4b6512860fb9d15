package site

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/onsi/gomega"

	"verbenagate/io/admin"
	"verbenagate/io/logs"
	"verbenagate/io/node"
	"verbenagate/lab/load"
)

// logBuffer collects log output. It may be used by several goroutines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// secrets returns the values that no VM may write, by description: passwords, the parts of verifiers, private keys and a cancel key.
func secrets(g gomega.Gomega, s *Site, k keyring, c *pgconn.PgConn) map[string]string {
	const refused = "refused-52aa91"
	all := map[string]string{
		"caller's password": Password, "server's password": loginPassword, "refused password": refused,
		"cancel key": hex.EncodeToString(c.SecretKey()),
	}
	for i, caller := range s.specs["dues"].Callers {
		for j, part := range strings.FieldsFunc(caller.Verifier, func(r rune) bool { return strings.ContainsRune("$:", r) })[2:] {
			all[fmt.Sprintf("part %d of verifier %d", j, i)] = part
		}
	}
	files, err := filepath.Glob(filepath.Join(k.dir, "*", "*.key"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).NotTo(gomega.BeEmpty())
	for _, f := range files {
		data, err := os.ReadFile(f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		block, _ := pem.Decode(data)
		all["key "+f] = strings.Split(string(data), "\n")[1]
		all["bytes of key "+f] = string(block.Bytes)
	}
	_, err = pgconn.Connect(context.Background(), fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=require", User(0), refused,
		s.Nodes()[0].CallerAddr()))
	g.Expect(err).To(gomega.HaveOccurred())
	return all
}

// Guards against passwords, verifiers and keys in the dump or in the log at level debug, and against a dump that lacks a part of
// the state.
func TestDumpIsCompleteWithoutSecrets(t *testing.T) {
	g := gomega.NewWithT(t)
	var buf logBuffer
	log, err := logs.New(&buf, logs.FormatJSON, "debug")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	k := keyring{g, t.TempDir()}
	for _, id := range []string{"vm1", "vm2", "vm3"} {
		g.Expect(k.authority("old").VM(k.dir, id, nil, time.Now(), time.Hour)).To(gomega.Succeed())
	}
	k.writeTrusted("old")
	spec := smallSpec()
	spec.Adjust, spec.OperatorTLS = k.adjust, k.operatorTLS("old")
	s, err := New(t.Context(), spec, log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Close)
	c, err := k.connect(t.Context(), s.Nodes()[0], "vm1", "old")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close(context.Background()) }()
	g.Expect(c.ExecParams(t.Context(), load.BrowseSQL, nil, nil, nil, nil).Read().Err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Exec(t.Context(), "BEGIN").Close()).To(gomega.Succeed())
	secretTexts := secrets(g, s, k, c)

	operator, err := admin.Dial(s.Nodes()[0].OperatorAddr(), admin.WithTLS(s.spec.OperatorTLS))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = operator.Close() }()
	bad := s.specs["dues"]
	bad.Servers = nil
	_, _, err = operator.Apply(t.Context(), bad, 1, "ann")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() (all []uint64) {
		for _, n := range s.Nodes() {
			for _, h := range n.State().Hosted {
				all = append(all, h.Reserved)
			}
		}
		return all
	}, "10s").Should(gomega.HaveEach(gomega.BeNumerically(">", 1)), "every host has reserved a term")
	var states []node.State
	var dumped bytes.Buffer
	for _, n := range s.Nodes() {
		body, err := json.Marshal(n.State())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = dumped.Write(body)
		g.Expect(n.State().WriteTable(&dumped)).To(gomega.Succeed())
		states = append(states, n.State())
	}
	for what, secret := range secretTexts {
		g.Expect(strings.Contains(dumped.String(), secret)).To(gomega.BeFalse(), "the dump contains the %s", what)
		g.Expect(strings.Contains(buf.String(), secret)).To(gomega.BeFalse(), "the log contains the %s", what)
	}
	g.Expect(buf.String()).To(gomega.ContainSubstring(`"event":200`), "the refused caller is logged")
	expectComplete(g, states)
}

// expectComplete checks that the dumps of all VMs together contain every part of the state.
func expectComplete(g gomega.Gomega, states []node.State) {
	owned := 0
	for _, s := range states {
		g.Expect(s.Revision).To(gomega.BeNumerically(">", 0))
		g.Expect(s.Services).To(gomega.Equal([]string{"dues"}))
		g.Expect(s.Members).To(gomega.HaveLen(3))
		for _, h := range s.Hosted {
			owned += len(h.Owned)
			g.Expect(h.Term).To(gomega.BeNumerically(">", 0))
			g.Expect(h.Watched).To(gomega.HaveLen(3))
		}
	}
	g.Expect(owned).To(gomega.Equal(3), "each server has one owner")
	g.Expect(states[0].Sessions).To(gomega.HaveLen(1))
	g.Expect(states[0].Sessions[0].Status).To(gomega.Equal("open"))
}

// Guards against a log level that an operator sets on a running VM without effect on the VM's log.
func TestLogLevelOfRunningVM(t *testing.T) {
	g := gomega.NewWithT(t)
	var buf logBuffer
	log, err := logs.New(&buf, logs.FormatJSON, "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := New(t.Context(), smallSpec(), log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Close)
	c, err := admin.Dial(s.Nodes()[0].OperatorAddr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(buf.String()).To(gomega.BeEmpty())
	g.Expect(c.SetLogLevel(t.Context(), "admin", "info")).To(gomega.Succeed())
	_, err = c.VMs(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(buf.String()).To(gomega.And(gomega.ContainSubstring(`"method":"list_vms"`), gomega.ContainSubstring(`"event":1000`)))
	level, layers, err := c.LogLevels(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(level).To(gomega.Equal("error"))
	g.Expect(layers["admin"]).To(gomega.Equal(logs.Switch("info")))
}

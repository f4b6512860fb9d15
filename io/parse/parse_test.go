package parse

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/onsi/gomega"

	"verbenagate/core/stmt"
)

var effectSuffixes = map[stmt.Effect]string{
	stmt.EffectNone: "", stmt.EffectPin: " pin", stmt.EffectReset: " reset", stmt.EffectRefused: " refused",
}

// Guards against wrong classifications: a statement is routed to a replica although it may write, leaves state on a
// server connection that callers share, or runs although verbenagate cannot support it. Each line of a command's input is
// one text.
func TestStatements(t *testing.T) {
	p := New()
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				infos, err := p.Parse(line)
				if err != nil {
					return err.Error()
				}
				var parts []string
				for _, i := range infos {
					s := i.Class().String() + effectSuffixes[i.Effect()]
					if len(i.Tables()) > 0 {
						s += " [" + strings.Join(i.Tables(), " ") + "]"
					}
					if i.Reason() != "" {
						s += " (" + i.Reason() + ")"
					}
					parts = append(parts, s)
				}
				fmt.Fprintf(&b, "%s\n", strings.Join(parts, "; "))
			}
			return b.String()
		})
	})
}

// Guards against fingerprints that differ between statements which differ only in constants, or agree for different
// statements. Service times are learned per fingerprint, so they would be learned separately for each constant, or jointly
// for different statements.
func TestFingerprint(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New()
	fingerprintOf := func(text string) uint64 {
		infos, _ := p.Parse(text)
		return infos[len(infos)-1].Fingerprint()
	}
	g.Expect(fingerprintOf("SELECT a FROM t WHERE b = 1")).To(gomega.Equal(fingerprintOf("SELECT a FROM t WHERE b = 22")))
	g.Expect(fingerprintOf("SELECT a FROM t WHERE b = 1")).To(gomega.Equal(fingerprintOf("SELECT a FROM t WHERE b = $1")))
	g.Expect(fingerprintOf("SELECT 1; SELECT a FROM t WHERE b = 1")).
		To(gomega.Equal(fingerprintOf("SELECT a FROM t WHERE b = 2")))
	g.Expect(fingerprintOf("SELECT a FROM t")).NotTo(gomega.Equal(fingerprintOf("SELECT c FROM t")))
}

// Guards against a cache that exceeds its limits or stores texts longer than maxCachedTextBytes.
func TestCacheBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(WithCache(64<<10, 64))
	for i := range 1000 {
		_, err := p.Parse(fmt.Sprintf("SELECT a%d FROM t", i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	entries, bytes := p.cache.usage()
	g.Expect(entries).To(gomega.And(gomega.BeNumerically(">", 16), gomega.BeNumerically("<=", 64)))
	g.Expect(bytes).To(gomega.BeNumerically("<=", 64<<10))

	q := New()
	_, err := q.Parse("SELECT '" + strings.Repeat("x", maxCachedTextBytes) + "'")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	entries, bytes = q.cache.usage()
	g.Expect([]int{entries, bytes}).To(gomega.Equal([]int{0, 0}))
}

// Guards against a text that crashes the wrapper of the C parser, yields no description, or yields another number of
// descriptions when it comes from the cache.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"", ";", "SELECT 1", "SELECT 1; SELECT 2", "COPY t FROM stdin", "BEGIN READ ONLY", "SELECT $1::int", "EXPLAIN",
		"EXPLAIN ANALYZE SELECT 1", "SET a = b", "SELECT f(", "\x00", "ä; ö", "SELECT OPERATOR(a.+) 1",
	} {
		f.Add(s)
	}
	p := New()
	f.Fuzz(func(t *testing.T, text string) {
		first, err := p.Parse(text)
		if err != nil || len(first) == 0 {
			t.Fatalf("Parse(%q) = %v, %v", text, first, err)
		}
		second, _ := p.Parse(text)
		if len(first) != len(second) {
			t.Fatalf("cached description of %q differs", text)
		}
	})
}

func BenchmarkCacheHit(b *testing.B) {
	p := New()
	const text = "SELECT plot, owner FROM plots WHERE plot = $1"
	_, _ = p.Parse(text)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = p.Parse(text)
	}
}

func BenchmarkCacheMiss(b *testing.B) {
	p := New(WithCache(0, 0))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = p.Parse("SELECT plot, owner FROM plots WHERE plot = $1")
	}
}

func Example() {
	infos, _ := New().Parse("SELECT dues FROM members; UPDATE members SET dues = 0")
	for _, i := range infos {
		fmt.Println(i.Class(), i.Tables())
	}
	// Output:
	// read [members]
	// write [members]
}

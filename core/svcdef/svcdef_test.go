package svcdef_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

const verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$" +
	"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

var noon = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func plots() svcdef.Spec {
	return svcdef.Spec{
		Name: "plots", Database: "plots", Login: svcdef.LoginSpec{User: "gate", Password: "secret"},
		Servers: []svcdef.ServerSpec{{Address: "10.1.0.1:5432", DataCentre: "a", Slots: 5, Connections: 35}},
		Callers: []svcdef.CallerSpec{{User: "clerk", Verifier: verifier}},
	}
}

func ExampleValidate() {
	spec := svcdef.Spec{Name: "plots", Database: "plots", Login: svcdef.LoginSpec{User: "gate"}}
	spec.Servers = []svcdef.ServerSpec{{Address: "db1:5432", DataCentre: "a", Slots: 5, Connections: 8}}
	for _, p := range svcdef.Validate(spec) {
		fmt.Println(p)
	}
	// Output:
	// servers[0].address: "db1:5432" must be IP:port; names are not resolved
	// servers[0].connections: 8 must be at least 9: one for each slot and 4 for control connections
}

func ExampleCatalog_Apply() {
	var c svcdef.Catalog
	c, err := c.Apply(svcdef.NewDefinition(plots(), "ann", noon).WithNumber(1, "x"))
	fmt.Println(c.Revision(), len(c.Services()), err)
	_, err = c.Apply(svcdef.NewRemoval("plots", "ann", noon).WithNumber(3, "y"))
	fmt.Println(result.Message(err))
	// Output:
	// 1 1 <nil>
	// revision 3 does not follow revision 1
}

// Guards against violations that are not reported, are reported only one at a time, or have the wrong path. The script
// overwrites fields of a valid definition with JSON and lists all problems.
func TestValidate(t *testing.T) {
	datadriven.RunTest(t, "_fixtures/validate.txt", func(t *testing.T, d *datadriven.TestData) string {
		spec := plots()
		if err := json.Unmarshal([]byte(strings.ReplaceAll(d.Input, "VERIFIER", verifier)), &spec); err != nil {
			d.Fatalf(t, "%v", err)
		}
		var b strings.Builder
		for _, p := range svcdef.Validate(spec) {
			fmt.Fprintln(&b, p)
		}
		if len(svcdef.Errors(svcdef.Validate(spec))) == 0 {
			b.WriteString("accepted\n")
		}
		return b.String()
	})
}

// Guards against a malformed verifier that is accepted and locks the caller out, and against an error that shows the verifier.
func TestParseVerifier(t *testing.T) {
	g := NewWithT(t)
	v, err := svcdef.ParseVerifier(verifier)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.String()).To(Equal(verifier))
	for _, s := range []string{
		"", "md5abc", "SCRAM-SHA-256$4096$a:b", strings.Replace(verifier, "4096", "1000", 1),
		strings.Replace(verifier, "W22Z", "!", 1), strings.Replace(verifier, "WG5d", "", 1), verifier + "AAAA",
	} {
		_, err := svcdef.ParseVerifier(s)
		g.Expect(err).To(HaveOccurred(), s)
		g.Expect(err.Error()).NotTo(ContainSubstring("SNY7soEs"))
	}
}

// Guards against secrets in output, and against a Masked that changes the original definition.
func TestMasked(t *testing.T) {
	g := NewWithT(t)
	spec := plots()
	text := fmt.Sprintf("%+v", spec.Masked())
	g.Expect(text).NotTo(Or(ContainSubstring("secret"), ContainSubstring("SCRAM")))
	g.Expect(spec).To(Equal(plots()))
	g.Expect(spec.Masked().Unmasked(spec)).To(Equal(spec))
	masked := spec.Masked()
	masked.Callers[0].User = "new"
	g.Expect(svcdef.Validate(masked.Unmasked(spec))).To(ConsistOf(HaveField("Path()", "callers[0].verifier")))
	g.Expect(svcdef.Validate(spec.Masked())).To(HaveLen(2))
}

// Guards against a server that belongs to two services, which would limit it separately, and against the removal of a service
// that does not exist.
func TestCheckAgainstCatalog(t *testing.T) {
	g := NewWithT(t)
	c, err := svcdef.Catalog{}.Apply(svcdef.NewDefinition(plots(), "ann", noon).WithNumber(1, ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Check(svcdef.NewDefinition(plots(), "ann", noon))).To(BeEmpty())
	other := plots()
	other.Name = "maps"
	g.Expect(c.Check(svcdef.NewDefinition(other, "ann", noon))).To(ConsistOf(
		svcdef.NewProblem("servers[0].address", "10.1.0.1:5432 belongs to service plots", false)))
	g.Expect(c.Check(svcdef.NewRemoval("maps", "ann", noon))).To(HaveLen(1))
	g.Expect(c.Check(svcdef.NewRemoval("plots", "ann", noon))).To(BeEmpty())
}

// Guards against an Apply that skips or repeats a revision, changes an older catalog, or yields a catalog that differs from
// its restored snapshot. The model is a map that is changed in place.
func TestApplyAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var c svcdef.Catalog
		model := make(map[string]string)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := c.Spec()
			spec := plots()
			spec.Name = rapid.SampledFrom([]string{"maps", "plots", "dues"}).Draw(t, "service")
			spec.Database = rapid.StringN(1, 5, -1).Draw(t, "database")
			r := svcdef.NewDefinition(spec, "ann", noon)
			if rapid.Bool().Draw(t, "remove") {
				r = svcdef.NewRemoval(spec.Name, "ann", noon)
			}
			number := c.Revision() + uint64(rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "step"))
			next, err := c.Apply(r.WithNumber(number, "a"))
			g.Expect(c.Spec()).To(Equal(before))
			if number != c.Revision()+1 {
				g.Expect(result.CodeOf(err)).To(Equal(result.RevisionConflict))
				g.Expect(next.Revision()).To(Equal(c.Revision()))
				continue
			}
			g.Expect(err).NotTo(HaveOccurred())
			c = next
			delete(model, spec.Name)
			if !r.Removal() {
				model[spec.Name] = spec.Database
				g.Expect(c.ServiceRevision(spec.Name)).To(Equal(number))
			}
		}
		got := make(map[string]string)
		for _, s := range c.Services() {
			got[s.Name()] = s.Database()
		}
		g.Expect(got).To(Equal(model))
		g.Expect(c.History("")).To(HaveLen(int(c.Revision())))
		g.Expect(svcdef.Restore(c.Spec()).Spec()).To(Equal(c.Spec()))
	})
}

// Guards against decoded callers that stay in memory on VMs that never admit them, and against a definition that loses its
// callers, or is not equal to the same definition, when the callers are encoded.
func TestCallersStayEncoded(t *testing.T) {
	g := NewWithT(t)
	decoded := 0
	spec := plots()
	put := func(c svcdef.Catalog) (svcdef.Catalog, svcdef.Service) {
		r := svcdef.NewDefinition(spec, "ann", noon).WithNumber(c.Revision()+1, "")
		body, err := json.Marshal(r.Spec())
		g.Expect(err).NotTo(HaveOccurred())
		c, err = c.Apply(r.WithEncoded(body, func(b []byte) (got svcdef.RevisionSpec, err error) {
			decoded++
			return got, json.Unmarshal(b, &got)
		}))
		g.Expect(err).NotTo(HaveOccurred())
		s, _ := c.Service("plots")
		return c, s
	}
	c, first := put(svcdef.Catalog{})
	g.Expect(decoded).To(Equal(0))
	for n := 1; n <= 2; n++ {
		caller, ok := first.Caller("clerk")
		g.Expect(ok).To(BeTrue())
		g.Expect(caller.Verifier()).To(Equal(verifier))
		g.Expect(decoded).To(Equal(n), "decoded callers must not be cached")
	}
	g.Expect(first.Spec()).To(Equal(svcdef.New(spec).Spec()))
	c, same := put(c)
	g.Expect(same.Equal(first)).To(BeTrue())
	g.Expect(svcdef.New(spec).Equal(first)).To(BeTrue())
	spec.Callers[0].User = "gate"
	_, other := put(c)
	g.Expect(other.Equal(first)).To(BeFalse())
	_, ok := other.Caller("clerk")
	g.Expect(ok).To(BeFalse())
}

// Guards against a history that grows with the number of changes.
func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var c svcdef.Catalog
	for n := uint64(1); n <= svcdef.HistoryLimit+5; n++ {
		var err error
		c, err = c.Apply(svcdef.NewDefinition(plots(), "ann", noon).WithNumber(n, ""))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(c.History("plots")).To(HaveLen(svcdef.HistoryLimit))
	g.Expect(c.History("")[0].Number()).To(Equal(uint64(6)))
	g.Expect(c.History("maps")).To(BeEmpty())
}

// BenchmarkApply measures one Apply to a catalog with a full history.
func BenchmarkApply(b *testing.B) {
	var c svcdef.Catalog
	var err error
	change := svcdef.NewDefinition(plots(), "ann", noon)
	for n := range uint64(svcdef.HistoryLimit) {
		if c, err = c.Apply(change.WithNumber(n+1, "")); err != nil {
			b.Fatal(err)
		}
	}
	next := change.WithNumber(svcdef.HistoryLimit+1, "")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Apply(next); err != nil {
			b.Fatal(err)
		}
	}
}

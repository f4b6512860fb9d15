package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

var (
	measurementName = flag.String("slope.name", "", "measurement for TestSlope")
	sizeList        = flag.String("slope.sizes", "", "sizes, as in 9,30,100, instead of the defaults of the measurement")
	jsonPath        = flag.String("slope.json", "", "file to which the report is appended as one line of JSON")
)

func TestMain(m *testing.M) {
	if Child() {
		return
	}
	os.Exit(m.Run())
}

// Runs the measurement that -slope.name selects; skipped without the flag.
func TestSlope(t *testing.T) {
	if *measurementName == "" {
		t.Skip("-slope.name is not set")
	}
	var list []int
	for _, f := range strings.Split(*sizeList, ",") {
		if n, err := strconv.Atoi(f); err == nil {
			list = append(list, n)
		} else if f != "" {
			t.Fatal(err)
		}
	}
	r, err := Run(context.Background(), *measurementName, list, os.Stdout)
	if err != nil {
		t.Fatal(err)
	}
	if *jsonPath == "" {
		return
	}
	line, err := r.JSON()
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(*jsonPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.Write(append(line, '\n')); err != nil {
		t.Fatal(err)
	}
}

// Guards against a measurement that a change of the VM has broken. Each one runs once at a tiny size.
func TestTiny(t *testing.T) {
	for _, m := range All() {
		t.Run(m.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var out bytes.Buffer
			r, err := Run(Quick(context.Background()), m.Name(), []int{m.Tiny()}, &out)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.Rows).To(gomega.HaveLen(1))
			g.Expect(r.Lines).To(gomega.HaveLen(len(r.Rows[0].Values)))
			body, err := r.JSON()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(json.Valid(body)).To(gomega.BeTrue())
			for _, v := range r.Rows[0].Values {
				g.Expect(out.String()).To(gomega.ContainSubstring(v.Name))
			}
		})
	}
}

// Guards against errors in the least-squares fit, which would make every capacity projection wrong.
func TestFit(t *testing.T) {
	g := gomega.NewWithT(t)
	l := Fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	g.Expect(l.Slope).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(l.Intercept).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(l.Residual).To(gomega.BeNumerically("~", 0, 1e-9))
	peak := Fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	g.Expect(peak.Slope).To(gomega.BeNumerically("~", 0, 1e-9))
	g.Expect(peak.Residual).To(gomega.BeNumerically("~", 1.41421, 1e-4))
	g.Expect(Fit([]float64{7}, []float64{3}).At(100)).To(gomega.BeNumerically("~", 3, 1e-9))
}

// Guards against a misspelt name that yields an empty report instead of an error with the available names.
func TestUnknownName(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := Run(context.Background(), "nothing", nil, &bytes.Buffer{})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("idle-plain")))
}

func ExampleFit() {
	l := Fit([]float64{9, 30, 60}, []float64{19, 61, 121})
	fmt.Printf("%.0f + %.0f for each VM: %.0f at 790\n", l.Intercept, l.Slope, l.At(790))
	// Output: 1 + 2 for each VM: 1581 at 790
}

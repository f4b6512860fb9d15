package slopcli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/onsi/gomega"

	"verbenagate/lab/slopcli"
	"verbenagate/lab/slope"
)

// Guards against arguments that kong does not accept, and against --json output that contains anything but JSON.
func TestMeasure(t *testing.T) {
	g := gomega.NewWithT(t)
	var cmd slopcli.Cmd
	p, err := kong.New(&cmd)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = p.Parse([]string{"choose", "--sizes=3,9", "--json", "--quick"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var out bytes.Buffer
	g.Expect(cmd.Measure(context.Background(), &out)).To(gomega.Succeed())
	var r slope.Report
	g.Expect(json.Unmarshal(out.Bytes(), &r)).To(gomega.Succeed())
	g.Expect(r.Rows).To(gomega.HaveLen(2))
}

func ExampleCmd_Measure() {
	cmd := slopcli.Cmd{Name: "speed"}
	fmt.Println(cmd.Measure(context.Background(), &bytes.Buffer{}) != nil)
	// Output: true
}

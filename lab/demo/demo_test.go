package demo

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"verbenagate/io/logs"
)

// Guards against a demo that fails or skips a check. It is the first command that a reader of the README runs.
func TestDemo(t *testing.T) {
	g := gomega.NewWithT(t)
	log, err := logs.New(io.Discard, "console", "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var out strings.Builder
	g.Expect(Run(context.Background(), &out, log, 1)).To(gomega.Succeed(), out.String())
	g.Expect(strings.Count(out.String(), "\n  ok ")).To(gomega.Equal(5), out.String())
}

package args_test

import (
	"io"
	"testing"

	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"

	"verbenagate/io/args"
)

// Guards against --help ending the process, and against a panic of the program being taken for an exit code.
func TestRun(t *testing.T) {
	g := NewWithT(t)
	parse := func(list ...string) func() int {
		return func() int {
			p, err := kong.New(&struct{ File string }{}, kong.Writers(io.Discard, io.Discard), args.Exit())
			g.Expect(err).NotTo(HaveOccurred())
			if _, err := p.Parse(list); err != nil {
				return 2
			}
			return 7
		}
	}
	g.Expect(args.Run(parse())).To(Equal(7))
	g.Expect(args.Run(parse("--help"))).To(Equal(0))
	g.Expect(args.Run(parse("--unknown"))).To(Equal(2))
	g.Expect(func() { args.Run(func() int { panic("fault") }) }).To(PanicWith("fault"))
}

package pages_test

import (
	"bytes"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
)

var goBlockPattern = regexp.MustCompile("(?s)```go\n// ([a-z/]+)\n(.*?)```")

// interfaceMethods returns the names of the types that a file declares, each with its methods as text if it is an interface,
// and with an empty text otherwise. Comments are left out.
func interfaceMethods(g Gomega, name string, source []byte) map[string]string {
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, name, source, parser.SkipObjectResolution)
	g.Expect(err).NotTo(HaveOccurred(), name)
	methodsByType := map[string]string{}
	for _, d := range f.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, s := range decl.Specs {
			t, ok := s.(*ast.TypeSpec)
			if !ok {
				continue
			}
			var methods bytes.Buffer
			if i, ok := t.Type.(*ast.InterfaceType); ok {
				for _, m := range i.Methods.List {
					for _, n := range m.Names {
						methods.WriteString(n.Name + " ")
					}
					g.Expect(format.Node(&methods, fset, m.Type)).To(Succeed())
					methods.WriteByte('\n')
				}
			}
			methodsByType[t.Name.Name] = methods.String()
		}
	}
	return methodsByType
}

// Guards against Go blocks on the pages with types or interface methods that the code no longer has. The first line of a
// block names its package.
func TestGoInPages(t *testing.T) {
	g := NewWithT(t)
	pages, err := filepath.Glob("../../docs/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	compared := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Count(text, []byte("```go\n"))).To(Equal(len(goBlockPattern.FindAll(text, -1))), page)
		for _, m := range goBlockPattern.FindAllSubmatch(text, -1) {
			declared := map[string]string{}
			files, err := filepath.Glob(filepath.Join("../..", string(m[1]), "*.go"))
			g.Expect(err).NotTo(HaveOccurred())
			for _, f := range files {
				source, err := os.ReadFile(f)
				g.Expect(err).NotTo(HaveOccurred())
				for name, methods := range interfaceMethods(g, f, source) {
					declared[name] = methods
				}
			}
			for name, methods := range interfaceMethods(g, page, append([]byte("package p\n"), m[2]...)) {
				g.Expect(declared).To(HaveKeyWithValue(name, methods), page)
				compared++
			}
		}
	}
	g.Expect(compared).To(BeNumerically(">=", 5))
}

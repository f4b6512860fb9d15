package pages_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"verbenagate/io/pages"
)

func ExampleAll() {
	all, err := pages.All()
	fmt.Println(all[0].Name(), err)
	// Output: codes.md <nil>
}

// Guards against reference pages that differ from the code. "go generate ./io/pages" regenerates them.
func TestPagesAreCurrent(t *testing.T) {
	g := NewWithT(t)
	stale, err := pages.Stale("../../docs")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stale).To(BeEmpty(), "run go generate ./io/pages")
}

// Guards against a Stale that does not report changed or missing pages.
func TestStaleFindsDifferences(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	g.Expect(pages.Write(dir)).To(Succeed())
	stale, err := pages.Stale(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stale).To(BeEmpty())
	g.Expect(os.WriteFile(filepath.Join(dir, "codes.md"), []byte("old"), 0o600)).To(Succeed())
	g.Expect(os.Remove(filepath.Join(dir, "cli.md"))).To(Succeed())
	stale, err = pages.Stale(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stale).To(Equal([]string{"codes.md", "cli.md"}))
}

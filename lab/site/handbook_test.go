package site

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"verbenagate/io/config"
)

var codeFence = regexp.MustCompile("(?s)( *)```(sh|yaml)\n(.*?)\n *```")

// codeBlocks returns the fenced code blocks of a page in the given language, without their indentation.
func codeBlocks(g gomega.Gomega, page, language string) []string {
	data, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var all []string
	for _, m := range codeFence.FindAllStringSubmatch(string(data), -1) {
		if m[2] == language {
			all = append(all, strings.ReplaceAll("\n"+m[3], "\n"+m[1], "\n")[1:])
		}
	}
	return all
}

// deployment replaces the deployment that the handbook's examples address.
type deployment struct {
	t    *testing.T
	g    gomega.Gomega
	dir  string
	site *Site
}

// runCommands runs a block of shell commands after replacing the addresses of the examples by those of the running VMs.
func (d *deployment) runCommands(page, block string) {
	if strings.Contains(block, "--tls-ca") {
		k := keyring{d.g, filepath.Join(d.dir, "keys")}
		d.site = open(d.t, Spec{DataCentres: []string{"north"}, VMs: 1, Adjust: func(c *config.Settings) { k.adjust(c) }, OperatorTLS: k.exampleOperatorTLS()})
	}
	var pairs []string
	for i, n := range d.site.Nodes() {
		pairs = append(pairs, "10.20."+string(rune('1'+i))+".1:7500", n.OperatorAddr())
	}
	pairs = append(pairs, "--ip 10.20.1.1", "--ip 127.0.0.1")
	cmd := exec.Command("sh", "-eu", "-c", strings.NewReplacer(pairs...).Replace(block))
	cmd.Dir = d.dir
	cmd.Env = append(os.Environ(), "PATH="+d.dir+string(os.PathListSeparator)+os.Getenv("PATH"))
	out, err := cmd.CombinedOutput()
	d.g.Expect(err).NotTo(gomega.HaveOccurred(), "%s:\n%s\n%s", page, block, out)
}

// Guards against handbook commands that fail, and against example settings that the program rejects.
func TestHandbookCommands(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &deployment{t: t, g: g, dir: t.TempDir()}
	out, err := exec.Command("go", "build", "-o", filepath.Join(d.dir, "verbenagate"), "verbenagate/cmd/verbenagate").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	for _, name := range []string{"lakeshore.yaml", "plankammer.yaml"} {
		data, err := os.ReadFile("../../_fixtures/services/" + name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		// The VMs must not connect to the example servers outside of this machine.
		text := strings.NewReplacer(`"10.20.`, `"127.20.`, `"10.30.`, `"127.30.`).Replace(string(data))
		g.Expect(os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600)).To(gomega.Succeed())
	}
	d.site = open(t, Spec{DataCentres: []string{"north", "south", "east"}, VMs: 3})
	pages, err := filepath.Glob(handbook + "*.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// The commands of services.md create the services that the other pages use. tls.md needs a separate deployment.
	first, last := handbook+"services.md", handbook+"tls.md"
	order := []string{first}
	for _, p := range pages {
		if p != first && p != last {
			order = append(order, p)
		}
	}
	blocksRun := 0
	for _, p := range append(order, last) {
		for _, text := range codeBlocks(g, p, "yaml") {
			name, _, _ := strings.Cut(strings.TrimPrefix(text, "# "), "\n")
			g.Expect(os.WriteFile(filepath.Join(d.dir, name), []byte(text), 0o600)).To(gomega.Succeed())
		}
		for _, b := range codeBlocks(g, p, "sh") {
			d.runCommands(p, b)
			blocksRun++
		}
	}
	g.Expect(blocksRun).To(gomega.BeNumerically(">=", 20))
}

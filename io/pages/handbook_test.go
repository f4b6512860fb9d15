package pages_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/io/config"
	"verbenagate/io/metric"
	"verbenagate/io/node"
	"verbenagate/io/opcli"
)

var (
	resultCodePattern  = regexp.MustCompile("(\\d+) `([a-z_]+)`")
	eventPattern       = regexp.MustCompile(`[Ee]vent (\d+)`)
	metricPattern      = regexp.MustCompile("`verbenagate_([a-z_]+)")
	keyPathPattern     = regexp.MustCompile("`([a-z_]+(?:\\.[a-z_]+)+)`")
	linkPattern        = regexp.MustCompile(`\]\(([^)]+)\)`)
	sqlStateRowPattern = regexp.MustCompile("^\\| `([0-9A-Z]{5})` \\| (.*?) \\|")
	exitCodePattern    = regexp.MustCompile("code (\\d+) `[a-z_]+` \\(exit code (\\d+)\\)")
)

// outcomeTable is the name of the table verbenagate_outcome without its prefix. It is in the services' databases and no metric.
const outcomeTable = "outcome"

// addKeyPaths adds the JSON key paths of the type t, each after prefix, to keyPaths.
func addKeyPaths(t reflect.Type, prefix string, keyPaths map[string]bool) {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t.PkgPath() == "time" {
		return
	}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		keyPaths[prefix+key] = true
		addKeyPaths(t.Field(i).Type, prefix+key+".", keyPaths)
	}
}

// Guards against pages of the handbook that name a code, event, metric, setting, dump field or file that does not exist, or
// that give a result code the wrong name, SQLSTATE or exit code.
func TestHandbookNames(t *testing.T) {
	g := NewWithT(t)
	keyPaths := map[string]bool{}
	addKeyPaths(reflect.TypeFor[node.State](), "", keyPaths)
	for _, s := range config.SettingDocs() {
		keyPaths[s.Path()] = true
	}
	pages, err := filepath.Glob("../../docs/operators/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(pages)).To(BeNumerically(">=", 17))
	for _, page := range pages {
		data, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		checkCodes(g, page, string(data))
		for _, m := range eventPattern.FindAllStringSubmatch(string(data), -1) {
			n, _ := strconv.Atoi(m[1])
			g.Expect(slices.ContainsFunc(event.All(), func(i event.Info) bool { return int(i.ID()) == n })).To(BeTrue(), page+": "+m[0])
		}
		for _, m := range metricPattern.FindAllStringSubmatch(string(data), -1) {
			_, ok := metric.Catalog().Lookup(m[1])
			g.Expect(ok || m[1] == outcomeTable).To(BeTrue(), page+": "+m[0])
		}
		for _, m := range keyPathPattern.FindAllStringSubmatch(string(data), -1) {
			certFile := strings.HasSuffix(m[1], ".pem") || strings.HasSuffix(m[1], ".key")
			g.Expect(keyPaths[m[1]] || (certFile && !strings.HasPrefix(m[1], "tls."))).To(BeTrue(), page+": "+m[0])
		}
		for _, m := range linkPattern.FindAllStringSubmatch(string(data), -1) {
			g.Expect(filepath.Join(filepath.Dir(page), m[1])).To(BeAnExistingFile(), page)
		}
	}
}

func checkCodes(g Gomega, page, text string) {
	for _, m := range resultCodePattern.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		g.Expect(result.Code(n).String()).To(Equal(m[2]), page)
	}
	for line := range strings.Lines(text) {
		row := sqlStateRowPattern.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		codes := resultCodePattern.FindAllStringSubmatch(row[2], -1)
		g.Expect(codes).NotTo(BeEmpty(), line)
		for _, m := range codes {
			n, _ := strconv.Atoi(m[1])
			g.Expect(result.Lookup(result.Code(n)).SQLState()).To(Equal(row[1]), page+": "+line)
		}
	}
	for _, m := range exitCodePattern.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		exit, _ := strconv.Atoi(m[2])
		g.Expect(opcli.Exits()[exit].Results()).To(ContainElement(result.Code(n)), page+": "+m[0])
	}
}

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
	codeName   = regexp.MustCompile("(\\d+) `([a-z_]+)`")
	eventName  = regexp.MustCompile(`[Ee]vent (\d+)`)
	metricName = regexp.MustCompile("`verbenagate_([a-z_]+)")
	pathName   = regexp.MustCompile("`([a-z_]+(?:\\.[a-z_]+)+)`")
	link       = regexp.MustCompile(`\]\(([^)]+)\)`)
	tableRow   = regexp.MustCompile("^\\| `([0-9A-Z]{5})` \\| (.*?) \\|")
	exitName   = regexp.MustCompile("code (\\d+) `[a-z_]+` \\(exit code (\\d+)\\)")
)

// outcomeTable is a table of the services' databases and no metric.
const outcomeTable = "outcome"

// fields adds the key paths of a dump.
func fields(t reflect.Type, prefix string, all map[string]bool) {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t.PkgPath() == "time" {
		return
	}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		all[prefix+key] = true
		fields(t.Field(i).Type, prefix+key+".", all)
	}
}

// Guards against pages of the handbook that name a code, event, metric, setting or dump field that does not exist, or
// with another number or SQLSTATE than the program's.
func TestHandbookNames(t *testing.T) {
	g := NewWithT(t)
	known := map[string]bool{}
	fields(reflect.TypeFor[node.State](), "", known)
	for _, s := range config.Table() {
		known[s.Path()] = true
	}
	pages, err := filepath.Glob("../../docs/operators/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(pages)).To(BeNumerically(">=", 17))
	for _, page := range pages {
		data, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		checkCodes(g, page, string(data))
		for _, m := range eventName.FindAllStringSubmatch(string(data), -1) {
			n, _ := strconv.Atoi(m[1])
			g.Expect(slices.ContainsFunc(event.All(), func(i event.Info) bool { return int(i.ID()) == n })).To(BeTrue(), page+": "+m[0])
		}
		for _, m := range metricName.FindAllStringSubmatch(string(data), -1) {
			_, ok := metric.Catalog().Lookup(m[1])
			g.Expect(ok || m[1] == outcomeTable).To(BeTrue(), page+": "+m[0])
		}
		for _, m := range pathName.FindAllStringSubmatch(string(data), -1) {
			file := strings.HasSuffix(m[1], ".pem") || strings.HasSuffix(m[1], ".key")
			g.Expect(known[m[1]] || (file && !strings.HasPrefix(m[1], "tls."))).To(BeTrue(), page+": "+m[0])
		}
		for _, m := range link.FindAllStringSubmatch(string(data), -1) {
			g.Expect(filepath.Join(filepath.Dir(page), m[1])).To(BeAnExistingFile(), page)
		}
	}
}

func checkCodes(g Gomega, page, text string) {
	for _, m := range codeName.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		g.Expect(result.Code(n).String()).To(Equal(m[2]), page)
	}
	for line := range strings.Lines(text) {
		row := tableRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		codes := codeName.FindAllStringSubmatch(row[2], -1)
		g.Expect(codes).NotTo(BeEmpty(), line)
		for _, m := range codes {
			n, _ := strconv.Atoi(m[1])
			g.Expect(result.Lookup(result.Code(n)).SQLState()).To(Equal(row[1]), page+": "+line)
		}
	}
	for _, m := range exitName.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[1])
		exit, _ := strconv.Atoi(m[2])
		g.Expect(opcli.Exits()[exit].Results()).To(ContainElement(result.Code(n)), page+": "+m[0])
	}
}

package vetcli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenagate/core/result"
	"verbenagate/io/vetcli"
	"verbenagate/platform"
)

// TestScripts runs the scripts in _fixtures. It guards against configurations whose problems are not found, against problems reported for a
// sound one, and against keys in the report. Each script keeps its files for the checks after them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		dir := t.TempDir()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "vet":
				return vet(t, dir, d)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func vet(t *testing.T, dir string, d *datadriven.TestData) string {
	c := vetcli.Command{File: filepath.Join(dir, d.CmdArgs[0].Key)}
	var inForce, servers string
	d.MaybeScanArgs(t, "in-force", &inForce)
	d.MaybeScanArgs(t, "servers", &servers)
	d.MaybeScanArgs(t, "vms", &c.VMs)
	d.MaybeScanArgs(t, "json", &c.JSON)
	if inForce != "" {
		c.InForce = filepath.Join(dir, inForce)
	}
	if servers != "" {
		c.Servers = filepath.Join(dir, servers)
	}
	var out strings.Builder
	if err := c.Run(&out, vetcli.Parsers{Draft: platform.ParseDraft, Server: platform.ParseServer}); err != nil {
		out.WriteString(strings.ReplaceAll(result.Lookup(result.CodeOf(err)).Name()+": "+result.Message(err), dir+"/", "") + "\n")
	}
	return out.String()
}

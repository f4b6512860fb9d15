package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/io/config"
	"verbenagate/io/strict"
)

const valid = `
vm: {id: a1, data_centre: a}
listen: {callers: 127.0.0.1:5432, peers: 127.0.0.1:7400, operators: 127.0.0.1:7500}
platform: {url: "http://127.0.0.1:8080"}
`

func ExampleCheck() {
	_, problems := config.Check("vm.yaml", []byte("vm: {id: a1, data_centre: a, zone: x}\n"+
		"listen: {callers: localhost:5432, peers: 10.0.0.1:7400, operators: 10.0.0.1:7500}\n"+
		"platform: {url: \"http://10.0.0.9:8080\"}\n"))
	for _, p := range problems {
		fmt.Println(p)
	}
	// Output:
	// vm.yaml:1:30: vm.zone: unknown key; known keys here are data_centre, id
	// vm.yaml:2:10: listen.callers: "localhost:5432" must be IP:port, such as 10.0.0.1:5432 or [::1]:5432; names are not resolved
}

// Guards against a check that reports only the first problem, or a problem without its line or at the wrong key. Each script
// step holds a settings file and the problems expected in it.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "_fixtures/check.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "check" {
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
		_, problems := config.Check("vm.yaml", []byte(d.Input))
		if len(problems) == 0 {
			return "ok"
		}
		return strict.FormatProblems(problems)
	})
}

// Guards against a documented default that the program does not use, and against a setting without documentation.
func TestTableMatchesSettings(t *testing.T) {
	g := NewWithT(t)
	var paths []string
	var walk func(v reflect.Value, path string)
	walk = func(v reflect.Value, path string) {
		for i := range v.NumField() {
			p := strings.TrimPrefix(path+"."+strict.FieldKey(v.Type().Field(i)), ".")
			if v.Field(i).Kind() == reflect.Struct {
				walk(v.Field(i), p)
				continue
			}
			paths = append(paths, p)
		}
	}
	walk(reflect.ValueOf(config.Settings{}), "")
	var documented []string
	for _, doc := range config.SettingDocs() {
		documented = append(documented, doc.Path())
		g.Expect(doc.Help()).To(HaveSuffix("."))
	}
	g.Expect(documented).To(Equal(paths))
	s, problems := config.Check("f", []byte(valid))
	g.Expect(problems).To(BeEmpty())
	g.Expect(s.Timing).To(Equal(config.Timing{
		WatchInterval: 100 * time.Millisecond, Silence: time.Second, StatusTimeout: 500 * time.Millisecond,
		ControlTimeout: 500 * time.Millisecond, ConfigPoll: time.Second, DrainLimit: 30 * time.Second,
	}))
	g.Expect(s.Limits).To(Equal(config.Limits{Callers: 10000, MessageSize: 16 << 20, GCPercent: 100}))
}

// Guards against a Load that accepts an invalid file, or that returns an error without the code InvalidConfig.
func TestLoad(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "vm.yaml")
	_, err := config.Load(path)
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	g.Expect(os.WriteFile(path, []byte(valid), 0o600)).To(Succeed())
	s, err := config.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.VM.ID).To(Equal("a1"))
	g.Expect(os.WriteFile(path, []byte("vm: 3"), 0o600)).To(Succeed())
	_, err = config.Load(path)
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	g.Expect(result.Message(err)).To(ContainSubstring(path + ":1:5: vm: must be a mapping"))
}

// Guards against input that crashes the decoder or makes it loop forever, and against a problem without a message.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("log: {layers: {caller: off}}\n"))
	f.Add([]byte("vm:\n- &a [*a]\n"))
	f.Add([]byte("? {a: b}\n: c\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := config.Check("f", data)
		for _, p := range problems {
			if p.Message() == "" {
				t.Fatalf("problem without a message: %v", p)
			}
		}
		if len(problems) == 0 && (s.VM.ID == "" || s.Listen.Peers == "") {
			t.Fatalf("settings without a required value were accepted: %+v", s)
		}
	})
}

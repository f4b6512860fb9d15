package opcli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/config"
	"verbenagate/io/logs"
	"verbenagate/io/opcli"
	"verbenagate/io/revlog"
	"verbenagate/io/scram"
	"verbenagate/io/strict"
)

func TestMain(m *testing.M) {
	// The output must not depend on the environment of the user who runs the tests.
	os.Unsetenv("VERBENAGATE_SERVER")
	os.Unsetenv("VERBENAGATE_AUTHOR")
	os.Setenv("USER", "ann")
	os.Exit(m.Run())
}

// stateJSON is a state dump with at least one entry in each list.
const stateJSON = `{"vm": "a1", "data_centre": "a", "at": "2026-05-01T12:00:00Z", "started": "2026-05-01T11:00:00Z",
	"store_up": true, "config_revision": 3, "services": ["dues", "ledger"],
	"sessions": [{"process_id": 7, "service": "dues", "user": "clerk", "remote": "10.9.0.1:4", "changed": "2026-05-01T11:59:58Z",
		"running": true, "transaction": "open", "prepared_statements": 2}, {"process_id": 8, "transaction": "idle"}],
	"counts": {"replica_reads": 9, "primary_reads": 1, "writes": 2},
	"hosted": [{"service": "dues", "primary": "10.0.0.9:1", "term": 4, "reserved_term": 5, "health": "healthy",
		"watched": [{"address": "10.0.0.9:1", "role": "primary", "term": 4, "promised": 4, "received": 80, "applied": 80,
			"status_age_ns": 40000000, "data_age_ns": 1500000000, "data_age_known": true}],
		"owned": [{"address": "10.0.0.9:1", "queued": 3, "running_short": 4, "running_long": 1, "slots": 5, "connections": 6,
			"long_threshold": 20000000, "short": {"shed": 2}}]}],
	"members": [{"id": "a1", "data_centre": "a", "address": "10.0.0.1:7400", "incarnation": 6, "state": "live"}]}`

// fakeControl is a Control that keeps the configuration in memory and gives all revisions the same time. Every change fails
// with changeErr if it is set.
type fakeControl struct {
	mu          sync.Mutex
	catalog     svcdef.Catalog
	routeSwitch string
	changeErr   error
}

func (v *fakeControl) Catalog(context.Context) (svcdef.Catalog, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.catalog, nil
}

func (v *fakeControl) History(_ context.Context, service string) ([]svcdef.Revision, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.catalog.History(service), nil
}

func (v *fakeControl) Change(_ context.Context, baseRevision uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changeErr != nil {
		return svcdef.Revision{}, v.changeErr
	}
	if baseRevision != v.catalog.Revision() {
		return svcdef.Revision{}, revlog.Conflict(baseRevision, v.catalog.Revision())
	}
	if old, ok := v.catalog.Service(rev.ServiceName()); ok {
		rev = rev.Unmasked(old.Spec())
	} else if rev.Removal() {
		return svcdef.Revision{}, result.New(result.NotFound, "service %q does not exist", rev.ServiceName())
	}
	if bad := svcdef.Errors(v.catalog.Check(rev)); len(bad) > 0 {
		return svcdef.Revision{}, revlog.Invalid(bad)
	}
	spec := rev.Spec()
	spec.Number, spec.Millis = baseRevision+1, time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC).UnixMilli()
	rev = svcdef.NewRevision(spec)
	var err error
	v.catalog, err = v.catalog.Apply(rev)
	return rev, err
}

func (v *fakeControl) VMs(context.Context) ([]admin.VM, error) {
	return []admin.VM{
		{ID: "a1", DataCentre: "a", PeerAddress: "10.0.0.1:7400", State: "live", Revision: 3, Self: true},
		{ID: "b1", DataCentre: "b", PeerAddress: "10.0.0.2:7400", State: "leaving"},
	}, nil
}

func (v *fakeControl) Drain(_ context.Context, id string) error {
	if id != "a1" {
		return result.New(result.NotFound, "VM %q is not known", id)
	}
	return nil
}

func (v *fakeControl) LogLevels(context.Context) (string, map[string]logs.Switch) {
	return "info", map[string]logs.Switch{"caller": logs.SwitchDefault, "route": logs.Switch(v.routeSwitch)}
}

func (v *fakeControl) SetLogLevel(_ context.Context, layer, level string) error {
	if err := logs.CheckSwitch(layer, logs.Switch(level)); err != nil {
		return result.New(result.InvalidConfig, "%v", err)
	}
	v.routeSwitch = level
	return nil
}

func (v *fakeControl) Dump(context.Context) (admin.Dump, error) {
	return admin.Dump{
		VM: "a1", DataCentre: "a", Revision: 3, Services: 1, Started: time.UnixMilli(0).UTC(), StoreUp: true,
		OwnedServers: []string{"10.0.0.9:1", "10.0.0.8:1"}, State: []byte(stateJSON),
	}, nil
}

func runApp(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	app := opcli.New(&out, &errs, func(_ context.Context, s config.Settings) error {
		return result.New(result.ConnectFailed, "VM %s was started", s.VM.ID)
	})
	return app.Run(context.Background(), args), out.String(), errs.String()
}

func ExampleApp_Run() {
	app := opcli.New(os.Stdout, os.Stdout, nil)
	code := app.Run(context.Background(), []string{"completion", "bash"})
	fmt.Println(code)
	// Output:
	// complete -C verbenagate verbenagate
	// 0
}

// Guards against changes of the output or of exit codes that break operators' scripts. Each fixture file runs against its
// own VM. The input of "run" is a command line; "file" writes an input file; "fail" makes later changes fail.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "_fixtures/commands", func(t *testing.T, path string) {
		v := &fakeControl{}
		srv, err := admin.Listen(t.Context(), "127.0.0.1:0", v, logs.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer srv.Close()
		dir := t.TempDir()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "fail":
				v.changeErr = result.New(result.StoreUnavailable, "%s", d.Input)
				return ""
			case "run":
				args := []string{"--server", srv.Addr().String()}
				code, out, errs := runApp(append(args, strings.Fields(strings.ReplaceAll(d.Input, "DIR", dir))...)...)
				text := out
				if errs != "" {
					text += "stderr: " + errs
				}
				text = strings.ReplaceAll(strings.ReplaceAll(text, dir, "DIR"), srv.Addr().String(), "SERVER")
				return fmt.Sprintf("%sexit %d\n", text, code)
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// Guards against example files that the program rejects, or whose sizes differ from those of the design page.
func TestShippedExamples(t *testing.T) {
	for name, want := range map[string][2]int{"lakeshore": {5, 35}, "plankammer": {3, 40}} {
		g := NewWithT(t)
		path := "../../_fixtures/services/" + name + ".yaml"
		data, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		specs, problems, warnings := opcli.ParseServices(path, data)
		g.Expect(strict.FormatProblems(problems)).To(BeEmpty())
		g.Expect(warnings).To(BeEmpty())
		g.Expect(specs).To(HaveLen(3))
		dataCentres := make(map[string]bool)
		for _, s := range specs {
			g.Expect(s.Servers).To(HaveLen(3))
			for _, srv := range s.Servers {
				dataCentres[srv.DataCentre] = true
				g.Expect([2]int{srv.Slots, srv.Connections}).To(Equal(want))
			}
		}
		g.Expect(dataCentres).To(HaveLen(4))
	}
}

// Guards against a caller's password that leaves the process, and against a verifier that does not match it.
func TestPasswordBecomesVerifier(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../_fixtures/services/lakeshore.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	specs, _, _ := opcli.ParseServices("f", data)
	g.Expect(fmt.Sprint(specs)).NotTo(ContainSubstring("plot-17"))
	g.Expect(scram.Matches(specs[0].Callers[0].Verifier, "plot-17")).To(BeTrue())
}

// Guards against a definition that an operator cannot edit and apply again, because its masked secrets are rejected or
// replace the stored ones, or because its text does not parse.
func TestGetAndApplyAgain(t *testing.T) {
	g := NewWithT(t)
	v := &fakeControl{}
	srv, err := admin.Listen(t.Context(), "127.0.0.1:0", v, logs.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	server := "--server=" + srv.Addr().String()
	code, _, errs := runApp(server, "service", "apply", "-f", "../../_fixtures/services/plankammer.yaml")
	g.Expect(code).To(Equal(0), errs)
	before, _ := v.catalog.Service("archive")
	_, out, _ := runApp(server, "service", "get", "archive")
	g.Expect(out).NotTo(Or(ContainSubstring("example-only"), ContainSubstring("SCRAM")))
	file := filepath.Join(t.TempDir(), "archive.yaml")
	g.Expect(os.WriteFile(file, []byte(out), 0o600)).To(Succeed())
	code, _, errs = runApp(server, "service", "apply", "-f", file, "--based-on", "3")
	g.Expect(code).To(Equal(0), errs)
	after, _ := v.catalog.Service("archive")
	g.Expect(after.Spec()).To(Equal(before.Spec()))
}

// Guards against output that is not valid JSON, and against JSON errors without the current revision or line numbers.
func TestJSON(t *testing.T) {
	g := NewWithT(t)
	v := &fakeControl{}
	srv, err := admin.Listen(t.Context(), "127.0.0.1:0", v, logs.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	common := []string{"--server=" + srv.Addr().String(), "--output=json"}
	for _, args := range []string{
		"service apply -f ../../_fixtures/services/lakeshore.yaml", "service list", "service get dues", "service history",
		"service remove dues", "vm list", "vm drain a1", "dump", "version",
	} {
		code, out, errs := runApp(append(common, strings.Fields(args)...)...)
		g.Expect(code).To(Equal(0), errs)
		g.Expect(json.Valid([]byte(out))).To(BeTrue(), args)
		g.Expect(out).NotTo(Or(ContainSubstring("example-only"), ContainSubstring("SCRAM")), args)
	}
	code, _, errs := runApp(append(common, "service", "remove", "ledger", "--based-on=1")...)
	g.Expect(code).To(Equal(4))
	g.Expect(errs).To(MatchJSON(`{"code": 601, "name": "revision_conflict", "outcome": "not run", "current_revision": 4,
		"message": "change is based on revision 1, but the current one is 4"}`))
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	g.Expect(os.WriteFile(bad, []byte("services: 3"), 0o600)).To(Succeed())
	code, _, errs = runApp(append(common, "service", "apply", "-f", bad)...)
	g.Expect(code).To(Equal(3))
	g.Expect(errs).To(And(ContainSubstring(`"line": 1`), ContainSubstring(`"path": "services"`)))
}

// Guards against a result code with two exit codes, and a documented result code that does not exist.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	exitByResult := make(map[result.Code]int)
	for i, e := range opcli.Exits() {
		g.Expect(e.Code()).To(Equal(i))
		for _, c := range e.Results() {
			g.Expect(exitByResult).NotTo(HaveKey(c))
			exitByResult[c] = i
			g.Expect(result.Lookup(c).Code()).To(Equal(c))
		}
	}
}

// Guards against commands that are missing from shell completion.
func TestCompletion(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("COMP_LINE", "verbenagate service ")
	code, out, _ := runApp()
	g.Expect(code).To(Equal(0))
	g.Expect(strings.Fields(out)).To(ContainElements("apply", "get", "history", "list", "remove"))
}

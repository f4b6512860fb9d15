package proof

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/lab/audit"
	"verbenagate/lab/load"
	"verbenagate/lab/plat"
	"verbenagate/lab/server"
)

// scriptDir is the directory of the scenarios, one per file. Its README.md describes the steps.
const scriptDir = "../../_fixtures/proof"

// Guards against promises that are broken in one of the failures that the scripts stage. The VMs run in processes of their own.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scriptDir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in %s: %v", scriptDir, err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			// Ten concurrent scenarios would start about 40 processes, which is too much for a small machine.
			scenarioSlots <- struct{}{}
			defer func() { <-scenarioSlots }()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t, begin: time.Now()}
			s.play(string(text))
		})
	}
}

// scenarioSlots limits the number of scenarios that run concurrently.
var scenarioSlots = make(chan struct{}, 4)

// script is the state of one scenario.
type script struct {
	t              *testing.T
	w              *deployment
	begin          time.Time // start of the load
	record         *load.Record
	loadDone       sync.WaitGroup
	lastFault      time.Duration  // time from the start of the load to the last fault
	promotedAt     time.Duration  // time from the start of the load to the last promotion that was seen
	primaryBefore  *server.Server // primary before the last fault
	termBefore     uint64         // term of primaryBefore at that time
	loaded         bool
	reachableAgain time.Duration // time from the start of the load until the server of the last fault was reachable again
	audited        bool
	isolated       string            // data centre that is isolated
	isolatedAt     time.Time         // when it was isolated
	owners         map[string]string // owners by server address, as noted by "note owners"
	savedState     plat.Snapshot
	revision       uint64
	paused         string      // id of the VM that is stopped until the step "continue"
	held           *heldCommit // write of the step "hold commit"
}

// steps maps the first word of a step to its function, which gets the other words. A step with wrong words panics or fails the
// test.
var steps map[string]func(s *script, a []string)

func init() {
	steps = map[string]func(s *script, a []string){
		"deploy": (*script).deploy, "load": (*script).load, "end": (*script).end, "audit": (*script).audit,
		"sleep": func(s *script, a []string) { time.Sleep(s.duration(a[0])) },
		"await": (*script).await, "expect": (*script).expect,
		"crash": (*script).crash, "restart": (*script).restart, "freeze": (*script).freeze, "thaw": (*script).thaw,
		"cut": (*script).cut, "isolate": (*script).isolate, "link": (*script).link, "heal": (*script).heal,
		"inside": (*script).inside, "answers": (*script).answers, "note": func(s *script, _ []string) { s.owners = s.ownersByServer() },
		"lag": (*script).lag, "leave": (*script).leave, "platform": (*script).platform,
		"kill": func(s *script, a []string) {
			s.noteFault()
			s.w.signal(a[0], syscall.SIGKILL)
			_ = s.w.awaitExit(a[0], 5*time.Second) // the error is the signal
		},
		"stop":      func(s *script, a []string) { s.pauseVM(a) },
		"hold":      func(s *script, _ []string) { s.holdCommit() },
		"continue":  func(s *script, _ []string) { s.resumePaused() },
		"silence":   (*script).silence,
		"terminate": func(s *script, a []string) { s.w.signal(a[0], syscall.SIGTERM); s.awaitGracefulExit(a[0]) },
		"drain":     func(s *script, a []string) { s.drain(a[0]) },
		"run":       func(s *script, a []string) { s.w.startVM(a[0]) },
		"add":       func(s *script, a []string) { s.w.addVM(a[0], a[1], a[2:]...); s.w.startVM(a[0]) },
		"serves":    func(s *script, a []string) { s.w.awaitServing(a[0]) },
		"apply":     (*script).apply, "race": (*script).race, "snapshot": (*script).snapshot, "restore": (*script).restore,
		"bad": (*script).badInput, "resubmit": (*script).resubmit,
	}
}

func (s *script) play(text string) {
	n := 0
	for line := range strings.Lines(text) {
		n++
		words := strings.Fields(line)
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		f := steps[words[0]]
		if f == nil {
			s.t.Fatalf("line %d: unknown step %q", n, words[0])
		}
		s.t.Logf("%v: %s", time.Since(s.begin).Round(time.Millisecond), strings.TrimSpace(line))
		f(s, words[1:])
		if s.t.Failed() {
			s.t.Fatalf("line %d: %s", n, line)
		}
	}
	if s.loaded && !s.audited {
		s.t.Fatal("the script starts a load but does not audit it")
	}
}

// options parses words of the form key=value into defaults, which must have the key, and returns it.
func (s *script) options(a []string, defaults map[string]string) map[string]string {
	for _, w := range a {
		k, v, ok := strings.Cut(w, "=")
		if _, known := defaults[k]; !ok || !known {
			s.t.Fatalf("unknown option %q", w)
		}
		defaults[k] = v
	}
	return defaults
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *script) number(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return f
}

func (s *script) deploy(a []string) {
	o := s.options(a, map[string]string{
		"vms": "3", "servers": "3", "lag": "20ms", "age": staleAge.String(), "timeout": "20s", "ack": "quorum",
	})
	s.w = newDeployment(s.t, deploymentSize{
		vms: int(s.number(o["vms"])), servers: int(s.number(o["servers"])), lag: s.duration(o["lag"]),
		maxAge: s.duration(o["age"]), timeout: s.duration(o["timeout"]), ack: svcdef.Ack(o["ack"]),
	})
}

func (s *script) load(a []string) {
	o := s.options(a, map[string]string{
		"for": "5s", "rate": "200", "pay": "0.3", "transfer": "0.15", "browse": "0.1", "roam": "0.2",
	})
	p := load.Profile{
		Duration: s.duration(o["for"]), Rate: s.number(o["rate"]), Callers: callers, Pay: s.number(o["pay"]),
		Transfer: s.number(o["transfer"]), Browse: s.number(o["browse"]), Roam: s.number(o["roam"]), MaxAge: s.w.maxAge,
	}
	s.record, s.begin, s.loaded = load.NewRecord(nil), time.Now(), true
	target, begin := s.w.target(), s.begin
	s.loadDone.Go(func() { load.Run(s.w.ctx, p, load.Plan(p, 1), target, s.record, begin) })
}

// end waits until all requests of the load have ended.
func (s *script) end([]string) {
	ended := make(chan struct{})
	go func() {
		s.loadDone.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(40 * time.Second):
		s.t.Fatal("the load has not ended")
	}
	sum := s.record.Summary()
	s.t.Logf("count %v errors %v", sum.Count, sum.Errors)
}

// audit waits until all servers have applied the primary's log, and checks the answers that callers got against its data.
func (s *script) audit(a []string) {
	checks := audit.Checks{audit.CheckPayments, audit.CheckTransfers, audit.CheckReads, audit.CheckLimits}
	var losses *audit.Losses
	if len(a) > 0 && a[0] == "losses" {
		if losses = (&audit.Losses{FailedAt: s.lastFault, ReachableAgainAt: s.reachableAgain}); s.reachableAgain <= s.lastFault {
			s.t.Fatal("no step has made the server of the last fault reachable again")
		}
		if a = a[1:]; len(a) > 0 && a[0] == "some" {
			a, checks = a[1:], append(checks, audit.AllowedLosses)
		}
	}
	if len(a) > 0 {
		checks = nil
		for _, name := range a {
			checks = append(checks, name)
		}
	}
	primary := s.settle()
	r, err := audit.RunWithLosses(s.w.ctx, s.record, primary, s.w.site.Limits(), checks, losses)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Logf("checked %v", r.Looked)
	for _, f := range r.Findings {
		s.t.Errorf("%s: %s", f.Promise, f.Detail)
	}
	s.audited = true
}

func (s *script) settle() *server.Server {
	s.t.Helper()
	var primary *server.Server
	s.w.await("every server applies the log of the primary", settleTimeout, func() error {
		for _, srv := range s.w.servers() {
			if st := srv.Status(); st.IsServingPrimary() && (primary == nil || st.Term > primary.Status().Term) {
				primary = srv
			}
		}
		if primary == nil || !isReplicated(primary.Status(), s.w.servers()) {
			text := ""
			for _, srv := range s.w.servers() {
				text += fmt.Sprintf("\n%s %+v", srv.Addr(), srv.Status())
			}
			return fmt.Errorf("the servers have no common primary or differ from it:%s", text)
		}
		return nil
	})
	return primary
}

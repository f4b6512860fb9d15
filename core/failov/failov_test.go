package failov

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenagate/core/port"
)

// Guards against an acknowledgement by the primary alone that relies on confirmations from before the commit, or on old ones
// that a paused VM reads from its connections after another server was promoted.
func TestTermConfirmed(t *testing.T) {
	const limit = 500 * time.Millisecond
	commit := time.Unix(1000, 0)
	observe := func(address string, role port.Role, promised uint64, asked time.Duration) Observation {
		st := port.Status{Term: 1, Promised: promised, Role: role, Received: 10}
		return NewObservation(address, st, commit.Add(asked), 0)
	}
	for _, c := range []struct {
		name             string
		primary, replica time.Duration // when their statuses were requested, after the commit
		promised         uint64        // term that the replica has promised
		term             uint64
		now              time.Duration
		want             bool
	}{
		{"confirmed", 1, 1, 1, 1, 2, true},
		{"asked before the commit", 1, 0, 1, 1, 2, false},
		{"primary asked before the commit", 0, 1, 1, 1, 2, false},
		{"replica has promised a newer term", 1, 1, 2, 1, 2, false},
		{"another term", 1, 1, 1, 2, 2, false},
		{"at the limit", 2, 2, 1, 1, limit + 1, true},
		{"read after a pause", 1, 1, 1, 1, limit + 1, false},
		{"replica read after a pause", limit, 1, 1, 1, limit + 1, false},
		{"asked again after a pause", 3 * limit, 3 * limit, 1, 1, 3*limit + 1, true},
	} {
		obs := []Observation{
			observe("a", port.RolePrimary, 1, c.primary), observe("b", port.RoleReplica, c.promised, c.replica),
			NewObservation("c", port.Status{}, time.Time{}, 0),
		}
		if got := TermConfirmed(obs, c.term, commit, commit.Add(c.now), limit); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestScripts runs the decisions that the files in _fixtures describe. It guards against promotions that are needless
// or come too late.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := time.Unix(1000, 0)
			l := NewLimits(time.Second, 500*time.Millisecond, 2)
			switch d.Cmd {
			case "judge":
				started := now.Add(-time.Minute)
				if d.HasArg("new") {
					started = now.Add(-100 * time.Millisecond)
				}
				return AssessPrimary(now, started, parseObservations(t, now, d.Input), l).String()
			case "agree":
				var all []Health
				for _, f := range strings.Fields(d.Input) {
					all = append(all, parseHealth(t, f))
				}
				return fmt.Sprint(ShouldPromote(all[0], all[1:]))
			case "choose":
				obs := parseObservations(t, now, d.Input)
				servers := len(obs)
				if d.HasArg("servers") {
					d.ScanArgs(t, "servers", &servers)
				}
				address, err := ChoosePrimary(obs, servers)
				if err != nil {
					return err.Error()
				}
				return address
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func parseHealth(t *testing.T, s string) Health {
	for h := Healthy; h <= Leaving; h++ {
		if h.String() == s {
			return h
		}
	}
	t.Fatalf("unknown health %q", s)
	return 0
}

// parseObservations reads lines such as "a primary term=3 promised=3 received=9 age=100ms refused=0 leaving".
func parseObservations(t *testing.T, now time.Time, input string) []Observation {
	var obs []Observation
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		var st port.Status
		at, refused, every := now, 0, time.Duration(0)
		st.Role = port.RoleReplica
		for _, w := range f[1:] {
			k, v, _ := strings.Cut(w, "=")
			n, _ := strconv.ParseUint(v, 10, 64)
			switch k {
			case "primary":
				st.Role = port.RolePrimary
			case "replica":
			case "leaving":
				st.Leaving = true
			case "never":
				at = time.Time{}
			case "term":
				st.Term = n
				st.Promised = max(st.Promised, n)
			case "promised":
				st.Promised = n
			case "received":
				st.Received, st.Applied = n, n
			case "refused":
				refused = int(n)
			case "age", "every":
				d, err := time.ParseDuration(v)
				if err != nil {
					t.Fatal(err)
				}
				if k == "every" {
					every = d
				} else {
					at = now.Add(-d)
				}
			default:
				t.Fatalf("unknown word %q in an observation", w)
			}
		}
		obs = append(obs, NewObservation(f[0], st, at, refused).WithInterval(every))
	}
	return obs
}

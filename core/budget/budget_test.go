package budget_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenagate/core/budget"
)

var uses = map[string]budget.Use{"message": budget.Message, "answer": budget.Answer, "state": budget.State}

// Guards against bytes beyond the limit, against closing callers whose statements run, and against callers that block others by waiting.
func TestAccount(t *testing.T) {
	start := time.Unix(0, 0)
	var account *budget.Account[string]
	var holders map[string]*budget.Holder[string]
	holder := func(name string) *budget.Holder[string] {
		if holders[name] == nil {
			h := budget.NewHolder(name)
			holders[name] = &h
		}
		return holders[name]
	}
	datadriven.RunTest(t, "_fixtures/account.txt", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "new" {
			limit := int64(0)
			d.ScanArgs(t, "limit", &limit)
			account, holders = budget.NewAccount[string](limit), make(map[string]*budget.Holder[string])
			return ""
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			f := strings.Fields(line)
			seconds, _ := strconv.ParseFloat(f[0], 64)
			now := start.Add(time.Duration(seconds * float64(time.Second)))
			switch f[1] {
			case "take":
				n, _ := strconv.ParseInt(f[4], 10, 64)
				ok := account.Take(holder(f[2]), uses[f[3]], n)
				fmt.Fprintf(&out, "%s %s: %t", f[2], f[3], ok)
				if !ok {
					fmt.Fprintf(&out, ", closes %v", account.Evict(n, now))
				}
			case "return":
				account.Return(holder(f[2]), uses[f[3]])
				fmt.Fprintf(&out, "%s holds %d", f[2], holder(f[2]).Bytes())
			case "wait":
				account.Wait(holder(f[2]), now)
				continue
			case "resume":
				account.Resume(holder(f[2]))
				continue
			case "overdue":
				fmt.Fprintf(&out, "closes %v", account.Overdue(now))
			default:
				t.Fatalf("unknown step %q", line)
			}
			fmt.Fprintf(&out, "; used %d\n", account.Used())
		}
		return out.String()
	})
}

// Guards against limits that leave nothing for the VM itself, or that callers inside the limits of the users' pages meet.
func TestLimits(t *testing.T) {
	datadriven.RunTest(t, "_fixtures/limits.txt", func(t *testing.T, d *datadriven.TestData) string {
		var memoryMB int64
		var descriptors int
		d.ScanArgs(t, "memory", &memoryMB)
		d.ScanArgs(t, "descriptors", &descriptors)
		l := budget.NewLimits(memoryMB<<20, descriptors)
		return fmt.Sprintf("messages %d MB, heap %d MB, callers %d, socket buffer %d\n",
			l.Bytes()>>20, l.Heap()>>20, l.Callers(), l.SocketBuffer())
	})
}

// Guards against closing sessions that are in use, or that may hold a place for long without using a server.
func TestMayClose(t *testing.T) {
	for _, c := range []struct {
		connection budget.Connection
		want       bool
	}{
		{budget.Connection{Age: budget.Patience / 2}, false},
		{budget.Connection{Age: budget.Patience}, true},
		{budget.Connection{Age: budget.IdlePatience / 2, Started: true, Idle: true}, false},
		{budget.Connection{Age: budget.IdlePatience, Started: true, Idle: true}, true},
		{budget.Connection{Age: budget.IdlePatience, Started: true}, false},
		{budget.Connection{Age: time.Hour, Started: true, Idle: true, Served: true}, false},
	} {
		if got := c.connection.MayClose(); got != c.want {
			t.Errorf("%+v: %t instead of %t", c.connection, got, c.want)
		}
	}
}

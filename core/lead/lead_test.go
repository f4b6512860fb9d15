package lead

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenagate/core/point"
)

func ExampleBest() {
	best, _ := Best([]Candidate{
		NewCandidate("a", point.New(3, 1207), false), NewCandidate("b", point.New(3, 1209), false),
	})
	fmt.Println(best.ID())
	// Output: b
}

func ExamplePending() {
	members := []Member{
		NewMember("confirmed", 7, 20*time.Second, nil), NewMember("silent", 5, 20*time.Second, nil),
		NewMember("gone", 5, 3*time.Second, nil),
	}
	fmt.Println(Pending(members, 7, 10*time.Second))
	// Output: [silent]
}

// Guards against VMs that do not agree on who watches a primary, and against a load of the servers that grows with the VMs.
func TestWatchers(t *testing.T) {
	var live []Member
	for i := range 91 {
		live = append(live, NewMember(fmt.Sprint("vm", i), 1, time.Second, nil))
	}
	a := Watchers(live, "g")
	if len(a) != watchers {
		t.Fatalf("%d VMs watch", len(a))
	}
	for _, m := range a {
		live = slices.DeleteFunc(live, func(l Member) bool { return l.name == m.name })
	}
	if b := Watchers(append(live, a...), "g"); len(b) != len(a) {
		t.Fatalf("%d VMs watch with another order of the list", len(b))
	}
	if b := Watchers(a[:2], "g"); len(b) != 2 {
		t.Fatalf("%d of 2 VMs watch", len(b))
	}
}

var start = time.Unix(1000, 0)

// TestScripts runs the decisions of the files in _fixtures. It guards against a lease that outlives what the store knows of
// it, also when an agent asked for it, and against promotions that are needless, come too early or are ordered twice, also those that relieve a primary.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		var l Lease
		var c StoreClock
		var w Watch
		var b Backlog
		var granted Grants
		var contact Contact
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := func(key string) time.Time {
				var text string
				d.ScanArgs(t, key, &text)
				return start.Add(duration(t, text))
			}
			switch d.Cmd {
			case "renew":
				var epoch uint64
				d.ScanArgs(t, "epoch", &epoch)
				l.Renew(at("sent"), epoch)
				return fmt.Sprintf("until %s epoch %d", l.Until().Sub(start), l.Epoch())
			case "holds":
				return strconv.FormatBool(l.Holds(at("now")))
			case "heard":
				var value string
				d.ScanArgs(t, "value", &value)
				c.Heard(at("sent"), duration(t, value))
				return ""
			case "latest":
				v, ok := c.Latest(at("now"))
				return fmt.Sprint(v, " ", ok)
			case "pending":
				var epoch uint64
				var store string
				d.ScanArgs(t, "epoch", &epoch)
				d.ScanArgs(t, "store", &store)
				return strings.Join(Pending(members(t, d.Input), epoch, duration(t, store)), " ")
			case "agreed":
				var store string
				primary := "g"
				d.ScanArgs(t, "store", &store)
				if d.HasArg("primary") {
					d.ScanArgs(t, "primary", &primary)
				}
				return strconv.FormatBool(Agreed(Live(members(t, d.Input), duration(t, store)), primary))
			case "succeeds":
				var term, old uint64
				d.ScanArgs(t, "term", &term)
				d.ScanArgs(t, "old", &old)
				return strconv.FormatBool(Succeeds(term, NewRecord(Moving, "s", old, "vm")))
			case "isolated":
				var unreachable, groups int
				d.ScanArgs(t, "unreachable", &unreachable)
				d.ScanArgs(t, "groups", &groups)
				return strconv.FormatBool(Isolated(unreachable, groups))
			case "holders":
				var store string
				d.ScanArgs(t, "store", &store)
				return strconv.Itoa(Holders(members(t, d.Input), duration(t, store)))
			case "best":
				best, ok := Best(candidates(t, d.Input))
				return fmt.Sprint(best.ID(), " ", ok)
			case "grant":
				var until, heard string
				d.ScanArgs(t, "until", &until)
				d.ScanArgs(t, "heard", &heard)
				renew, leave := requests(t, d.Input)
				granted = granted.With(renew, leave, duration(t, until), duration(t, heard))
				return show(granted.Members())
			case "union":
				granted = granted.Union(NewGrants(members(t, d.Input)))
				return show(granted.Members())
			case "urgent":
				return strconv.FormatBool(granted.Urgent(members(t, d.Input)[0]))
			case "merge":
				return show(Merge(members(t, d.Input)))
			case "agents":
				var dataCentre string
				d.ScanArgs(t, "data-centre", &dataCentre)
				return names(Agents(places(d.Input), dataCentre))
			case "contact-failed":
				var vm string
				d.ScanArgs(t, "vm", &vm)
				contact.Failed(vm, at("asked"))
				return strconv.FormatBool(contact.Lost(at("asked")))
			case "contact-answered":
				contact.Answered()
				return strconv.FormatBool(contact.Lost(start.Add(time.Hour)))
			case "contact-lost":
				return strconv.FormatBool(contact.Lost(at("now")))
			case "contacts":
				var self, dataCentre string
				d.ScanArgs(t, "self", &self)
				d.ScanArgs(t, "data-centre", &dataCentre)
				return centres(Contacts(places(d.Input), self, dataCentre))
			case "renewed":
				var since, now string
				d.ScanArgs(t, "since", &since)
				d.ScanArgs(t, "now", &now)
				return strconv.FormatBool(Renewed(members(t, d.Input), duration(t, since), duration(t, now)))
			case "survey":
				var primary string
				d.ScanArgs(t, "primary", &primary)
				b.Surveyed(position(t, primary), replicas(t, d.Input), !d.HasArg("incomplete"))
				return strconv.Itoa(b.surveys)
			case "persists":
				return strconv.FormatBool(b.Persists(at("now"), at("led")))
			case "failed":
				w.Failed(at("asked"))
				return ""
			case "succeeded":
				w.Succeeded(at("asked"))
				return ""
			case "unreachable":
				return strconv.FormatBool(w.Unreachable(at("now"), d.HasArg("refused")))
			case "may-order":
				return strconv.FormatBool(MayOrder(at("now"), at("written")))
			case "may-take-over":
				return strconv.FormatBool(MayTakeOver(at("now"), at("seen")))
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func duration(t *testing.T, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// members reads lines "NAME EPOCH UNTIL [suspects]".
func members(t *testing.T, input string) []Member {
	var all []Member
	for l := range strings.Lines(input) {
		f := strings.Fields(l)
		epoch, err := strconv.ParseUint(f[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		var suspect []string
		if len(f) > 3 {
			suspect = []string{"g"}
		}
		all = append(all, NewMember(f[0], epoch, duration(t, f[2]), suspect))
	}
	return all
}

// requests reads lines "renew NAME EPOCH" and "leave NAME EPOCH".
func requests(t *testing.T, input string) (renew, leave []Member) {
	for l := range strings.Lines(input) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(l), " ")
		m := members(t, rest+" 0s")[0]
		if verb == "leave" {
			leave = append(leave, m)
		} else {
			renew = append(renew, m)
		}
	}
	return renew, leave
}

// places reads lines "NAME DATA-CENTRE ADDRESS"; the address - stands for none.
func places(input string) []Member {
	var all []Member
	for l := range strings.Lines(input) {
		f := strings.Fields(l)
		all = append(all, NewMember(f[0], 0, 0, nil).At(f[1], strings.Trim(f[2], "-")))
	}
	return all
}

// centres counts VMs and their data centres.
func centres(all []Member) string {
	known := make(map[string]bool)
	for _, m := range all {
		known[m.DataCentre()] = true
	}
	return fmt.Sprintf("%d of %d data centres", len(all), len(known))
}

func show(all []Member) string {
	var out strings.Builder
	for _, m := range all {
		fmt.Fprintln(&out, m.Name(), m.Epoch(), m.Until())
	}
	return out.String()
}

func names(all []Member) string {
	var list []string
	for _, m := range all {
		list = append(list, m.Name())
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func position(t *testing.T, text string) point.Point {
	var term, number uint64
	if _, err := fmt.Sscanf(text, "%d/%d", &term, &number); err != nil {
		t.Fatal(err)
	}
	return point.New(term, number)
}

// replicas reads lines "TERM/POSITION LAG".
func replicas(t *testing.T, input string) []Replica {
	var all []Replica
	for l := range strings.Lines(input) {
		f := strings.Fields(l)
		all = append(all, NewReplica(position(t, f[0]), duration(t, f[1])))
	}
	return all
}

// candidates reads lines "ID TERM POSITION".
func candidates(t *testing.T, input string) []Candidate {
	var all []Candidate
	for l := range strings.Lines(input) {
		var id string
		var term, position uint64
		if _, err := fmt.Sscan(l, &id, &term, &position); err != nil {
			t.Fatal(err)
		}
		all = append(all, NewCandidate(id, point.New(term, position), false))
	}
	return all
}

// Guards against an order that is still on its way when another VM takes the promotion over.
func TestOrderEndsBeforeTakeover(t *testing.T) {
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		if now := start.Add(d); MayOrder(now.Add(-2*time.Second), start) && MayTakeOver(now, start) {
			t.Fatalf("an order of up to 2 s meets a takeover after %s", d)
		}
	}
}

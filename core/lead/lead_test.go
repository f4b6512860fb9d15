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

func ExampleBestCandidate() {
	best, _ := BestCandidate([]Candidate{
		NewCandidate("a", point.New(3, 1207), false), NewCandidate("b", point.New(3, 1209), false),
	})
	fmt.Println(best.ID())
	// Output: b
}

func ExamplePoll_SafeCandidate() {
	// Replica a has received the newest commits and is about to stop; b has received none for a while.
	poll := NewPoll([]Candidate{
		NewCandidate("a", point.New(3, 1209), false).WithDraining(true), NewCandidate("b", point.New(3, 1100), false),
	}, 0)
	_, ok := poll.SafeCandidate(point.Point{}, 1, false)
	best, _ := poll.SafeCandidate(point.Point{}, 1, true)
	fmt.Println(ok, best.ID())
	// Output: false a
}

func ExamplePendingMembers() {
	members := []Member{
		NewMember("confirmed", 7, 20*time.Second, nil), NewMember("silent", 5, 20*time.Second, nil),
		NewMember("gone", 5, 3*time.Second, nil),
	}
	fmt.Println(PendingMembers(members, 7, 10*time.Second))
	// Output: [silent]
}

// Guards against VMs that choose different watchers for a primary, and against server load that grows with the number of VMs.
func TestWatchers(t *testing.T) {
	var live []Member
	for i := range 91 {
		live = append(live, NewMember(fmt.Sprint("vm", i), 1, time.Second, nil))
	}
	a := NewWatchers(live).Of("g")
	if len(a) != maxWatchers {
		t.Fatalf("%d VMs were chosen as watchers", len(a))
	}
	for _, m := range a {
		live = slices.DeleteFunc(live, func(l Member) bool { return l.name == m.name })
	}
	if b := NewWatchers(append(live, a...)).Of("g"); len(b) != len(a) {
		t.Fatalf("%d VMs were chosen as watchers from the same list in another order", len(b))
	}
	if b := NewWatchers(a[:2]).Of("g"); len(b) != 2 {
		t.Fatalf("%d of 2 VMs were chosen as watchers", len(b))
	}
}

var start = time.Unix(1000, 0)

// TestScripts runs the decisions of the files in _fixtures. It guards against a lease that outlasts the store's record of it,
// also when an agent requested it. It also guards against promotions that are needless, come too early or are ordered twice,
// including those because of a backlog.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		var l Lease
		var c StoreClock
		var w FailureDetector
		var b BacklogDetector
		var granted Grants
		var contact IsolationDetector
		var paths Reachability
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := func(key string) time.Time {
				var text string
				d.ScanArgs(t, key, &text)
				return start.Add(parseDuration(t, text))
			}
			switch d.Cmd {
			case "renew":
				var epoch uint64
				d.ScanArgs(t, "epoch", &epoch)
				l.Renew(at("sent"), epoch)
				return fmt.Sprintf("until %s epoch %d", l.Until().Sub(start), l.Epoch())
			case "holds":
				return strconv.FormatBool(l.Valid(at("now")))
			case "heard":
				var value string
				d.ScanArgs(t, "value", &value)
				c.RecordAnswer(at("sent"), parseDuration(t, value))
				return ""
			case "latest":
				v, ok := c.UpperBound(at("now"))
				return fmt.Sprint(v, " ", ok)
			case "pending":
				var epoch uint64
				var store string
				d.ScanArgs(t, "epoch", &epoch)
				d.ScanArgs(t, "store", &store)
				return strings.Join(PendingMembers(parseMembers(t, d.Input), epoch, parseDuration(t, store)), " ")
			case "agreed":
				var store string
				primary := "g"
				d.ScanArgs(t, "store", &store)
				if d.HasArg("primary") {
					d.ScanArgs(t, "primary", &primary)
				}
				return strconv.FormatBool(MajoritySuspects(LiveMembers(parseMembers(t, d.Input), parseDuration(t, store)), primary))
			case "succeeds":
				var term, old uint64
				d.ScanArgs(t, "term", &term)
				d.ScanArgs(t, "old", &old)
				return strconv.FormatBool(LeadsNewerTerm(term, NewRecord(Moving, "s", old, "vm")))
			case "isolated":
				var unreachable, groups int
				d.ScanArgs(t, "unreachable", &unreachable)
				d.ScanArgs(t, "groups", &groups)
				return strconv.FormatBool(Isolated(unreachable, groups))
			case "holders":
				var store string
				d.ScanArgs(t, "store", &store)
				return strconv.Itoa(ConnectionHolders(parseMembers(t, d.Input), parseDuration(t, store)))
			case "best":
				best, ok := BestCandidate(parseCandidates(t, d.Input))
				return fmt.Sprint(best.ID(), " ", ok)
			case "safe":
				return formatSafe(t, d)
			case "grant":
				var until, heard string
				d.ScanArgs(t, "until", &until)
				d.ScanArgs(t, "heard", &heard)
				renew, leave := parseRequests(t, d.Input)
				granted = granted.With(renew, leave, parseDuration(t, until), parseDuration(t, heard))
				return formatMembers(granted.Members())
			case "union":
				granted = granted.Union(NewGrants(parseMembers(t, d.Input)))
				return formatMembers(granted.Members())
			case "urgent":
				return strconv.FormatBool(granted.Urgent(parseMembers(t, d.Input)[0]))
			case "merge":
				return formatMembers(Merge(parseMembers(t, d.Input)))
			case "agents":
				var dataCentre string
				d.ScanArgs(t, "data-centre", &dataCentre)
				return joinNames(Agents(parseLocations(d.Input), dataCentre))
			case "contact-failed":
				var vm string
				d.ScanArgs(t, "vm", &vm)
				contact.RecordFailure(vm, at("asked"))
				return strconv.FormatBool(contact.CutOff(at("asked")))
			case "contact-answered":
				contact.RecordAnswer()
				return strconv.FormatBool(contact.CutOff(start.Add(time.Hour)))
			case "contact-lost":
				return strconv.FormatBool(contact.CutOff(at("now")))
			case "path-failed":
				var dataCentre, vm string
				d.ScanArgs(t, "data-centre", &dataCentre)
				d.ScanArgs(t, "vm", &vm)
				paths.RecordFailure(dataCentre, vm, at("asked"))
				return strings.Join(paths.Unanswered(), " ")
			case "path-answered":
				var dataCentre string
				d.ScanArgs(t, "data-centre", &dataCentre)
				paths.RecordAnswer(dataCentre)
				return strings.Join(paths.Unanswered(), " ")
			case "paths":
				return fmt.Sprint(paths.Unreachable(at("now")), " cut off ", paths.CutOff(at("now")))
			case "contacts":
				var self, dataCentre string
				d.ScanArgs(t, "self", &self)
				d.ScanArgs(t, "data-centre", &dataCentre)
				return countDataCentres(Contacts(parseLocations(d.Input), self, dataCentre))
			case "renewed":
				var since, now string
				d.ScanArgs(t, "since", &since)
				d.ScanArgs(t, "now", &now)
				return strconv.FormatBool(AllRenewedSince(parseMembers(t, d.Input), parseDuration(t, since), parseDuration(t, now)))
			case "survey":
				var primary string
				d.ScanArgs(t, "primary", &primary)
				b.AddSurvey(parsePoint(t, primary), parseReplicas(t, d.Input), !d.HasArg("incomplete"))
				return strconv.Itoa(b.consecutiveSurveys)
			case "persists":
				return strconv.FormatBool(b.ReplacementDue(at("now"), at("led")))
			case "failed":
				w.RecordFailure(at("asked"))
				return ""
			case "succeeded":
				w.RecordSuccess(at("asked"))
				return ""
			case "unreachable":
				return strconv.FormatBool(w.Unreachable(at("now"), d.HasArg("refused")))
			case "may-order":
				return strconv.FormatBool(MayOrderPromotion(at("now"), at("written")))
			case "may-take-over":
				return strconv.FormatBool(MayTakeOverPromotion(at("now"), at("seen")))
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func parseDuration(t *testing.T, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// parseMembers reads lines "NAME EPOCH UNTIL [suspects]"; with a fourth field the VM suspects the primary g.
func parseMembers(t *testing.T, input string) []Member {
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
		all = append(all, NewMember(f[0], epoch, parseDuration(t, f[2]), suspect))
	}
	return all
}

// parseRequests reads lines "renew NAME EPOCH" and "leave NAME EPOCH".
func parseRequests(t *testing.T, input string) (renew, leave []Member) {
	for l := range strings.Lines(input) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(l), " ")
		m := parseMembers(t, rest+" 0s")[0]
		if verb == "leave" {
			leave = append(leave, m)
		} else {
			renew = append(renew, m)
		}
	}
	return renew, leave
}

// parseLocations reads lines "NAME DATA-CENTRE ADDRESS"; the address - stands for none.
func parseLocations(input string) []Member {
	var all []Member
	for l := range strings.Lines(input) {
		f := strings.Fields(l)
		all = append(all, NewMember(f[0], 0, 0, nil).WithLocation(f[1], strings.Trim(f[2], "-")))
	}
	return all
}

// countDataCentres returns the number of members and the number of their data centres as a text.
func countDataCentres(all []Member) string {
	known := make(map[string]bool)
	for _, m := range all {
		known[m.DataCentre()] = true
	}
	return fmt.Sprintf("%d of %d data centres", len(all), len(known))
}

func formatMembers(all []Member) string {
	var out strings.Builder
	for _, m := range all {
		fmt.Fprintln(&out, m.Name(), m.Epoch(), m.Until())
	}
	return out.String()
}

func joinNames(all []Member) string {
	var list []string
	for _, m := range all {
		list = append(list, m.Name())
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func parsePoint(t *testing.T, text string) point.Point {
	var term, number uint64
	if _, err := fmt.Sscanf(text, "%d/%d", &term, &number); err != nil {
		t.Fatal(err)
	}
	return point.New(term, number)
}

// parseReplicas reads lines "TERM/POSITION LAG".
func parseReplicas(t *testing.T, input string) []Replica {
	var all []Replica
	for l := range strings.Lines(input) {
		f := strings.Fields(l)
		all = append(all, NewReplica(parsePoint(t, f[0]), parseDuration(t, f[1])))
	}
	return all
}

// formatSafe returns the server that is promoted for the answers "ID TERM POSITION [draining]", without and with draining ones.
// The argument "silent" is how many servers do not answer, "primary" the position of the old primary, "gone" says that the old
// primary cannot return, and "required" is the position at which it was promoted.
func formatSafe(t *testing.T, d *datadriven.TestData) string {
	silent, syncReplicas := 0, 1
	d.MaybeScanArgs(t, "silent", &silent)
	d.MaybeScanArgs(t, "sync", &syncReplicas)
	position := func(key string) (p point.Point, ok bool) {
		var text string
		if !d.HasArg(key) {
			return p, false
		}
		d.ScanArgs(t, key, &text)
		p, err := point.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return p, true
	}
	poll := NewPoll(parseCandidates(t, d.Input), silent).WithSilentPrimary(!d.HasArg("gone"))
	if p, ok := position("primary"); ok {
		poll = poll.WithPrimary(NewCandidate("old", p, false))
	}
	required, _ := position("required")
	name := func(allowDraining bool) string {
		if c, ok := poll.SafeCandidate(required, syncReplicas, allowDraining); ok {
			return c.ID()
		}
		return "none"
	}
	return name(false) + " " + name(true)
}

// parseCandidates reads lines "ID TERM POSITION [draining]".
func parseCandidates(t *testing.T, input string) []Candidate {
	var all []Candidate
	for l := range strings.Lines(input) {
		l, draining := strings.CutSuffix(strings.TrimSpace(l), " draining")
		var id string
		var term, position uint64
		if _, err := fmt.Sscan(l, &id, &term, &position); err != nil {
			t.Fatal(err)
		}
		all = append(all, NewCandidate(id, point.New(term, position), false).WithDraining(draining))
	}
	return all
}

// Guards against a promotion order that is still in flight when another VM takes the promotion over.
func TestOrderEndsBeforeTakeover(t *testing.T) {
	for d := time.Duration(0); d < 10*time.Second; d += 100 * time.Millisecond {
		if now := start.Add(d); MayOrderPromotion(now.Add(-2*time.Second), start) && MayTakeOverPromotion(now, start) {
			t.Fatalf("a promotion order in flight for 2 s overlaps a takeover %s after the record was written", d)
		}
	}
}

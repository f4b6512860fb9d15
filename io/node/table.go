package node

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// tableSessions bounds the sessions that the table lists; the JSON form has all.
const tableSessions = 50

// WriteTable writes the state as tables for people.
func (s State) WriteTable(w io.Writer) error {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row("VM", s.VM)
	t.row("data centre", s.DataCentre)
	t.row("at", s.At.Format(time.RFC3339))
	t.row("started", s.Started.Format(time.RFC3339))
	t.row("config revision", s.Revision)
	t.row("services", strings.Join(s.Services, " "))
	t.row("sessions", len(s.Sessions))
	t.row("store reachable", s.StoreUp)
	t.row("draining", s.Draining)
	c := s.Counts
	t.row("units", fmt.Sprintf("replica reads %d, primary reads %d, writes %d, retries %d, not run %d, unknown %d",
		c.ReplicaReads, c.PrimaryReads, c.Writes, c.Retries, c.NotRun, c.Unknown))
	s.groups(t)
	s.servers(t)
	t.section("VM", "DATA CENTRE", "STATE", "ADDRESS", "INCARNATION")
	for _, m := range s.Members {
		t.row(m.ID, m.DataCentre, m.State, m.Address, m.Incarnation)
	}
	s.sessions(t)
	return t.Flush()
}

func (s State) groups(t *table) {
	t.section("SERVICE", "PRIMARY", "TERM", "RESERVED TERM", "HEALTH")
	for _, g := range s.Hosted {
		t.row(g.Service, g.Primary, g.Term, g.Reserved, g.Health)
	}
	t.section("WATCHED", "ROLE", "TERM", "PROMISED", "RECEIVED", "APPLIED", "LEAVING", "STATUS AGE", "DATA AGE", "REFUSED")
	for _, g := range s.Hosted {
		for _, v := range g.Watched {
			age := "unknown"
			if v.AgeKnown {
				age = short(v.Age)
			}
			seen := "never"
			if v.StatusAge >= 0 {
				seen = short(v.StatusAge)
			}
			t.row(v.Address, v.Role, v.Term, v.Promised, v.Received, v.Applied, v.Leaving, seen, age, v.Refused)
		}
	}
}

func (s State) servers(t *table) {
	t.section("OWNED", "QUEUED", "SHORT", "LONG", "SLOTS", "CONNECTIONS", "IDLE", "OPENING", "HELD", "FAILURES", "SHED",
		"LONG FROM")
	for _, g := range s.Hosted {
		for _, o := range g.Owned {
			t.row(o.Address, o.Queued, o.Short, o.Long, o.Slots, o.Open, o.Idle, o.Pending, o.Held, o.Fails,
				o.ShortCounts.Shed+o.LongCounts.Shed, short(o.Threshold))
		}
	}
}

// sessions lists those that are at work, the one that has not changed for longest first.
func (s State) sessions(t *table) {
	busy := slices.DeleteFunc(slices.Clone(s.Sessions), func(v SessionState) bool { return !v.Running && v.Status == "idle" })
	slices.SortFunc(busy, func(a, b SessionState) int {
		return cmp.Or(a.Changed.Compare(b.Changed), cmp.Compare(a.ProcessID, b.ProcessID))
	})
	t.section("SESSION AT WORK", "SERVICE", "USER", "REMOTE", "RUNNING", "TRANSACTION", "FOR", "PREPARED")
	for i, v := range busy {
		if i == tableSessions {
			t.row(fmt.Sprintf("and %d more", len(busy)-i))
			break
		}
		t.row(v.ProcessID, v.Service, v.User, v.Remote, v.Running, v.Status, short(s.At.Sub(v.Changed)), v.Prepared)
	}
}

func short(d time.Duration) string {
	if d < time.Second {
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

type table struct{ *tabwriter.Writer }

// section starts a table of its own, whose columns are not aligned with those before.
func (t *table) section(titles ...any) {
	_ = t.Flush() // an error comes again with the last Flush
	fmt.Fprintln(t)
	t.row(titles...)
}

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		fmt.Fprint(t, c)
	}
	fmt.Fprintln(t)
}

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

// maxTableSessions is the maximum number of sessions in the table; the JSON form has all.
const maxTableSessions = 50

// WriteTable writes the state as text tables for operators.
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
	s.writeGroups(t)
	s.writeServers(t)
	t.section("VM", "DATA CENTRE", "STATE", "ADDRESS", "INCARNATION")
	for _, m := range s.Members {
		t.row(m.ID, m.DataCentre, m.State, m.Address, m.Incarnation)
	}
	s.writeSessions(t)
	return t.Flush()
}

func (s State) writeGroups(t *table) {
	t.section("SERVICE", "PRIMARY", "TERM", "RESERVED TERM", "HEALTH")
	for _, g := range s.Hosted {
		t.row(g.Service, g.Primary, g.Term, g.Reserved, g.Health)
	}
	t.section("WATCHED", "ROLE", "TERM", "PROMISED", "RECEIVED", "APPLIED", "LEAVING", "STATUS AGE", "DATA AGE", "REFUSED")
	for _, g := range s.Hosted {
		for _, v := range g.Watched {
			dataAge := "unknown"
			if v.AgeKnown {
				dataAge = roundDuration(v.Age)
			}
			statusAge := "never"
			if v.StatusAge >= 0 {
				statusAge = roundDuration(v.StatusAge)
			}
			t.row(v.Address, v.Role, v.Term, v.Promised, v.Received, v.Applied, v.Leaving, statusAge, dataAge, v.Refused)
		}
	}
}

func (s State) writeServers(t *table) {
	t.section("OWNED", "QUEUED", "SHORT", "LONG", "SLOTS", "CONNECTIONS", "IDLE", "OPENING", "HELD", "FAILURES", "SHED",
		"LONG FROM")
	for _, g := range s.Hosted {
		for _, o := range g.Owned {
			t.row(o.Address, o.Queued, o.RunningShort, o.RunningLong, o.Slots, o.OpenConnections, o.IdleConnections,
				o.PendingConnections, o.HeldConnections, o.ConnectFailures,
				o.ShortCounts.Shed+o.LongCounts.Shed, roundDuration(o.LongThreshold))
		}
	}
}

// writeSessions lists the sessions with a running unit or an open transaction, the longest unchanged ones first.
func (s State) writeSessions(t *table) {
	busy := slices.DeleteFunc(slices.Clone(s.Sessions), func(v SessionState) bool { return !v.Running && v.Status == "idle" })
	slices.SortFunc(busy, func(a, b SessionState) int {
		return cmp.Or(a.Changed.Compare(b.Changed), cmp.Compare(a.ProcessID, b.ProcessID))
	})
	t.section("SESSION AT WORK", "SERVICE", "USER", "REMOTE", "RUNNING", "TRANSACTION", "FOR", "PREPARED")
	for i, v := range busy {
		if i == maxTableSessions {
			t.row(fmt.Sprintf("and %d more", len(busy)-i))
			break
		}
		t.row(v.ProcessID, v.Service, v.User, v.Remote, v.Running, v.Status, roundDuration(s.At.Sub(v.Changed)), v.Prepared)
	}
}

func roundDuration(d time.Duration) string {
	if d < time.Second {
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

type table struct{ *tabwriter.Writer }

// section starts a new table, whose columns are aligned independently of the previous ones.
func (t *table) section(titles ...any) {
	_ = t.Flush() // the last Flush returns the same error
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

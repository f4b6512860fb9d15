package watch

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/port"
)

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

// newTestDirectory returns a directory that calls no store. The test passes rows to its followers and advances its clock.
func newTestDirectory() (*Directory, *time.Time) {
	now := time.Unix(1000, 0)
	d := &Directory{
		source: Source{
			ConfigKey: "config",
			ParseConfig: func(value []byte) (layout.Config, error) {
				return layout.NewConfig(uint64(value[0]), nil, nil, 0), nil
			},
			ParseServer: func(id string, value []byte) (layout.Server, error) {
				if len(value) == 0 {
					return layout.Server{}, errors.New("empty entry")
				}
				return layout.NewServer(id, "g", string(value), "dc", 1, false, false, 1), nil
			},
		},
		clock: func() time.Time { return now }, log: discardLogger{}, onChange: func(*View) {},
		servers: make(map[string]layout.Server), removeAfter: make(map[string]time.Time), departed: make(map[string]departure),
	}
	d.publish()
	return d, &now
}

func entries(ids ...string) port.Snapshot {
	var s port.Snapshot
	for _, id := range ids {
		s.Rows = append(s.Rows, port.Row{Key: id, Value: []byte("address")})
	}
	return s
}

// Guards against servers that are removed because their entries expired during an outage of the store, and against servers that
// are kept although they did not register again.
func TestEntriesLapsedInAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newTestDirectory()
	f := (*serverFollower)(d)
	f.Reset(*now, entries("a", "b", "c"))
	f.CallFailed(errors.New("no answer"))
	f.CallFailed(errors.New("no answer"))
	*now = now.Add(10 * time.Second)
	f.Reset(*now, entries("a"))
	g.Expect(d.View().ServerCount()).To(gomega.Equal(3), "the servers may still register again")
	*now = now.Add(time.Second)
	f.Change(*now, entries("b"))
	d.removeExpired()
	g.Expect(d.View().ServerCount()).To(gomega.Equal(3))
	*now = now.Add(reregisterGrace)
	d.removeExpired()
	_, known := d.View().Server("b")
	g.Expect(known).To(gomega.BeTrue(), "the server registered again")
	_, known = d.View().Server("c")
	g.Expect(known).To(gomega.BeFalse(), "the server did not register again")
}

// Guards against a server that is removed since it registered in the seconds that the store lost, against one that comes back with a copy
// of the store although it has left, and against one that stays away although it registered again.
func TestServersOfACopy(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newTestDirectory()
	f := (*serverFollower)(d)
	f.Reset(*now, entries("a", "left", "joined"))
	f.Change(*now, port.Snapshot{Rows: []port.Row{{Key: "left", Deleted: true}}})
	copied := entries("a", "left")
	copied.Version = eras.At(1, 3)
	f.Reset(*now, copied)
	_, known := d.View().Server("joined")
	g.Expect(known).To(gomega.BeTrue(), "the server may still write its entry again")
	_, known = d.View().Server("left")
	g.Expect(known).To(gomega.BeFalse(), "the entry is older than the server's leaving")
	*now = now.Add(reregisterGrace + time.Second)
	f.Change(*now, entries("left"))
	d.removeExpired()
	_, known = d.View().Server("joined")
	g.Expect(known).To(gomega.BeFalse(), "the server did not write its entry again")
	_, known = d.View().Server("left")
	g.Expect(known).To(gomega.BeTrue(), "the server has written its entry again")
	*now = now.Add(departureMemory + time.Second)
	d.removeExpired()
	g.Expect(d.departed).To(gomega.BeEmpty(), "a copy is not that old")
}

// Guards against a server that is kept although its entry was deleted or became invalid while the store answers.
func TestEntryRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newTestDirectory()
	f := (*serverFollower)(d)
	f.Reset(*now, entries("a", "b"))
	f.Change(*now, port.Snapshot{Rows: []port.Row{{Key: "a", Deleted: true}}})
	g.Expect(d.View().ServerCount()).To(gomega.Equal(1))
	f.Change(*now, port.Snapshot{Rows: []port.Row{{Key: "b"}}})
	g.Expect(d.View().ServerCount()).To(gomega.BeZero(), "a server with an invalid entry is removed")
}

// Guards against a configuration that reverts to an older version, and against a directory that is ready before it has read both
// tables.
func TestConfigNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newTestDirectory()
	f := (*configFollower)(d)
	version := func(n byte) port.Snapshot {
		return port.Snapshot{Rows: []port.Row{{Key: "config", Value: []byte{n}}, {Key: "other", Value: []byte{99}}}}
	}
	f.Reset(*now, version(7))
	g.Expect(d.Ready()).To(gomega.BeFalse())
	(*serverFollower)(d).Reset(*now, entries())
	g.Expect(d.Ready()).To(gomega.BeTrue())
	f.Reset(*now, version(6))
	g.Expect(d.View().Config().Version()).To(gomega.BeEquivalentTo(7))
	f.Change(*now, version(8))
	g.Expect(d.View().Config().Version()).To(gomega.BeEquivalentTo(8))
}

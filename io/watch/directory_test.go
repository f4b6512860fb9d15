package watch

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/port"
)

type silent struct{}

func (silent) Event(event.ID, ...zap.Field) {}

// newDirectory returns a directory without calls of a store; the test feeds its followers and moves its clock.
func newDirectory() (*Directory, *time.Time) {
	now := time.Unix(1000, 0)
	d := &Directory{
		source: Source{
			ConfigKey: "config",
			ParseConfig: func(value []byte) (layout.Config, error) {
				return layout.NewConfig(uint64(value[0]), nil, nil, 0), nil
			},
			ParseServer: func(id string, value []byte) (layout.Server, error) {
				if len(value) == 0 {
					return layout.Server{}, errors.New("not an entry")
				}
				return layout.NewServer(id, "g", string(value), "dc", 1, false, false, 1), nil
			},
		},
		clock: func() time.Time { return now }, log: silent{}, changed: func(*View) {},
		servers: make(map[string]layout.Server), missing: make(map[string]time.Time),
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

// Guards against servers that are dropped because their entries lapsed while the store was away, and against ones that are kept
// although they did not come back.
func TestEntriesLapsedInAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newDirectory()
	f := (*serverFollower)(d)
	f.Reset(*now, entries("a", "b", "c"))
	f.Down(errors.New("no answer"))
	f.Down(errors.New("no answer"))
	*now = now.Add(10 * time.Second)
	f.Reset(*now, entries("a"))
	g.Expect(d.View().Servers()).To(gomega.Equal(3), "the entries have time to come back")
	*now = now.Add(time.Second)
	f.Change(*now, entries("b"))
	d.expire()
	g.Expect(d.View().Servers()).To(gomega.Equal(3))
	*now = now.Add(returnTime)
	d.expire()
	_, known := d.View().Server("b")
	g.Expect(known).To(gomega.BeTrue(), "it came back")
	_, known = d.View().Server("c")
	g.Expect(known).To(gomega.BeFalse(), "it is gone")
}

// Guards against a server that is kept after it has left while the store answers.
func TestEntryRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newDirectory()
	f := (*serverFollower)(d)
	f.Reset(*now, entries("a", "b"))
	f.Change(*now, port.Snapshot{Rows: []port.Row{{Key: "a", Deleted: true}}})
	g.Expect(d.View().Servers()).To(gomega.Equal(1))
	f.Change(*now, port.Snapshot{Rows: []port.Row{{Key: "b"}}})
	g.Expect(d.View().Servers()).To(gomega.BeZero(), "an entry that cannot be read names no server")
}

// Guards against a configuration that goes back to an older version, and a readiness before everything is known.
func TestConfigNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := newDirectory()
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

package commit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/commit"
	"verbenagate/core/point"
)

var start = time.Unix(1_000_000, 0)

// primaryLog models the log of a primary and the commits acknowledged to callers, with several owners that do not know of each
// other.
type primaryLog struct {
	term, position uint64
	acked          map[string]point.Point
	owners         []*commit.Tracker
	now            time.Time
}

// write commits for a caller through an owner. The owner records and acknowledges the commit only if the server's answer
// reaches it.
func (l *primaryLog) write(owner int, caller string, answered bool) {
	l.position++
	if !answered {
		return
	}
	p := point.New(l.term, l.position)
	l.owners[owner].RecordCommit(l.now, caller, p)
	l.acked[caller] = l.acked[caller].Max(p)
}

// Guards against a session that does not see its caller's own write when owners write at the same time, answers are lost, terms
// change, positions have gaps or pauses are long. The position that an owner requires must cover all acknowledged writes of the
// caller and must not exceed that of a full barrier, apart from commits after the barrier.
func TestRequiredCoversAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &primaryLog{term: 1, acked: map[string]point.Point{}, now: start, owners: []*commit.Tracker{{}, {}, {}}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			owner := rapid.IntRange(0, 2).Draw(t, "owner")
			caller := fmt.Sprint("caller ", rapid.IntRange(0, 3).Draw(t, "caller"))
			switch rapid.SampledFrom([]string{"write", "write", "write", "lost", "term", "gap", "pause"}).Draw(t, "step") {
			case "write":
				l.write(owner, caller, true)
			case "lost":
				l.write(owner, caller, false)
			case "term":
				l.term++
				l.position += rapid.Uint64Range(0, 2).Draw(t, "entries of the term itself")
			case "gap":
				l.position += rapid.Uint64Range(1, 9).Draw(t, "bytes")
			case "pause":
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			}
			newest := point.New(l.term, l.position)
			for i, o := range l.owners {
				for c, acked := range l.acked {
					got := o.RequiredPoint(c, newest)
					if !got.Covers(acked) || !newest.Covers(got) {
						t.Fatalf("owner %d requires %v for %s, whose last acknowledged commit is at %v; the newest position is %v", i, got, c, acked, newest)
					}
				}
			}
		}
	})
}

// Guards against a required position as high as the newest one although one owner did all writes. It would send the reads of
// roaming sessions to the primary.
func TestOwnWritesAlone(t *testing.T) {
	g := NewWithT(t)
	tracker := &commit.Tracker{}
	g.Expect(tracker.RequiredPoint("ann", point.New(3, 100))).To(Equal(point.New(3, 100)), "no commit is recorded")
	for i := range uint64(50) {
		caller := "ben"
		if i == 10 {
			caller = "ann"
		}
		tracker.RecordCommit(start, caller, point.New(3, 101+i))
	}
	g.Expect(tracker.RequiredPoint("ann", point.New(3, 150))).To(Equal(point.New(3, 111)))
	g.Expect(tracker.RequiredPoint("ben", point.New(3, 150))).To(Equal(point.New(3, 150)))
	g.Expect(tracker.RequiredPoint("eve", point.New(3, 150))).To(Equal(point.New(3, 100)))
	g.Expect(tracker.NewestKnown(point.New(3, 150))).To(BeTrue())
	g.Expect(tracker.NewestKnown(point.New(3, 151))).To(BeFalse(), "the answer to a commit may be in flight")
	g.Expect(tracker.RequiredPoint("eve", point.New(3, 151))).To(Equal(point.New(3, 151)))
	// A commit of another owner raises the position required for every caller, until the replicas have it anyway.
	tracker.RecordCommit(start, "ben", point.New(3, 152))
	g.Expect(tracker.RequiredPoint("ann", point.New(3, 152))).To(Equal(point.New(3, 151)))
	tracker.RecordCommit(start, "ben", point.New(3, 151))
	g.Expect(tracker.RequiredPoint("ann", point.New(3, 152))).To(Equal(point.New(3, 111)), "a late answer fills the gap")
}

// Guards against reported positions that are not those of the commits themselves: two commits at one position could hide a
// third.
func TestSharedPositions(t *testing.T) {
	g := NewWithT(t)
	tracker := &commit.Tracker{}
	tracker.RecordCommit(start, "ann", point.New(1, 5))
	tracker.RecordCommit(start, "ben", point.New(1, 5))
	tracker.RecordCommit(start, "ben", point.New(1, 6))
	g.Expect(tracker.RequiredPoint("eve", point.New(1, 6))).To(Equal(point.New(1, 6)))
	tracker.RecordCommit(start, "ben", point.New(2, 7))
	g.Expect(tracker.RequiredPoint("eve", point.New(2, 7))).To(Equal(point.New(2, 6)), "a new term may be led by another server")
}

// Guards against memory that grows with the commits and callers of a long run.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	tracker := &commit.Tracker{}
	const commits = 200_000
	for i := range uint64(commits) {
		tracker.RecordCommit(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), point.New(1, 2*i+2))
	}
	newest := point.New(1, 2*commits)
	g.Expect(tracker.RequiredPoint("199999", newest)).To(Equal(newest))
	g.Expect(tracker.RequiredPoint("1", newest)).To(Equal(point.New(1, 2*commits-1)))
	g.Expect(tracker.Size()).To(BeNumerically("<=", 2*16<<10+256))
}

func BenchmarkRecordCommit(b *testing.B) {
	tracker := &commit.Tracker{}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("caller ", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		tracker.RecordCommit(start, names[i%len(names)], point.New(1, uint64(i)+1))
	}
}

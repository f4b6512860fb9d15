package front

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/io/metric"
)

// Guards against memory allocations of the meter for each unit of work, which would be noticeable at 2.9 million units per
// second.
func TestMeterAllocatesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	set := metric.NewSet(metric.Catalog(), time.Hour)
	m := newMeter(set, "dues")
	g.Expect(testing.AllocsPerRun(100, func() {
		m.unitEnded(stmt.Read, result.Done, time.Millisecond)
		m.readAnswered(port.RoleReplica)
		m.barrierEnded(time.Millisecond, nil)
	})).To(gomega.BeZero())
	g.Expect(set.Close()).To(gomega.Succeed())
	for _, v := range set.Samples() {
		g.Expect(v.Value).To(gomega.Equal(101.0), v.Name)
	}
	g.Expect(set.Samples()).To(gomega.HaveLen(5))
}

// BenchmarkMeter measures the time that the metrics add to a read.
func BenchmarkMeter(b *testing.B) {
	set := metric.NewSet(metric.Catalog(), metric.ReportInterval)
	defer func() { _ = set.Close() }()
	m := newMeter(set, "dues")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.unitEnded(stmt.Read, result.Done, time.Millisecond)
			m.readAnswered(port.RoleReplica)
		}
	})
}

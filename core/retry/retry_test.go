package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/core/retry"
)

func TestRetry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "core/retry")
}

var (
	start    = time.Unix(1000, 0)
	deadline = start.Add(time.Second)
)

// Guards against repeating a unit that may have taken effect.
var _ = ginkgo.Describe("Decide", func() {
	ginkgo.It("repeats only what certainly did not run", func() {
		for _, i := range result.All() {
			if i.Outcome() != result.NotRun {
				gomega.Expect(retry.Decide(start, deadline, i.Code())).To(gomega.Equal(retry.Stop), i.Name())
			}
		}
	})
	ginkgo.It("repeats nothing after the deadline", func() {
		for _, i := range result.All() {
			gomega.Expect(retry.Decide(deadline, deadline, i.Code())).To(gomega.Equal(retry.Stop), i.Name())
		}
	})
	ginkgo.DescribeTable("decides by result code",
		func(c result.Code, want retry.Decision) {
			gomega.Expect(retry.Decide(start, deadline, c)).To(gomega.Equal(want))
		},
		ginkgo.Entry("a replica that lags behind", result.ServerBehind, retry.RetryOtherServer),
		ginkgo.Entry("an unreachable VM", result.PeerUnreachable, retry.RetryOtherServer),
		ginkgo.Entry("an unreachable server", result.ConnectFailed, retry.RetryOtherServer),
		ginkgo.Entry("a full queue", result.QueueFull, retry.RetryOtherServer),
		ginkgo.Entry("a replaced primary", result.NotPrimary, retry.RetryAfterBackoff),
		ginkgo.Entry("a transaction that was rolled back with its connection", result.RolledBack, retry.RetryAfterBackoff),
		ginkgo.Entry("a statement that cannot be supported", result.Unsupported, retry.Stop),
		ginkgo.Entry("a lost answer", result.AnswerLost, retry.Stop),
	)
})

// Guards against a delay that shrinks, is zero or exceeds its limit, even after very many attempts.
var _ = ginkgo.Describe("Backoff", func() {
	b := retry.NewBackoff(2*time.Millisecond, 50*time.Millisecond)
	ginkgo.It("grows to its limit", func() {
		last := time.Duration(0)
		for n := 1; n <= 100; n++ {
			d := b.Delay(n, 0.5)
			gomega.Expect(d).To(gomega.BeNumerically(">=", last))
			gomega.Expect(d).To(gomega.BeNumerically("<=", 50*time.Millisecond))
			last = d
		}
		gomega.Expect(b.Delay(1<<62, 1)).To(gomega.Equal(50 * time.Millisecond))
	})
	ginkgo.It("keeps half of the delay fixed", func() {
		gomega.Expect(b.Delay(1, 0)).To(gomega.Equal(time.Millisecond))
		gomega.Expect(b.Delay(1, 1)).To(gomega.Equal(2 * time.Millisecond))
	})
})

func ExampleLoop() {
	l := retry.NewLoop(retry.NewBackoff(20*time.Millisecond, 50*time.Millisecond), start.Add(60*time.Millisecond))
	for now := start; ; {
		d, ok := l.Next(now, 1)
		if !ok {
			break
		}
		fmt.Println(d)
		now = now.Add(d)
	}
	// Output:
	// 20ms
	// 40ms
}

// Guards against a bound on attempts that a loop exceeds.
var _ = ginkgo.Describe("Attempts", func() {
	ginkgo.It("is what a loop makes with the shortest delays", func() {
		b := retry.NewBackoff(15*time.Millisecond, 480*time.Millisecond)
		l, n := retry.NewLoop(b, deadline), 1
		for now := start; ; n++ {
			d, _ := l.Next(now, 0)
			if now = now.Add(d); !now.Before(deadline) {
				break
			}
		}
		gomega.Expect(b.Attempts(deadline.Sub(start))).To(gomega.Equal(n))
	})
})

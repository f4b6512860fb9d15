package audit

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/lab/load"
)

type fakeDatabase map[string][][]any

func (f fakeDatabase) Query(_ context.Context, query string, _ ...any) ([][]any, error) {
	if strings.Contains(query, "half") {
		return f["half"], nil
	}
	return f["payment"], nil
}

// Guards against an audit that passes although it compared nothing, and against one that overlooks a violated promise.
func TestFindings(t *testing.T) {
	done := load.NewPayment("p1", load.Pay, load.Done)
	notRun := load.NewPayment("p2", load.Pay, load.NotRun)
	unknown := load.NewPayment("p3", load.Pay, load.Unknown)
	transfer := load.NewPayment("t1", load.Transfer, load.Done)
	once := [][]any{{"p1", int64(1)}}
	for _, c := range []struct {
		name     string
		payments []load.Payment
		db       fakeDatabase
		limits   []ServerUsage
		checks   Checks
		promises []string
	}{
		{"nothing compared", nil, nil, nil, Checks{CheckPayments, CheckReads}, []string{"audit", "audit"}},
		{"no finding", []load.Payment{done, unknown}, fakeDatabase{"payment": once}, nil, Checks{CheckPayments}, nil},
		{"acknowledged write lost", []load.Payment{done}, nil, nil, nil, []string{"no acknowledged write is lost"}},
		{"payment twice", []load.Payment{done}, fakeDatabase{"payment": {{"p1", int64(2)}}}, nil, nil, []string{"at most once"}},
		{
			"ran although reported as not run",
			[]load.Payment{notRun},
			fakeDatabase{"payment": {{"p2", int64(1)}}},
			nil, nil,
			[]string{"not run means not run"},
		},
		{"payment that no caller sent", nil, fakeDatabase{"payment": once}, nil, nil, []string{"no payment from nowhere"}},
		{
			"half a transaction",
			[]load.Payment{transfer},
			fakeDatabase{"half": {{"t1", int64(1)}}},
			nil, nil,
			[]string{"no acknowledged write is lost", "transactions are whole"},
		},
		{"too many connections", nil, nil, []ServerUsage{{Connections: 36, Allowed: 35}}, nil, []string{"connection limit"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			record := load.NewRecord(nil)
			for _, p := range c.payments {
				record.Paid(p)
			}
			r, err := Run(context.Background(), record, c.db, c.limits, c.checks)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var got []string
			for _, f := range r.Findings {
				got = append(got, f.Promise)
			}
			g.Expect(got).To(gomega.Equal(c.promises))
		})
	}
}

// Guards against an audit in acknowledgement mode "primary" that allows more losses than the last writes before a failure: a
// write that the old primary acknowledged after its replacement, a lost write followed by one that is present, or a read
// that misses a write that is present.
func TestLosses(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	paid := func(seq int64, first, last, ended int) load.Payment {
		return load.NewPayment(load.PaymentRef(1, seq), load.Pay, load.Done).At(ms(first), ms(last), ms(ended))
	}
	kept := paid(1, 10, 10, 20)
	allowed := &Losses{FailedAt: ms(100), ReachableAgainAt: ms(300)}
	for _, c := range []struct {
		name     string
		payments []load.Payment
		losses   *Losses
		want     int64 // the last payment that a read must see
		allowed  int64
		promises []string
	}{
		{"before the failure", []load.Payment{kept, paid(2, 80, 80, 90)}, allowed, 2, 1, nil},
		{"acknowledged during the failure", []load.Payment{kept, paid(2, 80, 80, 101)}, allowed, 2, 1, nil},
		{"none allowed", []load.Payment{kept, paid(2, 80, 80, 90)}, nil, 1, 0, []string{"no acknowledged write is lost"}},
		{"sent after the failure", []load.Payment{kept, paid(2, 110, 110, 120)}, allowed, 1, 0, []string{"no acknowledged write is lost"}},
		{"resent after the failure", []load.Payment{kept, paid(2, 80, 110, 120)}, allowed, 1, 0, []string{"no acknowledged write is lost"}},
		{"acknowledged by the old primary", []load.Payment{kept, paid(2, 80, 80, 310)}, allowed, 1, 0, []string{"no acknowledged write is lost"}},
		{"lost before a present write", []load.Payment{kept, paid(2, 1, 1, 5)}, allowed, 2, 1, []string{"only the last writes are lost"}},
		{"read misses a present write", []load.Payment{kept, paid(2, 80, 80, 90)}, allowed, 1, 1, []string{"read-your-writes"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			record := load.NewRecord(nil)
			for _, p := range c.payments {
				record.Paid(p)
			}
			got := c.want
			if c.allowed > 0 {
				got = c.want - 1
			}
			record.Compared(load.Read, 1, c.want, got)
			db := fakeDatabase{"payment": {{kept.Ref(), int64(1)}}}
			r, err := RunWithLosses(context.Background(), record, db, nil, nil, c.losses)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.Looked[AllowedLosses]).To(gomega.Equal(c.allowed))
			var promises []string
			for _, f := range r.Findings {
				promises = append(promises, f.Promise)
			}
			g.Expect(promises).To(gomega.Equal(c.promises))
		})
	}
}

// Guards against an audit after several failures that allows the loss of a write sent after the last failure, the loss of a
// write followed by a present one between the same two failures, or a read that misses more than the lost writes.
func TestLossesOfSeveralFailures(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	paid := func(seq int64, first, last, ended int) load.Payment {
		return load.NewPayment(load.PaymentRef(1, seq), load.Pay, load.Done).At(ms(first), ms(last), ms(ended))
	}
	losses := &Losses{TermChanges: []time.Duration{ms(100), ms(200)}}
	first, second := paid(1, 10, 10, 20), paid(2, 110, 110, 120)
	for _, c := range []struct {
		name     string
		lost     load.Payment
		got      int64
		losses   *Losses
		promises []string
	}{
		{"before the first failure", paid(3, 80, 80, 90), 2, losses, nil},
		{"before the second failure", paid(3, 180, 180, 190), 2, losses, nil},
		{"acknowledged after the failure", paid(3, 180, 180, 900), 2, losses, nil},
		{"after the last failure", paid(3, 201, 201, 210), 3, losses, []string{"no acknowledged write is lost"}},
		{"resent after the last failure", paid(3, 180, 201, 210), 3, losses, []string{"no acknowledged write is lost"}},
		{"no failure", paid(3, 180, 180, 190), 3, &Losses{TermChanges: []time.Duration{}}, []string{"no acknowledged write is lost"}},
		{"before a present write of the same term", paid(3, 101, 101, 105), 2, losses, []string{"only the last writes are lost"}},
		{"before a present write of another term", paid(3, 30, 30, 40), 2, losses, nil},
		{"read also misses a present write", paid(3, 180, 180, 190), 1, losses, []string{"read-your-writes"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			record := load.NewRecord(nil)
			for _, p := range []load.Payment{first, second, c.lost} {
				record.Paid(p)
			}
			record.Compared(load.Read, 1, 3, c.got)
			db := fakeDatabase{"payment": {{first.Ref(), int64(1)}, {second.Ref(), int64(1)}}}
			r, err := RunWithLosses(context.Background(), record, db, nil, nil, c.losses)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var promises []string
			for _, f := range r.Findings {
				promises = append(promises, f.Promise)
			}
			g.Expect(promises).To(gomega.Equal(c.promises))
		})
	}
}

// Guards against a schedule that differs between two runs with the same seed. Their results could not be compared.
func TestPlanIsRepeatable(t *testing.T) {
	g := gomega.NewWithT(t)
	p := load.Profile{
		Duration: 5 * time.Second, Rate: 200, Callers: 20, Pay: 0.2, Browse: 0.1, Roam: 0.1, Stragglers: 2,
		Steps: []load.Step{{At: 2 * time.Second, Factor: 3}},
	}
	g.Expect(load.Plan(p, 7)).To(gomega.Equal(load.Plan(p, 7)))
	g.Expect(load.Plan(p, 7)).NotTo(gomega.Equal(load.Plan(p, 8)))
	g.Expect(len(load.Plan(p, 7))).To(gomega.BeNumerically("~", 200*2+600*3, 200))
}

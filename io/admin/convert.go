package admin

import (
	"math"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin/gen/operators"
	"verbenagate/io/revlog"
)

func millis(d time.Duration) int64 { return int64(d / time.Millisecond) }

// fromMillis returns the duration of n milliseconds. A number beyond the range of a duration becomes the greatest one,
// so that an absurd value is refused by the rules instead of wrapping around.
func fromMillis(n int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(max(min(n, most), -most)) * time.Millisecond
}

func int32Of(n int) int32 { return int32(max(min(n, math.MaxInt32), math.MinInt32)) }

func specOut(s svcdef.Spec) *operators.Spec {
	out := &operators.Spec{
		Name: s.Name, Database: s.Database, Ack: string(s.Ack), TimeoutMs: millis(s.Timeout), MaxWaitMs: millis(s.MaxWait),
		Login: &operators.Login{User: s.Login.User, Password: s.Login.Password},
	}
	for _, v := range s.Servers {
		out.Servers = append(out.Servers, &operators.Server{
			Address: v.Address, DataCentre: v.DataCentre, Slots: int32Of(v.Slots), Connections: int32Of(v.Connections),
		})
	}
	for _, v := range s.Callers {
		out.Callers = append(out.Callers, &operators.Caller{User: v.User, Verifier: v.Verifier})
	}
	for _, v := range s.StaleReads {
		out.StaleReads = append(out.StaleReads, &operators.StaleRead{
			User: v.User, Table: v.Table, Statement: v.Statement, MaxAgeMs: millis(v.MaxAge),
		})
	}
	for _, v := range s.Once {
		o := &operators.Once{Statement: v.Statement, KeepMs: millis(v.Keep)}
		for _, k := range v.Key {
			o.Key = append(o.Key, int32Of(k))
		}
		out.Once = append(out.Once, o)
	}
	return out
}

func specIn(s *operators.Spec) svcdef.Spec {
	in := svcdef.Spec{
		Name: s.Name, Database: s.Database, Ack: svcdef.Ack(s.Ack), Timeout: fromMillis(s.TimeoutMs), MaxWait: fromMillis(s.MaxWaitMs),
		Login: svcdef.LoginSpec{User: s.Login.User, Password: s.Login.Password},
	}
	for _, v := range s.Servers {
		in.Servers = append(in.Servers, svcdef.ServerSpec{
			Address: v.Address, DataCentre: v.DataCentre, Slots: int(v.Slots), Connections: int(v.Connections),
		})
	}
	for _, v := range s.Callers {
		in.Callers = append(in.Callers, svcdef.CallerSpec{User: v.User, Verifier: v.Verifier})
	}
	for _, v := range s.StaleReads {
		in.StaleReads = append(in.StaleReads, svcdef.StaleReadSpec{
			User: v.User, Table: v.Table, Statement: v.Statement, MaxAge: fromMillis(v.MaxAgeMs),
		})
	}
	for _, v := range s.Once {
		o := svcdef.OnceRuleSpec{Statement: v.Statement, Keep: fromMillis(v.KeepMs)}
		for _, k := range v.Key {
			o.Key = append(o.Key, int(k))
		}
		in.Once = append(in.Once, o)
	}
	return in
}

// revisionOut leaves out the attempt, which means nothing to operators, and masks secrets.
func revisionOut(r svcdef.Revision) *operators.Revision {
	out := &operators.Revision{
		Number: r.Number(), Service: r.ServiceName(), Removal: r.Removal(), Author: r.Author(),
		UnixMs: r.Time().UnixMilli(),
	}
	if s, ok := r.Service(); ok {
		out.Spec = specOut(s.Spec().Masked())
	}
	return out
}

func revisionIn(r *operators.Revision) svcdef.Revision {
	spec := svcdef.RevisionSpec{Number: r.Number, Service: r.Service, Author: r.Author, Millis: r.UnixMs}
	if r.Spec != nil {
		s := specIn(r.Spec)
		spec.Spec = &s
	}
	return svcdef.NewRevision(spec)
}

func problemsOut(problems []svcdef.Problem) (out []*operators.Problem) {
	for _, p := range problems {
		out = append(out, &operators.Problem{Path: p.Path(), Text: p.Message(), Warning: p.Warning()})
	}
	return out
}

func problemsIn(problems []*operators.Problem) (in []svcdef.Problem) {
	for _, p := range problems {
		in = append(in, svcdef.NewProblem(p.Path, p.Text, p.Warning))
	}
	return in
}

// Names of the errors in the schema.
const (
	refused      = "refused"
	undetermined = "undetermined"
)

// faultOut returns the error of the schema for err.
func faultOut(err error) error {
	code := result.CodeOf(err)
	f := &operators.Fault{
		Name: refused, Code: uint32(code), Outcome: result.OutcomeOf(err).String(), Text: result.Message(err),
		Problems: problemsOut(revlog.Problems(err)),
	}
	if result.OutcomeOf(err) == result.Unknown {
		f.Name = undetermined
	}
	f.CurrentRevision, _ = revlog.Current(err)
	return f
}

// faultIn returns the error that faultOut was made from.
func faultIn(f *operators.Fault) error {
	code := result.Code(f.Code)
	if result.Lookup(code).Code() != code {
		return result.New(result.Internal, "code %d, which this version does not know: %s", f.Code, f.Text)
	}
	switch code {
	case result.RevisionConflict:
		return revlog.WithCurrent(result.New(code, "%s", f.Text), f.CurrentRevision)
	case result.InvalidConfig:
		return revlog.WithProblems(result.New(code, "%s", f.Text), problemsIn(f.Problems))
	}
	return result.New(code, "%s", f.Text)
}

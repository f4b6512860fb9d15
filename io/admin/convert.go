package admin

import (
	"math"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin/gen/operators"
	"verbenagate/io/revlog"
)

func toMillis(d time.Duration) int64 { return int64(d / time.Millisecond) }

// fromMillis returns the duration of n milliseconds. A number outside the range of a duration becomes the nearest
// duration, so that validation rejects it; otherwise it could overflow to a valid value.
func fromMillis(n int64) time.Duration {
	const maxMillis = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(max(min(n, maxMillis), -maxMillis)) * time.Millisecond
}

func clampToInt32(n int) int32 { return int32(max(min(n, math.MaxInt32), math.MinInt32)) }

func specToAPI(s svcdef.Spec) *operators.Spec {
	out := &operators.Spec{
		Name: s.Name, Database: s.Database, Ack: string(s.Ack), TimeoutMs: toMillis(s.Timeout), MaxWaitMs: toMillis(s.MaxWait),
		Login: &operators.Login{User: s.Login.User, Password: s.Login.Password},
	}
	for _, v := range s.Servers {
		out.Servers = append(out.Servers, &operators.Server{
			Address: v.Address, DataCentre: v.DataCentre, Slots: clampToInt32(v.Slots), Connections: clampToInt32(v.Connections),
		})
	}
	for _, v := range s.Callers {
		out.Callers = append(out.Callers, &operators.Caller{User: v.User, Verifier: v.Verifier})
	}
	for _, v := range s.StaleReads {
		out.StaleReads = append(out.StaleReads, &operators.StaleRead{
			User: v.User, Table: v.Table, Statement: v.Statement, MaxAgeMs: toMillis(v.MaxAge),
		})
	}
	for _, v := range s.Once {
		o := &operators.Once{Statement: v.Statement, KeepMs: toMillis(v.Keep)}
		for _, k := range v.Key {
			o.Key = append(o.Key, clampToInt32(k))
		}
		out.Once = append(out.Once, o)
	}
	return out
}

func specFromAPI(s *operators.Spec) svcdef.Spec {
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

// revisionToAPI omits the attempt ID of a revision, which operators have no use for, and masks secrets.
func revisionToAPI(r svcdef.Revision) *operators.Revision {
	out := &operators.Revision{
		Number: r.Number(), Service: r.ServiceName(), Removal: r.Removal(), Author: r.Author(),
		UnixMs: r.Time().UnixMilli(),
	}
	if s, ok := r.Service(); ok {
		out.Spec = specToAPI(s.Spec().Masked())
	}
	return out
}

func revisionFromAPI(r *operators.Revision) svcdef.Revision {
	spec := svcdef.RevisionSpec{Number: r.Number, Service: r.Service, Author: r.Author, Millis: r.UnixMs}
	if r.Spec != nil {
		s := specFromAPI(r.Spec)
		spec.Spec = &s
	}
	return svcdef.NewRevision(spec)
}

func problemsToAPI(problems []svcdef.Problem) (out []*operators.Problem) {
	for _, p := range problems {
		out = append(out, &operators.Problem{Path: p.Path(), Text: p.Message(), Warning: p.Warning()})
	}
	return out
}

func problemsFromAPI(problems []*operators.Problem) (in []svcdef.Problem) {
	for _, p := range problems {
		in = append(in, svcdef.NewProblem(p.Path, p.Text, p.Warning))
	}
	return in
}

// Error names as declared in io/schema.
const (
	refusedName      = "refused"
	undeterminedName = "undetermined"
)

// errorToFault converts err to the error type of the schema.
func errorToFault(err error) error {
	code := result.CodeOf(err)
	f := &operators.Fault{
		Name: refusedName, Code: uint32(code), Outcome: result.OutcomeOf(err).String(), Text: result.Message(err),
		Problems: problemsToAPI(revlog.Problems(err)),
	}
	if result.OutcomeOf(err) == result.Unknown {
		f.Name = undeterminedName
	}
	f.CurrentRevision, _ = revlog.CurrentRevision(err)
	return f
}

// errorFromFault converts f back to an error with the same result code, current revision and problems.
func errorFromFault(f *operators.Fault) error {
	code := result.Code(f.Code)
	if result.Lookup(code).Code() != code {
		return result.New(result.Internal, "VM answered with result code %d, which this version does not define: %s", f.Code, f.Text)
	}
	switch code {
	case result.RevisionConflict:
		return revlog.WithCurrentRevision(result.New(code, "%s", f.Text), f.CurrentRevision)
	case result.InvalidConfig:
		return revlog.WithProblems(result.New(code, "%s", f.Text), problemsFromAPI(f.Problems))
	}
	return result.New(code, "%s", f.Text)
}

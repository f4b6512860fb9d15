// Package result defines the numbered result codes and the outcomes that callers and operators see.
package result

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Outcome says what is known about the effect of a request.
type Outcome uint8

// The four outcomes of a request.
const (
	Done Outcome = iota + 1
	Failed
	NotRun
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

// Code is a numbered result code.
type Code uint16

// Info describes a result code for the documentation and for callers.
type Info struct {
	code     Code
	name     string
	outcome  Outcome
	sqlState string
	meaning  string
}

// Code returns the number of the result code.
func (i Info) Code() Code { return i.code }

// Name returns the short name of the result code.
func (i Info) Name() string { return i.name }

// Outcome returns what the code says about the request's effect.
func (i Info) Outcome() Outcome { return i.outcome }

// SQLState returns the SQLSTATE that a caller receives.
func (i Info) SQLState() string { return i.sqlState }

// Meaning returns one sentence for the table in the docs.
func (i Info) Meaning() string { return i.meaning }

// String returns the code's name.
func (c Code) String() string { return Lookup(c).name }

// Lookup returns the description of c, or that of Internal for a number that is not assigned.
func Lookup(c Code) Info {
	for _, i := range infos {
		if i.code == c {
			return i
		}
	}
	return infos[0]
}

// All returns every assigned code in ascending order.
func All() []Info { return append([]Info(nil), infos...) }

var (
	namespace = errorx.NewNamespace("verbenagate")
	errType   = errorx.NewType(namespace, "result")
	codeProp  = errorx.RegisterPrintableProperty("code")
)

// New returns an error that carries c.
func New(c Code, format string, args ...any) error {
	return errType.New(format, args...).WithProperty(codeProp, c)
}

// Wrap returns an error that carries c and has err as its cause.
func Wrap(c Code, err error, format string, args ...any) error {
	return errType.Wrap(err, format, args...).WithProperty(codeProp, c)
}

// HasCause reports whether err or one of its causes is target. Unlike errors.Is it sees the causes that Wrap was given.
func HasCause(err, target error) bool {
	for err != nil {
		if errors.Is(err, target) {
			return true
		}
		x := errorx.Cast(err)
		if x == nil {
			return false
		}
		err = x.Cause()
	}
	return false
}

// CodeOf returns the code that err carries. An error without one is Internal, and nil is OK.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	for e := err; e != nil; e = errors.Unwrap(e) {
		x := errorx.Cast(e)
		if x == nil {
			continue
		}
		if v, ok := x.Property(codeProp); ok {
			return v.(Code)
		}
	}
	return Internal
}

// OutcomeOf returns the outcome that err's code stands for.
func OutcomeOf(err error) Outcome { return Lookup(CodeOf(err)).outcome }

// Message returns the text of err without its type names, for a caller or an operator.
func Message(err error) string {
	if x := errorx.Cast(err); x != nil {
		return x.Message()
	}
	return err.Error()
}

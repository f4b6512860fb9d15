// Package result defines the numbered result codes and the outcomes that are reported to callers and operators.
package result

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Outcome is what is known about the effect of a request. The zero value is not an outcome.
type Outcome uint8

// The four outcomes of a request.
const (
	Done    Outcome = iota + 1 // it succeeded
	Failed                     // it failed with an error or was cancelled
	NotRun                     // it had no effect
	Unknown                    // it may or may not have taken effect
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

// Code is the number of a result code.
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

// Outcome returns the outcome of a request that ends with this code.
func (i Info) Outcome() Outcome { return i.outcome }

// SQLState returns the SQLSTATE that a caller receives, "" if the server's own is passed on.
func (i Info) SQLState() string { return i.sqlState }

// Meaning returns the description of the code in docs/codes.md.
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

// New returns an error with the code c and a message in the format of fmt.Sprintf.
func New(c Code, format string, args ...any) error {
	return errType.New(format, args...).WithProperty(codeProp, c)
}

// Wrap returns an error with the code c, a message in the format of fmt.Sprintf and the cause err.
func Wrap(c Code, err error, format string, args ...any) error {
	return errType.Wrap(err, format, args...).WithProperty(codeProp, c)
}

// HasCause reports whether err or one of its causes is target. Unlike errors.Is, it also follows causes passed to Wrap.
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

// Cause returns the first cause of err, which is err itself if it was not made by Wrap.
func Cause(err error) error {
	for {
		x := errorx.Cast(err)
		if x == nil || x.Cause() == nil {
			return err
		}
		err = x.Cause()
	}
}

// CodeOf returns the code of err, Internal for an error without a code, and OK for nil.
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

// OutcomeOf returns the outcome of the code of err.
func OutcomeOf(err error) Outcome { return Lookup(CodeOf(err)).outcome }

// Message returns the message of err for a caller or an operator, without the type names that err.Error includes. err must
// not be nil.
func Message(err error) string {
	if x := errorx.Cast(err); x != nil {
		return x.Message()
	}
	return err.Error()
}
